import type {Clock} from '../../base/common/clock';
import {
  instanceId,
  type InstanceId,
  type ServiceName,
  type SiteId,
} from '../../base/common/ids';
import {err, ok} from '../../base/common/outcome';
import {Mailbox, startTask, type Task} from '../../base/node/task';
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
import {ArrivalPositions} from '../common/initial_positions';
import {ArrivalQuestion} from '../common/position_poll';
import type {NotRun} from '../common/checkout_refusal';
import type {Grant, PlaceRequest} from './checkout_request';
import {DispatchView} from './candidate_cache';
import {ServiceTargets} from './service_targets';

const TICK_MS = 25;
/** Running writes are waited for this long before a planned change. */
const PLANNED_PATIENCE_MS = 500;
/** Told to callers where nothing better is known, in milliseconds. */
const DEFAULT_RETRY_MS = 200;
const SERVICE_TIME_WEIGHT = 0.05;

/** How a transaction on a target ended. */
export interface Release {
  readonly connection: TargetConnection;
  readonly instance: InstanceId;
  readonly onPrimary: boolean;
  /** Nothing of the session is left on the connection. */
  readonly clean: boolean;
  /** The target answered; false where it failed or did not in time. */
  readonly answered: boolean;
  readonly startedAt: number;
}

/** A commit that waits for its acknowledgement. */
export interface Acknowledgement {
  readonly position: Position;
  readonly deadline: number;
  readonly settle: (outcome: CommitOutcome, position: Position) => void;
}

type RouterMessage =
  | {readonly kind: 'request'; readonly request: PlaceRequest}
  | {readonly kind: 'withdraw'; readonly request: PlaceRequest}
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
  | {
      readonly kind: 'record';
      readonly record: ServiceRecord;
    }
  /** Control says that nobody can acknowledge writes. */
  | {
      readonly kind: 'closed';
      readonly askedAt: number;
      readonly answeredAt: number;
    }
  | {
      readonly kind: 'lease';
      readonly term: number;
      readonly askedAt: number;
      readonly leaseMs: number;
    }
  | {readonly kind: 'settings'; readonly settings: ServiceSettings}
  | {readonly kind: 'free'}
  | {readonly kind: 'tick'};

export interface RouterSurroundings {
  readonly service: ServiceName;
  readonly site: SiteId;
  readonly directory: TargetDirectory;
  readonly system: SystemSettings;
  readonly clock: Clock;
  readonly distance: SiteLatency;
  ping(key: TargetKey): void;
  /** Control should hear soon: a term given up, a primary lost. */
  onDidHaveNews(): void;
}

/**
 * The task that owns all decisions of one service at one proxy: its lease,
 * pools, queue, positions and commits. Sessions talk to it by messages.
 */
export class ServiceRouter {
  readonly lease: TermLease;
  private readonly mailbox = new Mailbox<RouterMessage>(65_536);
  private readonly queue = new FairQueue<PlaceRequest>();
  private readonly history = new OffsetHistory();
  private readonly arrivals = new ArrivalPositions();
  private readonly arrivalQuestion: ArrivalQuestion;
  private readonly targets: ServiceTargets;
  private readonly commits: PendingCommits;
  private record: ServiceRecord | undefined;
  private lineage = new TermHistory(0, []);
  private lastPrimary: InstanceId | undefined;
  private writesRunning = 0;
  private changeSeenAt = 0;
  private reportedLossTerm = 0;
  private serviceTimeMs = 1;
  private freeQueued = false;

  constructor(
    private readonly around: RouterSurroundings,
    private settings: ServiceSettings,
    private readonly signal: AbortSignal,
  ) {
    const {clock, service, site, directory, system, distance} = around;
    this.lease = new TermLease(clock);
    this.arrivalQuestion = new ArrivalQuestion(clock, () => {
      for (const {key} of directory.targetsOf(service)) around.ping(key);
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
        distance,
        onDidFree: () => this.noteFree(),
      },
      settings,
      signal,
    );
  }

  start(): void {
    every(this.signal, TICK_MS, () => this.post({kind: 'tick'}));
    this.signal.addEventListener('abort', () => this.mailbox.close());
    void startTask(`router ${this.around.service}`, () => this.run());
  }

