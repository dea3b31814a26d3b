import type {Result} from '../../../base/common/result';
import {sleep, settled, startTask, type Task} from '../../../base/node/task';
import type {Member, PrimaryAssignment} from '../../../schema/generated/fleet';
import {ClaimedRole} from '../../../schema/generated/fleet';
import {formatPosition} from '../../position/common/position';
import {assessPrimary, REPLICA_REASON} from '../common/assess_primary';
import {hasChosenLog} from '../common/complete_log';
import {
  findSuccessor,
  sendToAll,
  type SuccessorSearchResult,
} from './successor_search';
import {REQUEST_MAX_AGE_MS, RequestOrder} from '../common/request_order';
import {PromotionLog} from './promotion_log';
import {PromotionRequests} from './promotion_requests';
import type {PromotionDependencies} from './promotion_dependencies';

const CHECK_INTERVAL_MS = 100;
/** Minimum time between equal warnings. */
const REPEAT_MS = 2_000;
/** Time in which proxies attach to a new leader and send failure reports. */
const REPORT_WAIT_MS = 700;
const LEASE_CHECK_INTERVAL_MS = 10;
/** A member that has been silent for longer is not promoted. */
const MAX_SILENCE_MS = 500;

type Successor = SuccessorSearchResult & {readonly kind: 'successor'};

/** What is to be replaced and why, for log lines. */
interface ReplacementFields {
  readonly service: string;
  readonly primary: string;
  readonly reason: string;
}

/** Task that monitors the primary of one service and replaces it if needed. */
export class PromotionDriver {
  private warned = {text: '', at: -Infinity};
  /** Since when no member can be promoted; undefined if none has to be. */
  private waitingSince: number | undefined;
  /** When the current reason for a warning was first seen. */
  private warnedSince = -Infinity;
  private readonly startedAt: number;
  private readonly order: RequestOrder;
  private readonly requests: PromotionRequests;
  private readonly lines: PromotionLog;
  /** Since when an earlier request has held up a promotion. */
  private heldSince: number | undefined;
  /** Replicas may have been paused by this leader or an earlier one. */
  private mayBePaused = true;
  /** Epoch of the last promotion that is known to have taken effect. */
  private lastEffectiveEpoch = 0;

  constructor(private readonly dependencies: PromotionDependencies) {
    this.startedAt = dependencies.clock.now();
    this.order = new RequestOrder(dependencies.access.isFenced, this.startedAt);
    this.requests = new PromotionRequests(dependencies, this.order);
    this.lines = new PromotionLog(dependencies);
  }

  /** For how long the service has waited for a new primary, in milliseconds. */
  get waitingMs(): number {
    const now = this.dependencies.clock.now();
    return now - (this.waitingSince ?? now);
  }

  /** Whether a request for the assigned member may still take effect. */
  get mayTakeEffect(): boolean {
    const isPending = this.dependencies.assignment()?.pending === true;
    return isPending && this.order.mayTakeEffect(this.now);
  }

  /** For how long an earlier request has held up a promotion, in ms. */
  get heldMs(): number {
    const now = this.dependencies.clock.now();
    return now - (this.heldSince ?? now);
  }

  /** Whether it neither replaces the primary nor lets replicas receive again. */
  get isSteady(): boolean {
    return !this.mayBePaused && this.waitingSince === undefined;
  }

  start(signal: AbortSignal): Promise<void> {
    const {service} = this.dependencies;
    return startTask(`promotion ${service}`, () => this.run(signal));
  }

  private get now(): number {
    return this.dependencies.clock.now();
  }

  private *run(signal: AbortSignal): Task<void> {
    yield* this.inheritRequests(signal);
    while (!signal.aborted) {
      yield* sleep(CHECK_INTERVAL_MS);
      yield* this.check(signal);
    }
  }

  /**
   * Guard: before a majority confirms this leader, the assignment may not be
   * the newest one, whose request may still be under way.
   */
  private *inheritRequests(signal: AbortSignal): Task<void> {
    while (!signal.aborted && !(yield* this.confirmsLeadership(Infinity))) {
      yield* sleep(CHECK_INTERVAL_MS);
    }
    if (signal.aborted) return;
    const assignment = this.dependencies.assignment();
    const endedAt = this.dependencies.leadershipEndOf(assignment?.epoch ?? 0);
    this.order.inherit(assignment, endedAt);
    this.lines.logStart(this.order.underWayMs(this.now));
  }

