import {pause, settled, startTask, type Task} from '../../../base/node/task';
import type {Member, PrimaryAssignment} from '../../../schema/generated/fleet';
import {ClaimedRole} from '../../../schema/generated/fleet';
import {assessPrimary} from '../common/assess_primary';
import {
  findSuccessor,
  sendToAll,
  type SuccessorSearchResult,
} from './successor_search';
import {REQUEST_MAX_AGE_MS, PromotionRequests} from './promotion_requests';
import type {PromotionDependencies} from './promotion_dependencies';

const LOOK_MS = 100;
/** The same reason to wait is logged at most this often, in milliseconds. */
const SAY_AGAIN_MS = 2_000;
/** A new leader first lets the proxies come and say what they see, in ms. */
const WARM_UP_MS = 700;
/** Leases are looked at this often while they are waited for, in ms. */
const LEASE_LOOK_MS = 10;
/** A member that answered within this is there to take over, in ms. */
const PRESENT_MS = 500;

/** The task that replaces the primary of one service when it has to be. */
export class PromotionDriver {
  private said = {text: '', at: -Infinity};
  private readonly startedAt: number;
  private readonly ordering: PromotionRequests;
  /** Replicas may be stopped by this leader or by one before it. */
  private mayBeStopped = true;
  /** The newest lead that was seen to lead after its order. */
  private carriedOut = 0;

  constructor(private readonly around: PromotionDependencies) {
    this.startedAt = around.clock.now();
    this.ordering = new PromotionRequests(around);
  }

  start(signal: AbortSignal): Promise<void> {
    const {service} = this.around;
    return startTask(`promotion ${service}`, () => this.run(signal));
  }

  private *run(signal: AbortSignal): Task<void> {
    while (!signal.aborted) {
      yield* pause(LOOK_MS);
      yield* this.look(signal);
    }
  }

  private *look(signal: AbortSignal): Task<void> {
    const lead = this.around.assignment();
    if (!lead) return yield* this.nameFirst();
    if (lead.pending && this.carriedOut !== lead.epoch) {
      return yield* this.finish(lead, signal);
    }
    if (lead.pending) yield* this.settle(lead);
    const reason = yield* this.reasonToReplace(lead);
    if (reason) return yield* this.replace(lead, reason, signal);
    if (this.around.isRevoked()) yield* this.keep(lead);
    else if (this.mayBeStopped) yield* this.resume(lead);
  }

  /** Before the first promotion the member leads that says so. */
  private *nameFirst(): Task<void> {
    const claimant = this.around.claimedPrimary();
    if (!claimant) return;
    const {instance} = claimant;
    yield* settled(this.around.assignPrimary(instance, false));
  }

  private get isWarm(): boolean {
    return this.around.clock.now() - this.startedAt >= WARM_UP_MS;
  }

  /**
   * Takes up an order that may not have been carried out, perhaps by an
   * earlier leader. The same member is ordered again: nothing was acknowledged
   * since it was chosen but by itself.
   */
  private *finish(lead: PrimaryAssignment, signal: AbortSignal): Task<void> {
    const {instance, epoch} = lead;
    if (yield* this.ordering.leads(instance)) {
      this.carriedOut = epoch;
      return this.around.onDidPromote(instance);
    }
    if (!this.isWarm) return;
    const heir = this.memberOf(instance);
    const isPresent =
      heir !== undefined &&
      !heir.recovering &&
      this.around.monitorOf(heir).silentMs < PRESENT_MS;
    if (isPresent) yield* this.promote(instance, signal);
    else yield* this.replace(lead, 'the heir was lost', signal);
  }

  private *settle({epoch}: PrimaryAssignment): Task<void> {
    const {access} = this.around;
    if (!access.isFenced && !this.ordering.isSettled) return;
    yield* settled(this.around.completePromotion(epoch));
  }

  private *reasonToReplace({
    instance,
  }: PrimaryAssignment): Task<string | undefined> {
    const primary = this.memberOf(instance);
    if (!primary) return this.isWarm ? 'it has left' : undefined;
    const watch = this.around.monitorOf(primary);
    const verdict = assessPrimary({
      silentMs: watch.silentMs,
      refused: watch.isRefusing,
      draining: primary.draining,
      denies: yield* this.denies(primary),
      ...this.around.failureReportsOf(instance),
      isRevoked: this.around.isRevoked(),
    });
    if (verdict.kind === 'keep') return undefined;
    return this.isWarm || primary.draining ? verdict.reason : undefined;
  }

  /** Its announcement may be older than its lead; its own answer decides. */
  private *denies(primary: Member): Task<boolean> {
    const {around} = this;
    if (primary.role === ClaimedRole.CLAIMED_ROLE_PRIMARY) return false;
    const [status] = yield* sendToAll(around, [primary], {kind: 'status'});
    if (status?.isPrimary) around.onDidPromote(primary.instance);
    return status !== undefined && !status.isPrimary;
  }

