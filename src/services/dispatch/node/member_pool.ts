import type {MemberUser} from '../../../base/common/ids';
import type {Clock} from '../../../base/common/clock';
import {detach} from '../../../base/node/broken_invariant';
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

/** A connect that takes longer has failed. */
const CONNECT_TIMEOUT_MS = 1_000;
const IDLE_TIMEOUT_MS = 4_000;
/** For members that mostly other instances use. */
const SELDOM_USED_IDLE_TIMEOUT_MS = 1_000;
/** For connections beyond the equal share, which others may need. */
const SURPLUS_IDLE_TIMEOUT_MS = 250;
/**
 * For members with fewer connections than instances; covers the pauses in a
 * burst only, since an idle connection blocks another instance.
 */
const SCARCE_IDLE_TIMEOUT_MS = 120;
/**
 * For connections of an account, which no other account can use. They are
 * closed earlier if another account needs the capacity.
 */
const ACCOUNT_IDLE_TIMEOUT_MS = 30_000;
const ACCOUNT_SURPLUS_IDLE_TIMEOUT_MS = 1_000;
/** Idle connections of an account count as used; a request may follow soon. */
const ACCOUNT_RECENT_USE_MS = 1_000;
/**
 * Delay of connects to a member that has no free connections. It doubles only
 * for instances at their equal share, so that their attempts don't load a full
 * member, while those below it still get a connection.
 */
const MIN_FULL_DELAY_MS = 100;
const MAX_FULL_DELAY_MS = 800;
/** Delay after another failed connect; doubles with each failure. */
const MIN_CONNECT_DELAY_MS = 100;
const MAX_CONNECT_DELAY_MS = 1_000;
/**
 * How long an observed lag counts, as a fraction of it within bounds. Trying a
 * replica that still lags costs a slot and a round trip.
 */
const MIN_LAG_VALID_MS = 250;
const MAX_LAG_VALID_MS = 1_000;
const LAG_VALID_FRACTION = 0.25;
/** A member that does not reply is failing unless a connect succeeds soon. */
const SUSPECT_TIMEOUT_MS = 200;
const LATENCY_WEIGHT = 0.15;
/** Assumed before a reply was measured. */
const INITIAL_LATENCY_MS = 20;

/** A connection, with the state that earlier sessions left on it. */
export interface PooledConnection {
  readonly link: TargetLink;
  readonly instance: string;
  readonly user: MemberUser;
  /** Session settings in effect on it. */
  readonly values: Map<string, string>;
  /** Names of the statements prepared on it, by their text. */
  readonly prepared: Map<string, string>;
  becameIdleAt: number;
}

/** The state of a pool, for the log. */
export interface PoolState {
  readonly running: number;
  readonly idle: number;
  readonly opening: number;
  /** Size of the concurrency window. */
  readonly window: number;
  /** For how long connects are still delayed. */
  readonly pausedMs: number;
  readonly latencyMs: number;
}

/** Receives the events of a pool. */
export interface PoolListener {
  /** A connection became idle or was closed, or a connect ended. */
  onDidChange(): void;
  onDidConnect(instance: string, position: Position | undefined): void;
  onDidFailToConnect(instance: string, failure: ConnectFailure): void;
}

/** The connections of this instance to one member. */
export class MemberPool {
  private idle: PooledConnection[] = [];
  private readonly all = new Set<PooledConnection>();
  /** Counts of the connects in progress, by user. */
  private readonly connectingCounts = new Map<MemberUser, number>();
  private readonly policy: ConnectionPolicy = new LeastRecentlyUsed();
  private connectAllowedAt = 0;
  private connectDelayMs = MIN_CONNECT_DELAY_MS;
  private fullDelayMs = MIN_FULL_DELAY_MS;
  private equalShare = 0;
  private isGranted = false;
  private smoothedLatencyMs = INITIAL_LATENCY_MS;
  /** When the member first failed to reply since its last reply. */
  private suspectedAt: number | undefined;
  private isUnreachable = false;
  private isClosed = false;
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

  /** Connections that transactions hold, or an account used recently. */
  get usedCount(): number {
    const usedAfter = this.clock.now() - ACCOUNT_RECENT_USE_MS;
    const recentlyUsed = this.idle.filter(({user, becameIdleAt}) => {
      return user !== SHARED_USER && becameIdleAt >= usedAfter;
    });
    return this.runningCount + recentlyUsed.length;
  }

  get latencyMs(): number {
    return this.smoothedLatencyMs;
  }