  private *check(signal: AbortSignal): Task<void> {
    const assignment = this.dependencies.assignment();
    if (!assignment) return yield* this.assignFirstPrimary();
    this.lines.observe(assignment);
    if (assignment.pending && this.lastEffectiveEpoch !== assignment.epoch) {
      return yield* this.resumePromotion(assignment, signal);
    }
    if (assignment.pending) yield* this.completePromotion(assignment);
    const reason = yield* this.findReplaceReason(assignment);
    if (reason) return yield* this.replace(assignment, reason, signal);
    this.waitingSince = undefined;
    this.heldSince = undefined;
    if (this.dependencies.isRevoked()) yield* this.keepPrimary(assignment);
    else if (this.mayBePaused) yield* this.resumeReplicas(assignment);
  }

  /** Before the first promotion, assigns the member that claims the role. */
  private *assignFirstPrimary(): Task<void> {
    const claimant = this.dependencies.claimedPrimary();
    if (!claimant) return;
    yield* settled(this.assignLeading(claimant.instance));
  }

  /** Assigns a member that is the primary, without a request. */
  private assignLeading(instance: string): Promise<Result<number, string>> {
    const haveOthersEnded = !this.order.mayTakeEffect(this.now);
    const requests = {isPending: false, isSingle: false, haveOthersEnded};
    return this.dependencies.assignPrimary(instance, requests);
  }

  private get hasCollectedReports(): boolean {
    return this.dependencies.clock.now() - this.startedAt >= REPORT_WAIT_MS;
  }

  /**
   * Resumes a promotion that may not have taken effect, perhaps of an earlier
   * leader. The same member is promoted: since it was chosen, no other member
   * can have acknowledged anything.
   */
  private *resumePromotion(
    assignment: PrimaryAssignment,
    signal: AbortSignal,
  ): Task<void> {
    const {instance, epoch} = assignment;
    const isPrimary = yield* this.requests.isPrimary(instance);
    if (isPrimary && this.order.allowsService(assignment, this.now)) {
      this.lastEffectiveEpoch = epoch;
      this.order.onDidTakeEffect(this.now);
      this.lines.logLeading(assignment);
      return this.dependencies.onDidPromote(instance);
    }
    this.waitingSince ??= this.now;
    if (!this.hasCollectedReports) return;
    const successor = this.memberOf(instance);
    const isAvailable =
      successor !== undefined &&
      hasChosenLog(successor, this.dependencies.baseline()) &&
      !this.dependencies.isUncertain(successor) &&
      this.dependencies.monitorOf(successor).silentMs < MAX_SILENCE_MS;
    if (!isAvailable) {
      return yield* this.replace(assignment, 'the successor failed', signal);
    }
    if (this.requests.canRepeat(epoch)) {
      return yield* this.request(assignment, undefined, signal);
    }
    if (this.order.allowsNewToken(this.now)) {
      return yield* this.promote(instance, signal);
    }
    const {service} = this.dependencies;
    this.holdBack({service, primary: instance, reason: 'it does not lead yet'});
  }

  /** Warns that an earlier request keeps this leader from a decision. */
  private holdBack(fields: ReplacementFields): void {
    const why = 'an earlier request may still take effect';
    this.heldSince ??= this.now;
    const remainingMs = Math.round(this.order.underWayMs(this.now));
    const until = `${remainingMs} ms have passed`;
    this.warnOnce('Cannot promote safely.', {...fields, why, until});
  }

  private *completePromotion(assignment: PrimaryAssignment): Task<void> {
    if (!this.order.allowsCompletion(this.now)) return;
    const mayTakeEffectMs = Math.round(this.order.underWayMs(this.now));
    const completed = yield* settled(
      this.dependencies.completePromotion(assignment.epoch),
    );
    const done = 'value' in completed && completed.value;
    this.lines.logSettled(assignment, mayTakeEffectMs, done);
  }

  private *findReplaceReason({
    instance,
  }: PrimaryAssignment): Task<string | undefined> {
    const primary = this.memberOf(instance);
    if (!primary) return this.hasCollectedReports ? 'it has left' : undefined;
    const monitor = this.dependencies.monitorOf(primary);
    const assessment = assessPrimary({
      silentMs: monitor.silentMs,
      isRefusing: monitor.isRefusing,
      draining: primary.draining,
      isReplica: yield* this.isReplica(primary),
      ...this.dependencies.failureReportsOf(instance),
      isRevoked: this.dependencies.isRevoked(),
      hasStayingReplica: this.hasStayingReplica(instance),
    });
    if (assessment.kind === 'keep') return undefined;
    return this.hasCollectedReports || primary.draining
      ? assessment.reason
      : undefined;
  }