  /** Proxies may rely again on a primary that was to be replaced and is not. */
  private *keep({instance}: PrimaryAssignment): Task<void> {
    if (!(yield* this.ordering.leads(instance))) return;
    const {service, log} = this.around;
    const named = yield* settled(this.around.assignPrimary(instance, false));
    const done = 'value' in named && named.value.isOk;
    log.info('Keeps a primary.', {service, instance, done});
    if (done) this.around.onDidPromote(instance);
    this.mayBeStopped = true;
  }

  /** Replicas that were stopped for a change that did not come receive again. */
  private *resume({instance}: PrimaryAssignment): Task<void> {
    if (!(yield* this.provesLead())) return;
    const others = this.othersThan(instance);
    const statuses = yield* sendToAll(this.around, others, {kind: 'resume'});
    this.mayBeStopped = statuses.some(status => status === undefined);
  }

  private *replace(
    lead: PrimaryAssignment,
    reason: string,
    signal: AbortSignal,
  ): Task<void> {
    const {around} = this;
    const {service, log} = around;
    const fields = {service, primary: lead.instance, reason};
    if (!this.hasSuccessor(lead)) {
      const why = 'no other member answers';
      return this.say('Cannot promote safely.', {...fields, why});
    }
    if (!(yield* this.provesLead())) {
      const why = 'no majority confirms this instance';
      return this.say('Cannot promote safely.', {...fields, why});
    }
    this.mayBeStopped = true;
    around.revokeLeases();
    const found = yield* findSuccessor(around, lead.instance);
    const {answers} = found;
    if (found.kind === 'wait') {
      const why = found.reason;
      return this.say('Cannot promote safely.', {...fields, why, answers});
    }
    const {instance: heir} = found;
    log.info('Compared the logs.', {...fields, answers, heir});
    if (!(yield* this.mayOrder(lead, found, fields, signal))) return;
    yield* this.promote(heir, signal);
  }

  /**
   * Guard: a leader of control that was suspended finds every member silent
   * when it wakes, before it hears of its successor. It would stop replicas of
   * healthy services that nobody starts again, or start those whose logs the
   * successor is comparing. Costs a round of the log before each try.
   */
  private *provesLead(): Task<boolean> {
    const done = yield* settled(this.around.confirmLeadership());
    return 'value' in done && done.value;
  }

  private hasSuccessor({instance}: PrimaryAssignment): boolean {
    return this.othersThan(instance).some(member => {
      return this.around.monitorOf(member).silentMs < PRESENT_MS;
    });
  }

  /** Waits until nobody can rely on the old lead; false where it may not. */
  private *mayOrder(
    lead: PrimaryAssignment,
    found: SuccessorSearchResult & {kind: 'heir'},
    fields: Record<string, string>,
    signal: AbortSignal,
  ): Task<boolean> {
    const {around, ordering} = this;
    const isOther = found.instance !== lead.instance;
    // Guard: an order whose answer was lost can be carried out seconds later.
    // Where nobody refuses it then, it would depose the member that is chosen
    // now, and what that one acknowledged meanwhile would be lost.
    const isOpen = lead.pending && !ordering.isSettled;
    if (isOther && isOpen && !around.access.isFenced) {
      const why = 'an earlier order may still be carried out';
      this.say('Cannot promote safely.', {...fields, why});
      return false;
    }
    const startedAt = around.clock.now();
    if (!found.hasSteppedDown) {
      while (around.leaseHolders().length > 0 && !signal.aborted) {
        yield* pause(LEASE_LOOK_MS);
      }
    }
    const waitedMs = Math.round(around.clock.now() - startedAt);
    around.log.info('Leases are over.', {...fields, waitedMs});
    return !signal.aborted;
  }

  private *promote(heir: string, signal: AbortSignal): Task<void> {
    const {around, ordering} = this;
    const {service, log} = around;
    // An order of the leader before this one may go out for so long.
    const fresh = this.startedAt + REQUEST_MAX_AGE_MS - around.clock.now();
    if (fresh > 0) yield* pause(fresh);
    const provenAt = around.access.clock.now();
    const lead = around.assignment();
    const named = yield* settled(around.assignPrimary(heir, true));
    if (!('value' in named) || named.value.isErr) {
      return this.say('Cannot name a lead without a majority.', {service});
    }
    const token = named.value.value;
    log.info('Promotes.', {service, heir, token});
    if (lead?.instance !== heir) ordering.begin();
    const outcome = yield* ordering.carryOut(heir, token, provenAt, signal);
    if (outcome !== 'leads') return;
    this.carriedOut = token;
    around.onDidPromote(heir);
  }

  private memberOf(instance: string): Member | undefined {
    return this.around.members().find(other => other.instance === instance);
  }

  private othersThan(instance: string): readonly Member[] {
    return this.around.members().filter(other => other.instance !== instance);
  }

  private say(sentence: string, fields: Record<string, string>): void {
    const text = `${sentence} ${fields['why'] ?? ''}`;
    const now = this.around.clock.now();
    if (text === this.said.text && now - this.said.at < SAY_AGAIN_MS) return;
    this.said = {text, at: now};
    this.around.log.warn(sentence, fields);
  }
}
