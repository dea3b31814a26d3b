import type {Clock} from '../../base/common/clock';
import {
  instanceId,
  type InstanceId,
  type ServiceName,
  type SiteId,
} from '../../base/common/ids';
import {err, ok} from '../../base/common/result';
import {Mailbox, spawnTask, type Task} from '../../base/node/task';
import {after, every} from '../../base/node/timers';
import {FairQueue} from '../../services/admission/common/fair_queue';
import {
  CLOSED_GRACE_MS,
  isConnected,
  silenceMsOf,
  type PositionSample,
  type TargetDirectory,
  type TargetKey,
} from '../../services/announcement/common/target_directory';
import {
  PendingCommits,
  type CommitOutcome,
} from '../../services/confirmation/common/pending_commits';
import {TermLease} from '../../services/lease/common/term_lease';
import type {TargetConnection} from '../../services/pool/node/target_connection';
import {TermHistory} from '../../services/position/common/term_history';
import type {Position} from '../../services/position/common/position';
import {
  routeRead,
  type ReadCandidate,
  type SiteLatency,
  type RouteDecision,
} from '../../services/routing/common/route_read';
import {OffsetHistory} from '../../services/routing/common/offset_history';
import type {
  ServiceSettings,
  SystemSettings,
} from '../../services/settings/common/settings';
import {Role, type TargetStatus} from '../../schema/generated/announcement';
import {
  Phase,
  type LeaseReturn,
  type ServiceRecord,
  type FailureReport,
} from '../../schema/generated/control';
import {InitialPositions} from '../common/initial_positions';
import {PositionPoll} from '../common/position_poll';
import type {CheckoutRefusal} from '../common/checkout_refusal';
import type {Checkout, CheckoutRequest} from './checkout_request';
import {CandidateCache} from './candidate_cache';
import {ServiceTargets} from './service_targets';

const TICK_INTERVAL_MS = 25;
/** How long a planned change of primary waits for transactions. */
const PLANNED_CHANGE_WAIT_MS = 500;
const MIN_RETRY_AFTER_MS = 200;
const SERVICE_TIME_WEIGHT = 0.05;

/** How a transaction on a target ended. */
export interface Release {
  readonly connection: TargetConnection;
  readonly instance: InstanceId;
  readonly isOnPrimary: boolean;
  /** No session state is left on the connection. */
  readonly isClean: boolean;
  /** Whether the target replied; false if it was lost or timed out. */
  readonly hasReplied: boolean;
  readonly startedAt: number;
}

/** A commit whose caller waits for the acknowledgement. */
export interface Acknowledgement {
  readonly position: Position;
  readonly deadline: number;
  readonly resolve: (outcome: CommitOutcome, position: Position) => void;
}

type RouterMessage =
  | {readonly kind: 'request'; readonly request: CheckoutRequest}
  | {readonly kind: 'withdraw'; readonly request: CheckoutRequest}
  | {readonly kind: 'release'; readonly release: Release}
  | {readonly kind: 'acknowledge'; readonly commit: Acknowledgement}
  | {
      readonly kind: 'target';
      readonly key: TargetKey;
      readonly status: TargetStatus | undefined;
    }
  | {
      readonly kind: 'sample';
      readonly key: TargetKey;
      readonly sample: PositionSample;
    }
  | {readonly kind: 'record'; readonly record: ServiceRecord}
  /** Control reports that no proxy can acknowledge writes. */
  | {
      readonly kind: 'writesBlocked';
      readonly requestedAt: number;
      readonly repliedAt: number;
    }
  | {
      readonly kind: 'lease';
      readonly term: number;
      readonly requestedAt: number;
      readonly leaseMs: number;
    }
  | {readonly kind: 'settings'; readonly settings: ServiceSettings}
  | {readonly kind: 'dispatch'}
  | {readonly kind: 'tick'};