  get state(): PoolState {
    return {
      running: this.runningCount,
      idle: this.idle.length,
      opening: this.connectingCount,
      window: this.window.size,
      pausedMs: Math.max(
        0,
        Math.round(this.connectAllowedAt - this.clock.now()),
      ),
      latencyMs: Math.round(this.smoothedLatencyMs),
    };
  }

  private get connectingCount(): number {
    return [...this.connectingCounts.values()].reduce(
      (sum, count) => sum + count,
      0,
    );
  }

  /** Open connections and connects in progress. */
  get size(): number {
    return this.all.size + this.connectingCount;
  }

  /** Whether there is nothing to check over time. */
  isQuiescent(keepsIdle: boolean): boolean {
    if (this.suspectedAt !== undefined) return false;
    return this.idle.length === this.size && this.size === +keepsIdle;
  }

  /**
   * Whether the member is unreachable. A missing reply counts once a connect
   * fails too, or none succeeds for a while.
   */
  get isFailing(): boolean {
    if (this.suspectedAt === undefined) return false;
    const suspectedForMs = this.clock.now() - this.suspectedAt;
    return this.isUnreachable || suspectedForMs >= SUSPECT_TIMEOUT_MS;
  }

  hasIdle(user: MemberUser): boolean {
    return this.idle.some(pooled => pooled.user === user);
  }

  connectingCountOf(user: MemberUser): number {
    return this.connectingCounts.get(user) ?? 0;
  }

  /** Whether to connect once more, closing another user's if needed. */
  canConnect(limit: number, user = SHARED_USER): boolean {
    if (this.clock.now() < this.connectAllowedAt) return false;
    const counts = {
      open: this.all.size,
      connecting: this.connectingCount,
      connectingForUser: this.connectingCountOf(user),
      limit,
      isGranted: this.isGranted,
    };
    const victim = this.policy.chooseVictim(this.idle, user);
    return this.policy.canConnect(counts, victim !== undefined);
  }

  /** Whether the concurrency window allows one more transaction. */
  get hasWindow(): boolean {
    return this.window.allows(this.runningCount);
  }

  /** Takes an idle connection of the user, with its settings if possible. */
  checkOut(requirement: ConnectionRequirement): PooledConnection | undefined {
    return this.acquireIdle(this.policy.choose(this.idle, requirement));
  }

  /** Takes any idle connection, for requests that need no user. */
  checkOutAny(): PooledConnection | undefined {
    return this.acquireIdle(this.idle.at(-1));
  }

  private acquireIdle(
    pooled: PooledConnection | undefined,
  ): PooledConnection | undefined {
    if (pooled) this.idle.splice(this.idle.indexOf(pooled), 1);
    return pooled;
  }

  /** Returns a connection to the pool; one that is not clean is closed. */
  release(pooled: PooledConnection, isClean: boolean): void {
    if (!this.all.has(pooled)) return;
    if (!isClean || pooled.link.isClosed) {
      this.close(pooled);
      return;
    }
    pooled.becameIdleAt = this.clock.now();
    this.idle.push(pooled);
  }

  /** Records that the member refused a statement for lack of capacity. */
  onBusy(): void {
    this.window.onBusy(this.runningCount);
    this.clearSuspected();
  }

  /** Records a reply and its response time. */
  onAnswer(responseMs: number): void {
    this.window.onAnswer();
    this.clearSuspected();
    this.smoothedLatencyMs +=
      (responseMs - this.smoothedLatencyMs) * LATENCY_WEIGHT;
  }

  /** Records how far behind the primary the member was. */
  onLag(lagMs: number): void {
    this.lag = {ms: lagMs, at: this.clock.now()};
  }

  /** The observed lag while it counts; otherwise 0. */
  get lagMs(): number {
    const {ms, at} = this.lag;
    const validMs = Math.max(MIN_LAG_VALID_MS, ms * LAG_VALID_FRACTION);
    const ageMs = this.clock.now() - at;
    return ageMs < Math.min(validMs, MAX_LAG_VALID_MS) ? ms : 0;
  }

  /** Records that the member did not reply in time. */
  onSilence(): void {
    this.suspectedAt ??= this.clock.now();
    // Guard: established connections can stay silent while new ones work; each
    // idle one would time out a request. They are closed and opened anew.
    for (const pooled of this.idle.splice(0)) this.close(pooled);
    if (this.connectingCount === 0) this.connect(SHARED_USER);
  }

  private clearSuspected(): void {
    this.suspectedAt = undefined;
    this.isUnreachable = false;
  }

  /** Connects, closing another user's connection at the limit. */
  connectWithin(limit: number, user: MemberUser): void {
    const victim = this.policy.chooseVictim(this.idle, user);
    if (this.size >= limit && victim) this.close(victim);
    this.connect(user);
  }