  /** False where the router is overrun. */
  post(message: RouterMessage): boolean {
    return this.mailbox.post(message);
  }

  /** The term and primary in force, as this proxy knows them. */
  get serviceRecord(): ServiceRecord | undefined {
    return this.record;
  }

  get queued(): number {
    return this.queue.size;
  }

  /** What control should know with the next question for a lease. */
  suspicion(): FailureReport | undefined {
    const {record} = this;
    if (record?.phase !== Phase.PHASE_STEADY) return undefined;
    const {directory, service, clock} = this.around;
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

  /** This proxy's word about terms that it has given up. */
  handBack(): LeaseReturn | undefined {
    const {record} = this;
    if (!record || record.phase !== Phase.PHASE_CHANGING) return undefined;
    if (this.lease.term < record.term) return undefined;
    const highest = this.lease.highestAcknowledged;
    return {service: this.around.service, belowTerm: record.term, highest};
  }

  private *run(): Task<void> {
    for (;;) {
      const message = yield* this.mailbox.receive();
      if (!message) return;
      this.handle(message);
    }
  }

  private handle(message: RouterMessage): void {
    const now = this.around.clock.now();
    switch (message.kind) {
      case 'request':
        return this.onRequest(message.request, now);
      case 'withdraw':
        this.queue.remove(message.request);
        return;
      case 'release':
        return this.onRelease(message.release, now);
      case 'acknowledge': {
        const {position, deadline, settle} = message.commit;
        return this.commits.add(position, deadline, now, settle);
      }
      case 'target':
        return this.onTarget(message.key, message.status);
      case 'sample':
        return this.onSample(message.key, message.sample, now);
      case 'record':
        return this.onRecord(message.record, now);
      case 'closed':
        return this.history.onWritesBlocked(
          message.askedAt,
          message.answeredAt,
        );
      case 'lease':
        return this.onLease(message.term, message.askedAt, message.leaseMs);
      case 'settings':
        return this.onSettings(message.settings);
      case 'free':
        this.freeQueued = false;
        return this.dispatch();
      case 'tick':
        return this.onTick(now);
    }
  }

  // ---- Requests ----

  private onRequest(request: PlaceRequest, now: number): void {
    const refusal = this.refusalOf(request, now);
    if (refusal) return request.settle(err(refusal));
    this.queue.add(request);
    this.askArrival(request);
    this.dispatch();
  }

  /** What cannot be met is refused at once, with a time to come back. */
  private refusalOf(request: PlaceRequest, now: number): NotRun | undefined {
    const parallel = Math.max(1, this.targets.capacity);
    const expectedMs =
      (this.queue.countAhead(request) * this.serviceTimeMs) / parallel;
    const retryAfterMs = Math.ceil(expectedMs) + DEFAULT_RETRY_MS;
    if (this.queue.size >= this.settings.queue) {
      return {reason: 'queue full', retryAfterMs};
    }
    if (now + expectedMs <= request.deadline) return undefined;
    return {reason: 'deadline cannot be met', retryAfterMs};
  }

  private askArrival(request: PlaceRequest): void {
    const {record} = this;
    if (request.required || request.needs === 'write' || !record) return;
    if (this.requiredOf(request)) return;
    this.arrivalQuestion.want();
  }

  private dispatch(): void {
    const {record} = this;
    if (!record || this.queue.size === 0) return;
    const now = this.around.clock.now();
    const primaryUsable = this.isPrimaryUsable(record, now);
    const {targets, lineage} = this;
    const view = new DispatchView(targets, record, lineage, primaryUsable);
    this.queue.offer(now, request => {
      if (!this.targets.hasFree) return 'stop';
      const needsPrimary = request.needs === 'write' || request.ageMs === 0;
      const candidates = needsPrimary ? view.primary : view.all;
      if (!this.place(request, record, candidates, now)) return 'later';
      view.forget();
      return 'taken';
    });
  }

  private isPrimaryUsable(record: ServiceRecord, now: number): boolean {
    const primary = this.targets.primary(record);
    return primary !== undefined && this.lease.isHeld(record.term, now);
  }

  private place(
    request: PlaceRequest,
    record: ServiceRecord,
    candidates: readonly ReadCandidate[],
    now: number,
  ): boolean {
    const required = this.requiredOf(request);
    const decision = this.decide(request, required, candidates, now);
    if (decision.kind === 'wait') return false;
    const {instance, reason} = decision;
    const connection = this.targets.poolOf(instance)?.checkout();
    if (!connection) return false;
    const chosen = candidates.find(other => other.instance === instance)!;
    if (chosen.isPrimary) this.writesRunning++;
    const grant: Grant = {
      connection,
      instance,
      onPrimary: chosen.isPrimary,
      reason: request.needs === 'write' ? 'primary for a write' : reason,
      required: required ?? {term: 0, offset: 0},
      term: record.term,
      ageMs: chosen.isPrimary ? 0 : chosen.ageMs,
    };
    request.settle(ok(grant));
    return true;
  }

  private decide(
    request: PlaceRequest,
    required: Position | undefined,
    candidates: readonly ReadCandidate[],
    now: number,
  ): RouteDecision {
    const isWrite = request.needs === 'write';
    const offset = required && this.lineage.requiredOffset(required);
    return routeRead(
      {
        maxAgeMs: isWrite ? 0 : request.ageMs,
        minOffset: offset,
        allowsOlder: request.olderWithNotice,
        waitedMs: now - request.since,
      },
      candidates,
    );
  }

  private requiredOf(request: PlaceRequest): Position | undefined {
    if (request.required) return request.required;
    const {members, confirmations} = this.settings;
    const needed = members - confirmations;
    return this.arrivals.since(request.arrivedAt, needed);
  }

  private onRelease(release: Release, now: number): void {
    const {connection, instance, onPrimary, clean, answered} = release;
    if (onPrimary) this.writesRunning--;
    this.targets.poolOf(instance)?.release(connection, clean);
    const {ejection} = this.targets;
    if (answered) {
      const took = now - release.startedAt;
      this.serviceTimeMs += (took - this.serviceTimeMs) * SERVICE_TIME_WEIGHT;
      ejection.onSuccess(instance, now);
    } else {
      ejection.onFailure(instance, this.usableReplicas(), now);
    }
    this.giveUpIfDone(now);
  }

  private usableReplicas(): number {
    const {record} = this;
    if (!record) return 0;
    return this.targets
      .candidates(record, this.lineage, false)
      .filter(({isUsable}) => isUsable).length;
  }

  private noteFree(): void {
    if (this.freeQueued || this.queue.size === 0) return;
    this.freeQueued = true;
    this.post({kind: 'free'});
  }

  // ---- Targets ----

  private onTarget(key: TargetKey, status: TargetStatus | undefined): void {
    if (!status) {
      this.commits.onClosed(key.instance);
      this.arrivals.onClosed(key.instance);
      this.lookAfterGrace();
      return;
    }
    const target = this.around.directory.get(key);
    if (target) this.targets.onTarget(target);
    const isReplica = status.role === Role.ROLE_REPLICA;
    if (isReplica) this.commits.onStatus(key.instance, status);
    this.noteFree();
  }

  /** A loss is noticed when its grace ends, not with the tick after. */
  private lookAfterGrace(): void {
    after(this.signal, CLOSED_GRACE_MS + 1, () => this.post({kind: 'tick'}));
  }

  private onSample(key: TargetKey, sample: PositionSample, now: number): void {
    const {status, askedAt} = sample;
    if (status.matchedTerm > 0) {
      this.arrivals.onMember(key.instance, askedAt, status);
    }
    if (this.isLeasedPrimary(key, status, askedAt)) {
      this.arrivals.onPrimary(askedAt, status);
      this.arrivalQuestion.onAnswer(askedAt);
      this.history.onSample(askedAt, status.appliedOffset);
    } else {
      const age = this.history.ageOf(status.appliedOffset, now);
      this.targets.onAge(key.instance, age);
    }
    this.dispatch();
  }

  /**
   * Guard against taking a replaced primary's word: its samples count only
   * where this proxy's lease on its term held when it was asked, since no
   * later term can have acknowledged anything before that lease ended.
   */
  private isLeasedPrimary(
    key: TargetKey,
    status: TargetStatus,
    askedAt: number,
  ): boolean {
    const {record} = this;
    if (!record || record.phase !== Phase.PHASE_STEADY) return false;
    if (key.instance !== record.primary) return false;
    const leads = status.role === Role.ROLE_PRIMARY;
    if (!leads || status.term !== record.term) return false;
    return this.lease.isHeld(record.term, askedAt);
  }

  // ---- Control ----

  private onRecord(record: ServiceRecord, now: number): void {
    const known = this.record;
    if (known && known.revision > record.revision) return;
    const isNewTerm = known !== undefined && record.term > known.term;
    this.record = record;
    this.lineage = lineageOf(record);
    if (isNewTerm) {
      this.changeSeenAt = now;
      this.history.onWritesResumed();
    }
    if (record.phase === Phase.PHASE_STEADY) this.onSteady(record, known);
    this.giveUpIfDone(now);
    // Until the lease is given up, commits of its term may still be confirmed.
    if (this.lease.term >= record.term) {
      this.commits.onServiceRecord(record, now);
    }
    this.dispatch();
  }

  private onSteady(
    record: ServiceRecord,
    known: ServiceRecord | undefined,
  ): void {
    this.lease.returnBelow(record.term);
    const primary = instanceId(record.primary);
    const {lastPrimary} = this;
    if (lastPrimary && lastPrimary !== primary) {
      this.targets.abandon(lastPrimary);
    }
    this.lastPrimary = primary;
    const start = record.termStarts.at(-1);
    const begun = known?.phase !== Phase.PHASE_STEADY;
    if (start && begun) this.history.onTermStart(start.baseOffset);
  }

  /** Hands the lease back, after running writes where there is time. */
  private giveUpIfDone(now: number): void {
    const {record} = this;
    if (record?.phase !== Phase.PHASE_CHANGING) return;
    if (this.lease.term >= record.term) return;
    const busy = this.writesRunning > 0 || this.commits.pendingCount > 0;
    const patient = now - this.changeSeenAt < PLANNED_PATIENCE_MS;
    if (record.planned && busy && patient) return;
    this.lease.returnBelow(record.term);
    this.commits.onServiceRecord(record, now);
    // Whoever still waits for the old primary gets the final answer now.
    if (this.lastPrimary) this.targets.abandon(this.lastPrimary);
    this.around.onDidHaveNews();
  }

  private onLease(term: number, askedAt: number, leaseMs: number): void {
    const {record} = this;
    if (record?.term !== term || record.phase !== Phase.PHASE_STEADY) return;
    this.lease.extend(term, askedAt, leaseMs);
    this.history.onWritesResumed();
    this.commits.onLeaseExtended(this.around.clock.now());
    this.dispatch();
  }

  private onSettings(settings: ServiceSettings): void {
    this.settings = settings;
    this.targets.setSettings(settings);
    this.commits.setRequiredConfirmations(settings.confirmations);
  }

  /**
   * Control hears of a loss when it is noticed, not with the next question for
   * a lease: that would add its whole interval to the failover gap.
   */
  private noteLoss(): void {
    const suspicion = this.suspicion();
    const {silenceMs} = this.around.system;
    const isLost =
      suspicion !== undefined &&
      (suspicion.refused || suspicion.silentMs >= silenceMs);
    const isNew = isLost && suspicion.term !== this.reportedLossTerm;
    if (isNew) this.around.onDidHaveNews();
    this.reportedLossTerm = isLost ? suspicion.term : 0;
  }

  private onTick(now: number): void {
    this.noteLoss();
    this.arrivalQuestion.onTick(now);
    const {directory, service} = this.around;
    // Targets that announced themselves before the service was offered here.
    for (const target of directory.targetsOf(service)) {
      this.targets.onTarget(target);
    }
    this.targets.maintain();
    this.commits.onTick(now);
    this.giveUpIfDone(now);
    for (const request of this.queue.expire(now)) {
      const hasPrimary =
        this.record !== undefined && this.isPrimaryUsable(this.record, now);
      const reason = hasPrimary ? 'deadline passed' : 'no primary';
      const retryAfterMs = DEFAULT_RETRY_MS;
      request.settle(err({reason, retryAfterMs}));
    }
    this.dispatch();
  }
}

/** Between two terms the log in force is still that of the last one. */
function lineageOf({termStarts}: ServiceRecord): TermHistory {
  return new TermHistory(termStarts.at(-1)?.term ?? 0, termStarts);
}