/** Dependencies of the router of one service. */
export interface RouterDependencies {
  readonly service: ServiceName;
  readonly site: SiteId;
  readonly directory: TargetDirectory;
  readonly system: SystemSettings;
  readonly clock: Clock;
  readonly siteLatency: SiteLatency;
  ping(key: TargetKey): void;
  /** A lease was returned or the primary lost; control should know soon. */
  onDidHaveReport(): void;
}

/**
 * The task that makes all decisions of one service at one proxy: lease, pools,
 * queue, positions and commits. Sessions send it messages.
 */
export class ServiceRouter {
  readonly lease: TermLease;
  private readonly mailbox = new Mailbox<RouterMessage>(65_536);
  private readonly queue = new FairQueue<CheckoutRequest>();
  private readonly history = new OffsetHistory();
  private readonly initialPositions = new InitialPositions();
  private readonly positionPoll: PositionPoll;
  private readonly targets: ServiceTargets;
  private readonly commits: PendingCommits;
  private record: ServiceRecord | undefined;
  private termHistory = new TermHistory(0, []);
  private lastPrimary: InstanceId | undefined;
  private primaryInUseCount = 0;
  private termChangedAt = 0;
  private reportedLossTerm = 0;
  private meanServiceMs = 1;
  private isDispatchQueued = false;

  constructor(
    private readonly dependencies: RouterDependencies,
    private settings: ServiceSettings,
    private readonly signal: AbortSignal,
  ) {
    const {clock, service, site, directory, system, siteLatency} = dependencies;
    this.lease = new TermLease(clock);
    this.positionPoll = new PositionPoll(clock, () => {
      for (const {key} of directory.targetsOf(service)) dependencies.ping(key);
    });
    this.commits = new PendingCommits(this.lease, settings.confirmations);
    this.targets = new ServiceTargets(
      {
        service,
        site,
        directory,
        history: this.history,
        system,
        clock,
        siteLatency,
        onDidFreeConnection: () => this.queueDispatch(),
      },
      settings,
      signal,
    );
  }

  start(): void {
    every(this.signal, TICK_INTERVAL_MS, () => this.post({kind: 'tick'}));
    this.signal.addEventListener('abort', () => this.mailbox.close());
    spawnTask(`router ${this.dependencies.service}`, () => this.run());
  }

  /** False if the mailbox is full or closed. */
  post(message: RouterMessage): boolean {
    return this.mailbox.post(message);
  }

  /** The newest term and primary that control sent; undefined before. */
  get serviceRecord(): ServiceRecord | undefined {
    return this.record;
  }

  get queuedCount(): number {
    return this.queue.size;
  }

  /** How the primary looks from here, for the next lease request. */
  failureReport(): FailureReport | undefined {
    const {record} = this;
    if (record?.phase !== Phase.PHASE_STEADY) return undefined;
    const {directory, service, clock} = this.dependencies;
    const now = clock.now();
    const primary = directory.targetsOf(service).find(({key}) => {
      return key.instance === record.primary;
    });
    const silentMs = primary ? Math.round(silenceMsOf(primary, now)) : 0;
    const refused = primary !== undefined && !isConnected(primary, now);
    const unconfirmedMs = Math.round(this.commits.unconfirmedMs(now));
    const {term} = record;
    return {service, term, silentMs, refused, unconfirmedMs};
  }

  /** The terms whose leases were returned for a pending change of primary. */
  leaseReturn(): LeaseReturn | undefined {
    const {record} = this;
    if (!record || record.phase !== Phase.PHASE_CHANGING) return undefined;
    if (this.lease.term < record.term) return undefined;
    const highest = this.lease.highestAcknowledged;
    return {
      service: this.dependencies.service,
      belowTerm: record.term,
      highest,
    };
  }

  private *run(): Task<void> {
    for (;;) {
      const message = yield* this.mailbox.receive();
      if (!message) return;
      this.handle(message);
    }
  }