  /** Requests its status, as its announcement may predate its promotion. */
  private *isReplica(primary: Member): Task<boolean> {
    const {dependencies} = this;
    if (primary.role === ClaimedRole.CLAIMED_ROLE_PRIMARY) return false;
    const [status] = yield* sendToAll(dependencies, [primary], {
      kind: 'status',
    });
    if (status?.isPrimary) dependencies.onDidPromote(primary.instance);
    return status !== undefined && !status.isPrimary;
  }

  /** Grants leases again on a primary that was to be replaced but was not. */
  private *keepPrimary({instance}: PrimaryAssignment): Task<void> {
    if (!(yield* this.requests.isPrimary(instance))) return;
    const {service, log} = this.dependencies;
    const assigned = yield* settled(this.assignLeading(instance));
    const done = 'value' in assigned && assigned.value.isOk;
    const token = done ? assigned.value.value : 0;
    log.info('Kept the primary.', {service, instance, token, done});
    if (done) this.dependencies.onDidPromote(instance);
    this.mayBePaused = true;
  }

  /** Resumes replicas that were paused for a change that did not happen. */
  private *resumeReplicas({instance}: PrimaryAssignment): Task<void> {
    if (!(yield* this.confirmsLeadership())) return;
    const others = this.membersExcept(instance).filter(member => {
      return !this.dependencies.isStopped(member);
    });
    const statuses = yield* sendToAll(this.dependencies, others, {
      kind: 'resume',
    });
    this.mayBePaused = statuses.some(status => status === undefined);
  }

  private *replace(
    assignment: PrimaryAssignment,
    reason: string,
    signal: AbortSignal,
  ): Task<void> {
    const {dependencies} = this;
    const {service, log} = dependencies;
    this.waitingSince ??= dependencies.clock.now();
    const fields = {service, primary: assignment.instance, reason};
    const canPrimaryStay = reason === REPLICA_REASON;
    if (!canPrimaryStay && !this.hasReachableReplica(assignment)) {
      const why = 'no other member replies';
      return this.warnOnce('Cannot promote safely.', {...fields, why});
    }
    if (!(yield* this.confirmsLeadership())) {
      const why = 'no majority confirms the leadership of this instance';
      return this.warnOnce('Cannot promote safely.', {...fields, why});
    }
    if (this.lines.logIfChanged(assignment)) return;
    // Until then the primary serves all that can reach it.
    if (!this.allowsReplacement(canPrimaryStay)) return this.holdBack(fields);
    this.mayBePaused = true;
    dependencies.revokeLeases();
    const found = yield* this.search(assignment, fields, signal);
    if (!found || signal.aborted) return;
    const {instance: successor, end, answers} = found;
    log.info('Chose a successor.', {...fields, answers, heir: successor});
    if (found.isLossPossible) {
      const upTo = formatPosition(end);
      log.error('Acknowledged commits may be lost.', {
        ...fields,
        answers,
        upTo,
      });
    }
    yield* this.promote(successor, signal, found);
  }

  /** Finds the member to promote, once all leases on the old primary ended. */
  private *search(
    assignment: PrimaryAssignment,
    fields: ReplacementFields,
    signal: AbortSignal,
  ): Task<Successor | undefined> {
    const {dependencies} = this;
    const compareLogs = () => {
      const canPrimaryStay = fields.reason === REPLICA_REASON;
      return findSuccessor(dependencies, fields.primary, canPrimaryStay);
    };
    const mayBeLeased = dependencies.leaseHolders().length > 0;
    const found = yield* compareLogs();
    if (!this.isPromotable(found, assignment, fields)) return undefined;
    if (found.hasSteppedDown || !mayBeLeased) return found;
    yield* this.waitForLeases(fields, signal);
    if (!(yield* this.confirmsLeadership())) return undefined;
    // Guard: until then the old primary, if control cannot reach it, may have
    // acknowledged commits which a member confirmed that joined meanwhile, or
    // that a suspended leader let receive again.
    const foundAgain = yield* compareLogs();
    const isSafe = this.isPromotable(foundAgain, assignment, fields);
    return isSafe ? foundAgain : undefined;
  }

  /**
   * Guard: a control leader that was suspended finds every member silent before
   * it hears of the next leader. It would pause replicas that nobody resumes,
   * or resume replicas whose logs the next leader is comparing.
   */
  private *confirmsLeadership(maxAgeMs = REQUEST_MAX_AGE_MS): Task<boolean> {
    const {clock} = this.dependencies.access;
    const requestedAt = clock.now();
    const done = yield* settled(this.dependencies.confirmLeadership());
    const isRecent = clock.now() - requestedAt < maxAgeMs;
    return 'value' in done && done.value && isRecent;
  }