  connect(user: MemberUser): void {
    this.changeConnectingCount(user, 1);
    const {service, instance, address} = this.member;
    const target = {service, user, instance, address};
    detach(
      'connection to a member',
      this.connector
        .connect(target, CONNECT_TIMEOUT_MS, this.signal)
        .then(result => {
          this.changeConnectingCount(user, -1);
          if (result.isErr) this.handleConnectFailure(result.error, user);
          else this.handleConnected(result.value, user);
          this.listener.onDidChange();
        }),
    );
  }

  private changeConnectingCount(user: MemberUser, change: number): void {
    const count = (this.connectingCounts.get(user) ?? 0) + change;
    if (count > 0) this.connectingCounts.set(user, count);
    else this.connectingCounts.delete(user);
  }

  /**
   * Closes connections whose idle timeout has passed, except one to be kept.
   *
   * @param equalShare Below 1 if there are more instances than connections.
   */
  closeIdle(equalShare: number, keepsIdle: boolean): void {
    this.equalShare = equalShare;
    const now = this.clock.now();
    for (const pooled of [...this.idle]) {
      if (this.all.size === 1 && keepsIdle) return;
      const idleMs = now - pooled.becameIdleAt;
      if (idleMs > this.idleTimeoutOf(pooled, keepsIdle)) this.close(pooled);
    }
  }

  /**
   * Closes idle connections beyond the grant, the longest idle first.
   *
   * @param grantedCount Undefined if control grants no connections.
   */
  trimTo(grantedCount: number | undefined): void {
    this.isGranted = grantedCount !== undefined;
    const surplusCount = Math.max(0, this.size - (grantedCount ?? Infinity));
    for (const pooled of this.idle.slice(0, surplusCount)) this.close(pooled);
  }

  private idleTimeoutOf({user}: PooledConnection, keepsIdle: boolean): number {
    if (this.equalShare < 1) return SCARCE_IDLE_TIMEOUT_MS;
    const isSurplus = this.all.size > this.equalShare;
    if (user !== SHARED_USER) {
      return isSurplus
        ? ACCOUNT_SURPLUS_IDLE_TIMEOUT_MS
        : ACCOUNT_IDLE_TIMEOUT_MS;
    }
    if (isSurplus) return SURPLUS_IDLE_TIMEOUT_MS;
    return keepsIdle ? IDLE_TIMEOUT_MS : SELDOM_USED_IDLE_TIMEOUT_MS;
  }

  /** Closes all connections, also those that are still being opened. */
  closeAll(): void {
    this.isClosed = true;
    for (const pooled of [...this.all]) this.close(pooled);
  }

  private handleConnected(link: TargetLink, user: MemberUser): void {
    // Guard: a pool whose member was removed would keep one of the member's
    // few connections for good. A late connect is closed at once.
    if (this.signal.aborted || this.isClosed) return link.close();
    const {instance} = this.member;
    const pooled: PooledConnection = {
      link,
      instance,
      user,
      values: new Map(),
      prepared: new Map(),
      becameIdleAt: this.clock.now(),
    };
    this.connectDelayMs = MIN_CONNECT_DELAY_MS;
    this.fullDelayMs = MIN_FULL_DELAY_MS;
    this.clearSuspected();
    this.all.add(pooled);
    this.idle.push(pooled);
    link.onDidClose(() => {
      this.close(pooled);
      this.listener.onDidChange();
    });
    this.listener.onDidConnect(instance, link.positionAtOpen);
  }

  private handleConnectFailure(
    failure: ConnectFailure,
    user: MemberUser,
  ): void {
    const now = this.clock.now();
    if (failure === 'too many connections') {
      const isBelowShare = this.size < Math.floor(this.equalShare);
      const connectDelayMs = isBelowShare
        ? MIN_FULL_DELAY_MS
        : this.fullDelayMs;
      this.connectAllowedAt = now + connectDelayMs;
      this.fullDelayMs = Math.min(connectDelayMs * 2, MAX_FULL_DELAY_MS);
      // Frees capacity for the next attempt.
      const victim = this.policy.chooseVictim(this.idle, user);
      if (victim) this.close(victim);
    } else {
      this.suspectedAt ??= now;
      this.isUnreachable = true;
      this.connectAllowedAt = now + this.connectDelayMs;
      this.connectDelayMs = Math.min(
        this.connectDelayMs * 2,
        MAX_CONNECT_DELAY_MS,
      );
    }
    this.listener.onDidFailToConnect(this.member.instance, failure);
  }

  private close(pooled: PooledConnection): void {
    if (!this.all.delete(pooled)) return;
    this.idle = this.idle.filter(other => other !== pooled);
    pooled.link.close();
  }
}