  private handle(message: RouterMessage): void {
    const now = this.dependencies.clock.now();
    switch (message.kind) {
      case 'request':
        return this.onRequest(message.request, now);
      case 'withdraw':
        this.queue.remove(message.request);
        return;
      case 'release':
        return this.onRelease(message.release, now);
      case 'acknowledge': {
        const {position, deadline, resolve} = message.commit;
        return this.commits.add(position, deadline, now, resolve);
      }
      case 'target':
        return this.onTarget(message.key, message.status);
      case 'sample':
        return this.onSample(message.key, message.sample, now);
      case 'record':
        return this.onRecord(message.record, now);
      case 'writesBlocked':
        return this.history.onWritesBlocked(
          message.requestedAt,
          message.repliedAt,
        );
      case 'lease':
        return this.onLease(message.term, message.requestedAt, message.leaseMs);
      case 'settings':
        return this.onSettings(message.settings);
      case 'dispatch':
        this.isDispatchQueued = false;
        return this.dispatch();
      case 'tick':
        return this.onTick(now);
    }
  }

  // ---- Requests ----

  private onRequest(request: CheckoutRequest, now: number): void {
    const refusal = this.refusalOf(request, now);
    if (refusal) return request.resolve(err(refusal));
    this.queue.add(request);
    this.pollPositions(request);
    this.dispatch();
  }

  /** Admission control: requests that cannot be served in time. */
  private refusalOf(
    request: CheckoutRequest,
    now: number,
  ): CheckoutRefusal | undefined {
    const quota = Math.max(1, this.targets.connectionQuota);
    const expectedMs =
      (this.queue.countAhead(request) * this.meanServiceMs) / quota;
    const retryAfterMs = Math.ceil(expectedMs) + MIN_RETRY_AFTER_MS;
    if (this.queue.size >= this.settings.queue) {
      return {reason: 'queue full', retryAfterMs};
    }
    if (now + expectedMs <= request.deadline) return undefined;
    return {reason: 'deadline cannot be met', retryAfterMs};
  }

  private pollPositions(request: CheckoutRequest): void {
    const {record} = this;
    if (request.minPosition || request.access === 'write' || !record) return;
    if (this.minPositionOf(request)) return;
    this.positionPoll.request();
  }

  private dispatch(): void {
    const {record} = this;
    if (!record || this.queue.size === 0) return;
    const now = this.dependencies.clock.now();
    const hasPrimary = this.isPrimaryUsable(record, now);
    const {targets, termHistory} = this;
    const cache = new CandidateCache(targets, record, termHistory, hasPrimary);
    this.queue.offer(now, request => {
      if (!this.targets.hasFreeConnection) return 'stop';
      const needsPrimary = request.access === 'write' || request.maxAgeMs === 0;
      const candidates = needsPrimary ? cache.primary : cache.all;
      if (!this.checkOut(request, record, candidates, now)) return 'later';
      cache.invalidate();
      return 'taken';
    });
  }

  private isPrimaryUsable(record: ServiceRecord, now: number): boolean {
    const primary = this.targets.primary(record);
    return primary !== undefined && this.lease.isHeld(record.term, now);
  }

  private checkOut(
    request: CheckoutRequest,
    record: ServiceRecord,
    candidates: readonly ReadCandidate[],
    now: number,
  ): boolean {
    const minPosition = this.minPositionOf(request);
    const decision = this.decide(request, minPosition, candidates, now);
    if (decision.kind === 'wait') return false;
    const {instance, reason} = decision;
    const connection = this.targets.poolOf(instance)?.checkout();
    if (!connection) return false;
    const chosen = candidates.find(member => member.instance === instance)!;
    if (chosen.isPrimary) this.primaryInUseCount++;
    const checkout: Checkout = {
      connection,
      instance,
      isOnPrimary: chosen.isPrimary,
      reason: request.access === 'write' ? 'primary for a write' : reason,
      minPosition: minPosition ?? {term: 0, offset: 0},
      term: record.term,
      ageMs: chosen.isPrimary ? 0 : chosen.ageMs,
    };
    request.resolve(ok(checkout));
    return true;
  }

