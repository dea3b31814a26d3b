import {pause, settled, type Task} from '../../../base/node/task';
import {sendToAll} from './successor_search';
import type {PromotionRequest, PromotionOutcome} from './promotion_authority';
import type {PromotionDependencies} from './promotion_dependencies';

/** An order without an answer is repeated, in milliseconds. */
const REPEAT_MS = 250;
/** After an accepted order the member shows that it leads within this. */
const SETTLE_MS = 4_000;
const SETTLE_LOOK_MS = 50;
/** An order without an answer may be carried out until 12 s later, in ms. */
const LATE_ORDER_MS = 13_000;
/**
 * An order goes out only this long after a majority confirmed the leader, in
 * ms. Guard: an instance that was frozen between its decision and its order
 * would send a token that is lower than the next leader's.
 */
export const REQUEST_MAX_AGE_MS = 300;

/** The orders of one service's promotions, and which may still be carried out. */
export class PromotionRequests {
  /** Copies of orders to the lead in force may be carried out until then. */
  private lateUntil: number;

  constructor(private readonly around: PromotionDependencies) {
    this.lateUntil = around.clock.now() + LATE_ORDER_MS;
  }

  /** Whether no copy of the last order is on its way any more. */
  get isSettled(): boolean {
    return this.around.clock.now() >= this.lateUntil;
  }

  /**
   * Repeats one order until it is answered or the member leads. The same token
   * each time: a copy that is carried out late names the same member.
   *
   * @param provenAt When control last proved that it leads, on the clock that
   *     counts suspensions.
   */
  *carryOut(
    instance: string,
    token: number,
    provenAt: number,
    signal: AbortSignal,
  ): Task<'leads' | 'refused' | 'unclear'> {
    const {service, holder, clock, log} = this.around;
    const order = {service, instance, holder, token};
    const until = clock.now() + SETTLE_MS;
    let proof: number | undefined = provenAt;
    let outcome: PromotionOutcome = 'not now';
    let next = -Infinity;
    while (clock.now() < until && !signal.aborted) {
      if (outcome !== 'accepted' && clock.now() >= next) {
        proof ??= yield* this.prove();
        if (proof === undefined) return 'unclear';
        outcome = yield* this.send(order, proof, signal);
        proof = undefined;
        log.info('Ordered a promotion.', {service, instance, token, outcome});
        if (outcome === 'refused') return 'refused';
        next = clock.now() + REPEAT_MS;
      }
      if (yield* this.leads(instance)) {
        log.info('A member leads.', {service, instance, token});
        return 'leads';
      }
      yield* pause(SETTLE_LOOK_MS);
    }
    return 'unclear';
  }

  /** Whether a member says itself that it leads. */
  *leads(instance: string): Task<boolean> {
    const member = this.around.members().find(other => {
      return other.instance === instance;
    });
    if (!member) return false;
    const [status] = yield* sendToAll(this.around, [member], {kind: 'status'});
    return status?.isPrimary === true;
  }

  private *send(
    order: PromotionRequest,
    provenAt: number,
    signal: AbortSignal,
  ): Task<PromotionOutcome> {
    const {clock, access} = this.around;
    const isFresh = () => access.clock.now() - provenAt < REQUEST_MAX_AGE_MS;
    const before = this.lateUntil;
    this.lateUntil = clock.now() + LATE_ORDER_MS;
    const done = yield* settled(
      access.authority.promote(order, isFresh, signal),
    );
    const outcome = 'value' in done ? done.value : 'unknown';
    // An answer says that this copy is not on its way; others may be.
    if (outcome !== 'unknown') this.lateUntil = before;
    return outcome;
  }

  private *prove(): Task<number | undefined> {
    const {access} = this.around;
    const askedAt = access.clock.now();
    const done = yield* settled(this.around.confirmLeadership());
    return 'value' in done && done.value ? askedAt : undefined;
  }

  /** A new lead begins with nothing on its way. */
  begin(): void {
    this.lateUntil = -Infinity;
  }
}
