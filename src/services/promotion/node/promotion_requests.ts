import {sleep, settled, type Task} from '../../../base/node/task';
import {sendToAll} from './successor_search';
import type {PromotionRequest, PromotionOutcome} from './promotion_authority';
import type {PromotionDependencies} from './promotion_dependencies';

const RETRY_INTERVAL_MS = 250;
const TAKE_EFFECT_TIMEOUT_MS = 4_000;
const STATUS_CHECK_INTERVAL_MS = 50;
/** Longer than the platform may take to execute a request without a reply. */
const MAX_EFFECT_DELAY_MS = 13_000;
/**
 * How soon a request must be sent after a majority confirmed the leader. Guard:
 * an instance that was suspended in between would send a token that is lower
 * than that of the next leader.
 */
export const REQUEST_MAX_AGE_MS = 300;

/** Promotion requests of one service, and until when they may take effect. */
export class PromotionRequests {
  /** Requests for the current assignment may take effect until then. */
  private mayTakeEffectUntil: number;

  constructor(private readonly dependencies: PromotionDependencies) {
    this.mayTakeEffectUntil = dependencies.clock.now() + MAX_EFFECT_DELAY_MS;
  }

  /** Whether no copy of the last request can take effect any more. */
  get hasExpired(): boolean {
    return this.dependencies.clock.now() >= this.mayTakeEffectUntil;
  }

  /**
   * Repeats a request until it is refused or the member is the primary. All
   * copies have the same token, so a late one promotes the same member.
   *
   * @param confirmedAt When leadership was last confirmed, on the clock that
   *     advances during suspensions.
   */
  *promote(
    instance: string,
    token: number,
    confirmedAt: number,
    signal: AbortSignal,
  ): Task<'promoted' | 'refused' | 'unclear'> {
    const {service, holder, clock, log} = this.dependencies;
    const request = {service, instance, holder, token};
    const retryUntil = clock.now() + TAKE_EFFECT_TIMEOUT_MS;
    let leadershipConfirmedAt: number | undefined = confirmedAt;
    let outcome: PromotionOutcome = 'not now';
    let nextSendAt = -Infinity;
    while (clock.now() < retryUntil && !signal.aborted) {
      if (outcome !== 'accepted' && clock.now() >= nextSendAt) {
        leadershipConfirmedAt ??= yield* this.confirmLeadership();
        if (leadershipConfirmedAt === undefined) return 'unclear';
        outcome = yield* this.send(request, leadershipConfirmedAt, signal);
        leadershipConfirmedAt = undefined;
        log.info('Requested a promotion.', {service, instance, token, outcome});
        if (outcome === 'refused') return 'refused';
        nextSendAt = clock.now() + RETRY_INTERVAL_MS;
      }
      if (yield* this.isPrimary(instance)) {
        log.info('The promotion took effect.', {service, instance, token});
        return 'promoted';
      }
      yield* sleep(STATUS_CHECK_INTERVAL_MS);
    }
    return 'unclear';
  }

  /** Whether a member reports itself as the primary. */
  *isPrimary(instance: string): Task<boolean> {
    const member = this.dependencies.members().find(other => {
      return other.instance === instance;
    });
    if (!member) return false;
    const [status] = yield* sendToAll(this.dependencies, [member], {
      kind: 'status',
    });
    return status?.isPrimary === true;
  }

  private *send(
    request: PromotionRequest,
    confirmedAt: number,
    signal: AbortSignal,
  ): Task<PromotionOutcome> {
    const {clock, access} = this.dependencies;
    const isFresh = () => access.clock.now() - confirmedAt < REQUEST_MAX_AGE_MS;
    const previous = this.mayTakeEffectUntil;
    this.mayTakeEffectUntil = clock.now() + MAX_EFFECT_DELAY_MS;
    const done = yield* settled(
      access.authority.promote(request, isFresh, signal),
    );
    const outcome = 'value' in done ? done.value : 'unknown';
    // A reply rules out this copy only; earlier ones may still take effect.
    if (outcome !== 'unknown') this.mayTakeEffectUntil = previous;
    return outcome;
  }

  private *confirmLeadership(): Task<number | undefined> {
    const {access} = this.dependencies;
    const requestedAt = access.clock.now();
    const done = yield* settled(this.dependencies.confirmLeadership());
    return 'value' in done && done.value ? requestedAt : undefined;
  }

  /** Starts a new assignment, which no earlier request can affect. */
  startNewAssignment(): void {
    this.mayTakeEffectUntil = -Infinity;
  }
}