  private decide(
    request: CheckoutRequest,
    minPosition: Position | undefined,
    candidates: readonly ReadCandidate[],
    now: number,
  ): RouteDecision {
    const isWrite = request.access === 'write';
    const offset = minPosition && this.termHistory.requiredOffset(minPosition);
    return routeRead(
      {
        maxAgeMs: isWrite ? 0 : request.maxAgeMs,
        minOffset: offset,
        allowsOlder: request.olderWithNotice,
        waitedMs: now - request.requestedAt,
      },
      candidates,
    );
  }

  private minPositionOf(request: CheckoutRequest): Position | undefined {
    if (request.minPosition) return request.minPosition;
    const {members, confirmations} = this.settings;
    const readQuorum = members - confirmations;
    return this.initialPositions.minPosition(request.connectedAt, readQuorum);
  }

  private onRelease(release: Release, now: number): void {
    const {connection, instance, isOnPrimary, isClean, hasReplied} = release;
    if (isOnPrimary) this.primaryInUseCount--;
    this.targets.poolOf(instance)?.release(connection, isClean);
    const {ejection} = this.targets;
    if (hasReplied) {
      const tookMs = now - release.startedAt;
      this.meanServiceMs += (tookMs - this.meanServiceMs) * SERVICE_TIME_WEIGHT;
      ejection.onSuccess(instance, now);
    } else {
      ejection.onFailure(instance, this.usableReplicaCount(), now);
    }
    this.returnLeaseIfDone(now);
  }

  private usableReplicaCount(): number {
    const {record} = this;
    if (!record) return 0;
    return this.targets
      .candidates(record, this.termHistory, false)
      .filter(({isUsable}) => isUsable).length;
  }

  private queueDispatch(): void {
    if (this.isDispatchQueued || this.queue.size === 0) return;
    this.isDispatchQueued = true;
    this.post({kind: 'dispatch'});
  }

  // ---- Targets ----

  private onTarget(key: TargetKey, status: TargetStatus | undefined): void {
    if (!status) {
      this.commits.onClosed(key.instance);
      this.initialPositions.onClosed(key.instance);
      this.checkAfterGrace();
      return;
    }
    const target = this.dependencies.directory.get(key);
    if (target) this.targets.onTarget(target);
    const isReplica = status.role === Role.ROLE_REPLICA;
    if (isReplica) this.commits.onStatus(key.instance, status);
    this.queueDispatch();
  }

  /** Detects a loss when the grace ends instead of at the next tick. */
  private checkAfterGrace(): void {
    after(this.signal, CLOSED_GRACE_MS + 1, () => this.post({kind: 'tick'}));
  }

  private onSample(key: TargetKey, sample: PositionSample, now: number): void {
    const {status, requestedAt} = sample;
    if (status.matchedTerm > 0) {
      this.initialPositions.onMember(key.instance, requestedAt, status);
    }
    if (this.isLeasedPrimary(key, status, requestedAt)) {
      this.initialPositions.onPrimary(requestedAt, status);
      this.positionPoll.onReply(requestedAt);
      this.history.onSample(requestedAt, status.appliedOffset);
    } else {
      const age = this.history.ageOf(status.appliedOffset, now);
      this.targets.onAge(key.instance, age);
    }
    this.dispatch();
  }

  /**
   * Guard: a replaced primary's position is not trusted. No later term can
   * acknowledge a write while a lease on this one is held, so a sample counts
   * only if it was requested under the lease.
   */
  private isLeasedPrimary(
    key: TargetKey,
    status: TargetStatus,
    requestedAt: number,
  ): boolean {
    const {record} = this;
    if (!record || record.phase !== Phase.PHASE_STEADY) return false;
    if (key.instance !== record.primary) return false;
    const isPrimary = status.role === Role.ROLE_PRIMARY;
    if (!isPrimary || status.term !== record.term) return false;
    return this.lease.isHeld(record.term, requestedAt);
  }

  // ---- Control ----

