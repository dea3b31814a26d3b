import type {MemberUser} from '../../../base/common/ids';
import type {Clock} from '../../../base/common/clock';
import type {Member} from '../../../schema/generated/fleet';
import {
  LeastRecentlyUsed,
  type ConnectionRequirement,
  type ConnectionPolicy,
} from '../common/connection_policy';
import {ConcurrencyWindow} from '../common/concurrency_window';
import type {Position} from '../../position/common/position';
import {
  SHARED_USER,
  type ConnectFailure,
  type TargetConnector,
  type TargetLink,
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
 * One that belongs to an account serves nobody else, and is closed for another
 * account when that needs room; until then it saves its next opening, in ms.
 */
const ACCOUNT_CLOSE_MS = 30_000;
/** The same for what is beyond the equal share of this instance. */
const ACCOUNT_SURPLUS_CLOSE_MS = 1_000;
/**
 * One that belongs to an account counts as used so long after its work, in ms:
 * the account's next request would else need an opening.
 */
const ACCOUNT_USED_MS = 1_000;
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
export interface PooledConnection {
  readonly link: TargetLink;
  readonly instance: string;
  readonly user: MemberUser;
  /** Session values that are set on it. */
  readonly values: Map<string, string>;
  /** Names of statements prepared on it, by what they do. */
  readonly prepared: Map<string, string>;
  idleSince: number;
}

/** How a pool is doing. */
export interface PoolState {
  readonly running: number;
  readonly idle: number;
  readonly opening: number;
  /** Transactions that the member takes at a time, as far as it showed. */
  readonly window: number;
  /** For how long none is opened. */
  readonly pausedMs: number;
  readonly latencyMs: number;
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
  private idle: PooledConnection[] = [];
  private readonly all = new Set<PooledConnection>();
  /** Connections that are being opened, by their users. */
  private readonly openings = new Map<MemberUser, number>();
  private readonly policy: ConnectionPolicy = new LeastRecentlyUsed();
  private pausedUntil = 0;
  private pauseMs = FIRST_PAUSE_MS;
  private fullPauseMs = FULL_PAUSE_MS;
  private equalShare = 0;
  private isGranted = false;
  private latency = FIRST_LATENCY_MS;
  /** Since when nothing was answered, although something was asked. */
  private suspectedSince: number | undefined;
  private isConfirmed = false;
  private isEnded = false;
  private readonly window = new ConcurrencyWindow();
  private lag = {ms: 0, at: -Infinity};

  constructor(
    public member: Member,
    private readonly connector: TargetConnector,
    private readonly listener: PoolListener,
    private readonly clock: Clock,
    private readonly signal: AbortSignal,
  ) {}

  get runningCount(): number {
    return this.all.size - this.idle.length;
  }

  /** Connections that work keeps, or an account that worked just now. */
  get usedCount(): number {
    const since = this.clock.now() - ACCOUNT_USED_MS;
    const resting = this.idle.filter(({user, idleSince}) => {
      return user !== SHARED_USER && idleSince >= since;
    });
    return this.runningCount + resting.length;
  }

  get latencyMs(): number {
    return this.latency;
  }

  /** What keeps it from serving more at present, for the log. */
  get state(): PoolState {
    return {
      running: this.runningCount,
      idle: this.idle.length,
      opening: this.opening,
      window: this.window.size,
      pausedMs: Math.max(0, Math.round(this.pausedUntil - this.clock.now())),
      latencyMs: Math.round(this.latency),
    };
  }

  private get opening(): number {
    return [...this.openings.values()].reduce((sum, one) => sum + one, 0);
  }

  /** Connections that are open or being opened. */
  get size(): number {
    return this.all.size + this.opening;
  }

  /** Whether nothing about it changes by time alone, but for a standby. */
  isQuiescent(keepsStandby: boolean): boolean {
    if (this.suspectedSince !== undefined) return false;
    return this.idle.length === this.size && this.size === +keepsStandby;
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

  hasIdle(user: MemberUser): boolean {
    return this.idle.some(pooled => pooled.user === user);
  }

  connectingCountOf(user: MemberUser): number {
    return this.openings.get(user) ?? 0;
  }

  /** Whether one more may be opened, in the place of another user's or not. */
  canConnect(limit: number, user = SHARED_USER): boolean {
    if (this.clock.now() < this.pausedUntil) return false;
    const counts = {
      open: this.all.size,
      connecting: this.opening,
      connectingForUser: this.connectingCountOf(user),
      limit,
      isGranted: this.isGranted,
    };
    const victim = this.policy.chooseVictim(this.idle, user);
    return this.policy.canConnect(counts, victim !== undefined);
  }

  /** Whether the member takes one more transaction, as far as it showed. */
  get hasWindow(): boolean {
    return this.window.allows(this.runningCount);
  }

  /** Takes a free connection of a user, with the session's values if there is. */
  checkout(need: ConnectionRequirement): PooledConnection | undefined {
    return this.takeIdle(this.policy.choose(this.idle, need));
  }

  /** Takes any free connection, for questions to the member itself. */
  checkoutAny(): PooledConnection | undefined {
    return this.takeIdle(this.idle.at(-1));
  }

  private takeIdle(
    pooled: PooledConnection | undefined,
  ): PooledConnection | undefined {
    if (pooled) this.idle.splice(this.idle.indexOf(pooled), 1);
    return pooled;
  }

  /** Takes a connection back; one that is not clean is closed. */
  release(pooled: PooledConnection, clean: boolean): void {
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
    this.window.onBusy(this.runningCount);
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
    if (this.opening === 0) this.connect(SHARED_USER);
  }

  private clearSuspicion(): void {
    this.suspectedSince = undefined;
    this.isConfirmed = false;
  }

  /** Opens a connection, in the place of another user's where it has to. */
  connectWithin(limit: number, user: MemberUser): void {
    const victim = this.policy.chooseVictim(this.idle, user);
    if (this.size >= limit && victim) this.drop(victim);
    this.connect(user);
  }

  connect(user: MemberUser): void {
    this.countOpening(user, 1);
    const {service, instance, address} = this.member;
    const target = {service, user, instance, address};
    void this.connector
      .connect(target, CONNECT_MS, this.signal)
      .then(outcome => {
        this.countOpening(user, -1);
        if (outcome.isErr) this.onFailedOpening(outcome.error, user);
        else this.onOpened(outcome.value, user);
        this.listener.onDidChange();
      });
  }

  private countOpening(user: MemberUser, change: number): void {
    const count = (this.openings.get(user) ?? 0) + change;
    if (count > 0) this.openings.set(user, count);
    else this.openings.delete(user);
  }

  /**
   * Closes idle connections that nobody used for a while, but for one that is
   * kept for work to come. A share below one says that there are more
   * instances than connections.
   */
  closeIdle(equalShare: number, keepsStandby: boolean): void {
    this.equalShare = equalShare;
    const now = this.clock.now();
    for (const pooled of [...this.idle]) {
      if (this.all.size === 1 && keepsStandby) return;
      const rested = now - pooled.idleSince;
      if (rested > this.mostRest(pooled, keepsStandby)) this.drop(pooled);
    }
  }

  /**
   * Takes what control granted, undefined where it grants nothing, and gives
   * back what is beyond it and rests; the longest rest first.
   */
  trimTo(granted: number | undefined): void {
    this.isGranted = granted !== undefined;
    const surplus = Math.max(0, this.size - (granted ?? Infinity));
    for (const pooled of this.idle.slice(0, surplus)) this.drop(pooled);
  }

  private mostRest({user}: PooledConnection, keepsStandby: boolean): number {
    if (this.equalShare < 1) return SCARCE_CLOSE_MS;
    const isSurplus = this.all.size > this.equalShare;
    if (user !== SHARED_USER) {
      return isSurplus ? ACCOUNT_SURPLUS_CLOSE_MS : ACCOUNT_CLOSE_MS;
    }
    if (isSurplus) return SURPLUS_CLOSE_MS;
    return keepsStandby ? IDLE_CLOSE_MS : RARE_CLOSE_MS;
  }

  /** Ends the pool: what is being opened for it is closed once it is there. */
  closeAll(): void {
    this.isEnded = true;
    for (const pooled of [...this.all]) this.drop(pooled);
  }

  private onOpened(link: TargetLink, user: MemberUser): void {
    // Guard: a member that is gone, or has moved, would keep the connection,
    // one of a few, for nobody.
    if (this.signal.aborted || this.isEnded) return link.close();
    const {instance} = this.member;
    const pooled: PooledConnection = {
      link,
      instance,
      user,
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
    this.listener.onDidOpen(instance, link.positionAtOpen);
  }

  private onFailedOpening(failure: ConnectFailure, user: MemberUser): void {
    const now = this.clock.now();
    if (failure === 'too many connections') {
      const isBelowShare = this.size < Math.floor(this.equalShare);
      const pauseMs = isBelowShare ? FULL_PAUSE_MS : this.fullPauseMs;
      this.pausedUntil = now + pauseMs;
      this.fullPauseMs = Math.min(pauseMs * 2, MOST_FULL_PAUSE_MS);
      // The next try finds room where a resting one made place.
      const victim = this.policy.chooseVictim(this.idle, user);
      if (victim) this.drop(victim);
    } else {
      this.suspectedSince ??= now;
      this.isConfirmed = true;
      this.pausedUntil = now + this.pauseMs;
      this.pauseMs = Math.min(this.pauseMs * 2, MOST_PAUSE_MS);
    }
    this.listener.onDidFailToOpen(this.member.instance, failure);
  }

  private drop(pooled: PooledConnection): void {
    if (!this.all.delete(pooled)) return;
    this.idle = this.idle.filter(item => item !== pooled);
    pooled.link.close();
  }
}