  private hasReachableReplica({instance}: PrimaryAssignment): boolean {
    return this.reachableReplicas(instance).length > 0;
  }

  private hasStayingReplica(primary: string): boolean {
    return this.reachableReplicas(primary).some(({draining}) => !draining);
  }

  private reachableReplicas(primary: string): readonly Member[] {
    return this.membersExcept(primary).filter(member => {
      return this.dependencies.monitorOf(member).silentMs < MAX_SILENCE_MS;
    });
  }

  /** Whether a member may be chosen, as far as earlier requests matter. */
  private allowsReplacement(canPrimaryStay: boolean): boolean {
    const {order, now} = this;
    if (!order.allowsNewToken(now)) return false;
    return canPrimaryStay || order.allowsOtherMember(now);
  }

  private isPromotable(
    found: SuccessorSearchResult,
    assignment: PrimaryAssignment,
    fields: ReplacementFields,
  ): found is Successor {
    if (found.kind === 'wait') {
      const {reason: why, until, answers} = found;
      const inputs = {...fields, why, until, answers};
      this.warnOnce('Cannot promote safely.', inputs);
      return false;
    }
    const isOtherMember = found.instance !== assignment.instance;
    if (isOtherMember && !this.order.allowsOtherMember(this.now)) {
      this.holdBack(fields);
      return false;
    }
    return true;
  }

  private *waitForLeases(
    fields: ReplacementFields,
    signal: AbortSignal,
  ): Task<void> {
    const {dependencies} = this;
    const waitStartedAt = dependencies.clock.now();
    while (dependencies.leaseHolders().length > 0 && !signal.aborted) {
      yield* sleep(LEASE_CHECK_INTERVAL_MS);
    }
    const waitedMs = Math.round(dependencies.clock.now() - waitStartedAt);
    dependencies.log.info('All leases ended.', {...fields, waitedMs});
  }

  /** @param chosen Set if the member was chosen for its log just now. */
  private *promote(
    successor: string,
    signal: AbortSignal,
    chosen?: Successor,
  ): Task<void> {
    const {dependencies} = this;
    const {service} = dependencies;
    this.heldSince = undefined;
    // Between the decision and its request, a leader that ends leaves the next
    // one waiting for a request that was never sent.
    dependencies.access.authority.prepare(signal);
    const confirmedAt = dependencies.access.clock.now();
    const previous = dependencies.assignment();
    // Guard: a member that leads already may reply late. Its lead would be taken
    // for the execution of the new request, which is still under way.
    const isReplica = chosen?.leads === false;
    const isSingle = this.order.isSingle(isReplica, this.now);
    const haveOthersEnded = !this.order.mayTakeEffect(this.now);
    const assigned = yield* settled(
      dependencies.assignPrimary(successor, {
        isPending: true,
        isSingle,
        haveOthersEnded,
        chosen,
      }),
    );
    const assignment = dependencies.assignment();
    if (!('value' in assigned) || assigned.value.isErr || !assignment) {
      return this.warnOnce('No majority accepted the new primary.', {service});
    }
    const token = assigned.value.value;
    this.order.onDidAssign(isSingle);
    this.lines.logPromotion({heir: successor, token, previous, confirmedAt});
    yield* this.request(assignment, confirmedAt, signal);
  }

  /** @param confirmedAt Undefined if leadership has to be confirmed first. */
  private *request(
    assignment: PrimaryAssignment,
    confirmedAt: number | undefined,
    signal: AbortSignal,
  ): Task<void> {
    const outcome = yield* this.requests.promote(
      assignment,
      confirmedAt,
      signal,
    );
    if (outcome !== 'promoted') return;
    this.lastEffectiveEpoch = assignment.epoch;
    this.dependencies.onDidPromote(assignment.instance);
  }

  private memberOf(instance: string): Member | undefined {
    return this.dependencies
      .members()
      .find(other => other.instance === instance);
  }

  private membersExcept(instance: string): readonly Member[] {
    return this.dependencies
      .members()
      .filter(other => other.instance !== instance);
  }

  private warnOnce(
    sentence: string,
    fields: Readonly<Record<string, string>>,
  ): void {
    const text = `${sentence} ${fields['why'] ?? ''}`;
    const now = this.dependencies.clock.now();
    if (text !== this.warned.text) this.warnedSince = now;
    else if (now - this.warned.at < REPEAT_MS) return;
    this.warned = {text, at: now};
    const sinceMs = Math.round(now - this.warnedSince);
    this.dependencies.log.warn(sentence, {...fields, sinceMs});
  }
}