  private onRecord(record: ServiceRecord, now: number): void {
    const previous = this.record;
    if (previous && previous.revision > record.revision) return;
    const isNewTerm = previous !== undefined && record.term > previous.term;
    this.record = record;
    this.termHistory = termHistoryOf(record);
    if (isNewTerm) {
      this.termChangedAt = now;
      this.history.onWritesResumed();
    }
    if (record.phase === Phase.PHASE_STEADY) this.onSteady(record, previous);
    this.returnLeaseIfDone(now);
    // Commits of the old term may be confirmed until the lease is returned.
    if (this.lease.term >= record.term) {
      this.commits.onServiceRecord(record, now);
    }
    this.dispatch();
  }

  private onSteady(
    record: ServiceRecord,
    previous: ServiceRecord | undefined,
  ): void {
    this.lease.returnBelow(record.term);
    const primary = instanceId(record.primary);
    const {lastPrimary} = this;
    if (lastPrimary && lastPrimary !== primary) {
      this.targets.closeInUse(lastPrimary);
    }
    this.lastPrimary = primary;
    const start = record.termStarts.at(-1);
    const isNew = previous?.phase !== Phase.PHASE_STEADY;
    if (start && isNew) this.history.onTermStart(start.baseOffset);
  }

  /** Returns the lease; a planned change first waits for transactions. */
  private returnLeaseIfDone(now: number): void {
    const {record} = this;
    if (record?.phase !== Phase.PHASE_CHANGING) return;
    if (this.lease.term >= record.term) return;
    const isBusy = this.primaryInUseCount > 0 || this.commits.pendingCount > 0;
    const mayWait = now - this.termChangedAt < PLANNED_CHANGE_WAIT_MS;
    if (record.planned && isBusy && mayWait) return;
    this.lease.returnBelow(record.term);
    this.commits.onServiceRecord(record, now);
    // Requests still running on the old primary fail now.
    if (this.lastPrimary) this.targets.closeInUse(this.lastPrimary);
    this.dependencies.onDidHaveReport();
  }

  private onLease(term: number, requestedAt: number, leaseMs: number): void {
    const {record} = this;
    if (record?.term !== term || record.phase !== Phase.PHASE_STEADY) return;
    this.lease.extend(term, requestedAt, leaseMs);
    this.history.onWritesResumed();
    this.commits.onLeaseExtended(this.dependencies.clock.now());
    this.dispatch();
  }

  private onSettings(settings: ServiceSettings): void {
    this.settings = settings;
    this.targets.setSettings(settings);
    this.commits.setRequiredConfirmations(settings.confirmations);
  }

  /** Reports a loss ahead of the next renewal, to shorten the failover. */
  private reportLoss(): void {
    const report = this.failureReport();
    const {silenceMs} = this.dependencies.system;
    const isLost =
      report !== undefined && (report.refused || report.silentMs >= silenceMs);
    const isNew = isLost && report.term !== this.reportedLossTerm;
    if (isNew) this.dependencies.onDidHaveReport();
    this.reportedLossTerm = isLost ? report.term : 0;
  }

  private onTick(now: number): void {
    this.reportLoss();
    this.positionPoll.onTick(now);
    const {directory, service} = this.dependencies;
    // Includes targets announced before the service was started here.
    for (const target of directory.targetsOf(service)) {
      this.targets.onTarget(target);
    }
    this.targets.maintain();
    this.commits.onTick(now);
    this.returnLeaseIfDone(now);
    for (const request of this.queue.expire(now)) {
      const hasPrimary =
        this.record !== undefined && this.isPrimaryUsable(this.record, now);
      const reason = hasPrimary ? 'deadline passed' : 'no primary';
      const retryAfterMs = MIN_RETRY_AFTER_MS;
      request.resolve(err({reason, retryAfterMs}));
    }
    this.dispatch();
  }
}

/** Between two terms, the history of the last one. */
function termHistoryOf({termStarts}: ServiceRecord): TermHistory {
  return new TermHistory(termStarts.at(-1)?.term ?? 0, termStarts);
}
