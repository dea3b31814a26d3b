import type {Clock} from '../../../base/common/clock';
import type {Member} from '../../../schema/generated/fleet';
import {ConcurrencyWindow} from '../common/concurrency_window';
import type {Position} from '../../position/common/position';
import type {
  ConnectFailure,
  TargetConnector,
  TargetLink,
} from '../../target_link/common/target_link';

/** An opening that takes longer than this has failed, in milliseconds. */
const CONNECT_MS = 1_000;
/** An idle connection is closed after this long, to leave it to others. */
const IDLE_CLOSE_MS = 4_000;
/** One to a member that mostly others use is given back sooner, in ms. */
const RARE_CLOSE_MS = 1_000;
/**
 * One beyond the equal share is given back sooner, in milliseconds. Kept for
 * 800, nine instances held 14 of a primary's 16 connections and used 3.
 */
const SURPLUS_CLOSE_MS = 250;
/**
 * Where there are fewer connections than instances, one that rests is given
 * back at once after the usual pause inside a burst, in milliseconds. Opening
 * one anew takes 12 ms of a slot, about the work of one statement; a resting
 * one keeps another instance from working at all.
 */
const SCARCE_CLOSE_MS = 120;
/**
 * Connections that are opened at once. Each takes 12 to 27 ms of one of a
 * member's few slots: after a common restart, openings side by side by all
 * instances kept the members busy with nothing else for most of a second.
 */
const MOST_OPENING = 1;
/**
 * After a member said that it is full, none is opened for so long, in ms. The
 * pause doubles up to the most for connections beyond the equal share: many
 * instances that ask again and again keep a full member from the work of those
 * that have its connections. One with less than its share asks on: paused as
 * long, it served 5 % less on a calm day.
 */
const FULL_PAUSE_MS = 100;
const MOST_FULL_PAUSE_MS = 800;
/** First pause after an opening failed; doubles up to the most. */
const FIRST_PAUSE_MS = 100;
const MOST_PAUSE_MS = 1_000;
/**
 * A lagging replica is asked again after this long, in milliseconds: each time
 * costs a turn of a slot and the request a way there and back. One that is far
 * behind takes longer to catch up.
 */
const LAG_MEMORY_MS = 250;
const MOST_LAG_MEMORY_MS = 1_000;
const LAG_MEMORY_PART = 0.25;
/** Three ways between regions and an opening, in milliseconds. */
const SUSPICION_MS = 200;
/** Weight of a new answer in the smoothed latency. */
const LATENCY_WEIGHT = 0.15;
/** What an answer is taken to need before any was measured. */
const FIRST_LATENCY_MS = 20;

/** A connection with what earlier sessions left on it. */
export interface PooledLink {
  readonly link: TargetLink;
  readonly instance: string;
  /** Session values that are set on it. */
  readonly values: Map<string, string>;
  /** Names of statements prepared on it, by what they do. */
  readonly prepared: Map<string, string>;
  idleSince: number;
}

/** What a pool tells its owner. */
export interface PoolListener {
  /** A connection became free, or an opening ended. */
  onDidChange(): void;
  onDidOpen(instance: string, position: Position | undefined): void;
  onDidFailToOpen(instance: string, failure: ConnectFailure): void;
}

/** The connections of this instance to one member. */
export class MemberPool {
  private idle: PooledLink[] = [];
  private readonly all = new Set<PooledLink>();
  private opening = 0;
  private pausedUntil = 0;
  private pauseMs = FIRST_PAUSE_MS;
  private fullPauseMs = FULL_PAUSE_MS;
  private equalShare = 0;
  private latency = FIRST_LATENCY_MS;
  /** Since when nothing was answered, although something was asked. */
  private suspectedSince: number | undefined;
  private isConfirmed = false;
  private readonly window = new ConcurrencyWindow();
  private lag = {ms: 0, at: -Infinity};

  constructor(
    public member: Member,
    private readonly connector: TargetConnector,
    private readonly listener: PoolListener,
    private readonly clock: Clock,
    private readonly signal: AbortSignal,
  ) {}

  get running(): number {
    return this.all.size - this.idle.length;
  }

  get latencyMs(): number {
    return this.latency;
  }

  /** Connections that are open or being opened. */
  get size(): number {
    return this.all.size + this.opening;
  }

  /**
   * Whether the member cannot be reached. One lost answer does not say so: it
   * counts once a new connection fails too, or does not open for a while.
   */
  get isFailing(): boolean {
    if (this.suspectedSince === undefined) return false;
    const suspected = this.clock.now() - this.suspectedSince;
    return this.isConfirmed || suspected >= SUSPICION_MS;
  }

  hasIdle(): boolean {
    return this.idle.length > 0;
  }

  mayOpen(limit: number): boolean {
    if (this.size >= limit || this.opening >= MOST_OPENING) return false;
    return this.clock.now() >= this.pausedUntil;
  }

  /** Whether the member takes one more transaction, as far as it showed. */
  get hasWindow(): boolean {
    return this.window.allows(this.running);
  }

  /** Takes a free connection, one with these session values if there is. */
  checkout(values: ReadonlyMap<string, string>): PooledLink | undefined {
    const fitting = this.idle.findLastIndex(item => {
      return hasSameValues(item.values, values);
    });
    const at = fitting >= 0 ? fitting : this.idle.length - 1;
    const [found] = at < 0 ? [] : this.idle.splice(at, 1);
    return found;
  }

  /** Takes a connection back; one that is not clean is closed. */
  release(pooled: PooledLink, clean: boolean): void {
    if (!this.all.has(pooled)) return;
    if (!clean || pooled.link.isClosed) {
      this.drop(pooled);
      return;
    }
    pooled.idleSince = this.clock.now();
    this.idle.push(pooled);
  }

  /** Takes note that the member had no room for a statement. */
  onBusy(): void {
    this.window.onBusy(this.running);
    this.clearSuspicion();
  }

  /** Takes note of an answer and the time that it took. */
  onAnswer(tookMs: number): void {
    this.window.onAnswer();
    this.clearSuspicion();
    this.latency += (tookMs - this.latency) * LATENCY_WEIGHT;
  }

  /** Takes note of how far behind the member was, in milliseconds. */
  onLag(lagMs: number): void {
    this.lag = {ms: lagMs, at: this.clock.now()};
  }

  /** How far behind it was, while that was seen lately; otherwise 0. */
  get lagMs(): number {
    const {ms, at} = this.lag;
    const memory = Math.max(LAG_MEMORY_MS, ms * LAG_MEMORY_PART);
    const age = this.clock.now() - at;
    return age < Math.min(memory, MOST_LAG_MEMORY_MS) ? ms : 0;
  }

  /** Takes note that the member did not answer in time. */
  onSilence(): void {
    this.suspectedSince ??= this.clock.now();
    // Guard: connections can go silent for good while new ones work; those
    // that rested beside a silent one would each cost a request its time.
    for (const pooled of this.idle.splice(0)) this.drop(pooled);
    if (this.opening === 0) this.open();
  }

  private clearSuspicion(): void {
    this.suspectedSince = undefined;
    this.isConfirmed = false;
  }

  open(): void {
    this.opening++;
    const {service, instance, address} = this.member;
    const target = {service, instance, address};
    void this.connector
      .connect(target, CONNECT_MS, this.signal)
      .then(outcome => {
        this.opening--;
        if (outcome.isErr) this.onFailedOpening(outcome.error);
        else this.onOpened(outcome.value);
        this.listener.onDidChange();
      });
  }

  /**
   * Closes idle connections that nobody used for a while, but for one that is
   * kept for work to come. A share below one says that there are more
   * instances than connections.
   */
  maintain(equalShare: number, keepsStandby: boolean): void {
    this.equalShare = equalShare;
    const now = this.clock.now();
    for (const pooled of [...this.idle]) {
      if (this.all.size === 1 && keepsStandby) return;
      const rested = now - pooled.idleSince;
      if (rested > this.mostRest(keepsStandby)) this.drop(pooled);
    }
  }

  private mostRest(keepsStandby: boolean): number {
    if (this.equalShare < 1) return SCARCE_CLOSE_MS;
    if (this.all.size > this.equalShare) return SURPLUS_CLOSE_MS;
    return keepsStandby ? IDLE_CLOSE_MS : RARE_CLOSE_MS;
  }

  closeAll(): void {
    for (const pooled of [...this.all]) this.drop(pooled);
  }

  private onOpened(link: TargetLink): void {
    if (this.signal.aborted) return link.close();
    const {instance} = this.member;
    const pooled: PooledLink = {
      link,
      instance,
      values: new Map(),
      prepared: new Map(),
      idleSince: this.clock.now(),
    };
    this.pauseMs = FIRST_PAUSE_MS;
    this.fullPauseMs = FULL_PAUSE_MS;
    this.clearSuspicion();
    this.all.add(pooled);
    this.idle.push(pooled);
    link.onDidClose(() => {
      this.drop(pooled);
      this.listener.onDidChange();
    });
    this.listener.onDidOpen(instance, link.openedAt);
  }

  private onFailedOpening(failure: ConnectFailure): void {
    const now = this.clock.now();
    if (failure === 'too many connections') {
      const isBelowShare = this.size < Math.floor(this.equalShare);
      const pauseMs = isBelowShare ? FULL_PAUSE_MS : this.fullPauseMs;
      this.pausedUntil = now + pauseMs;
      this.fullPauseMs = Math.min(pauseMs * 2, MOST_FULL_PAUSE_MS);
    } else {
      this.suspectedSince ??= now;
      this.isConfirmed = true;
      this.pausedUntil = now + this.pauseMs;
      this.pauseMs = Math.min(this.pauseMs * 2, MOST_PAUSE_MS);
    }
    this.listener.onDidFailToOpen(this.member.instance, failure);
  }

  private drop(pooled: PooledLink): void {
    if (!this.all.delete(pooled)) return;
    this.idle = this.idle.filter(item => item !== pooled);
    pooled.link.close();
  }
}

function hasSameValues(
  a: ReadonlyMap<string, string>,
  b: ReadonlyMap<string, string>,
): boolean {
  if (a.size !== b.size) return false;
  return [...a].every(([name, value]) => b.get(name) === value);
}
