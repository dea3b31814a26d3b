import {sleep, settled, type Task} from '../../../base/node/task';
import {sendToAll} from './successor_search';
import type {
  PromotionOutcome,
  PromotionReply,
  PromotionRequest,
} from './promotion_authority';
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

/** When leadership was confirmed, and when that was found to be recent. */
interface CheckTimes {
  readonly confirmedAt: number;
  /** Undefined if the request did not get that far. */
  readonly checkedAt: number | undefined;
}

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

  /** How much longer a request may take effect, in milliseconds. */
  get mayTakeEffectMs(): number {
    const remainingMs = this.mayTakeEffectUntil - this.dependencies.clock.now();
    return Math.max(0, Math.round(remainingMs));
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
    let copy = 0;
    while (clock.now() < retryUntil && !signal.aborted) {
      if (outcome !== 'accepted' && clock.now() >= nextSendAt) {
        leadershipConfirmedAt ??= yield* this.confirmLeadership();
        if (leadershipConfirmedAt === undefined) return 'unclear';
        copy++;
        outcome = yield* this.send(
          request,
          copy,
          leadershipConfirmedAt,
          signal,
        );
        leadershipConfirmedAt = undefined;
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
    copy: number,
    confirmedAt: number,
    signal: AbortSignal,
  ): Task<PromotionOutcome> {
    const {clock, access} = this.dependencies;
    let checkedAt: number | undefined;
    const isFresh = () => {
      checkedAt = access.clock.now();
      return checkedAt - confirmedAt < REQUEST_MAX_AGE_MS;
    };
    const previous = this.mayTakeEffectUntil;
    this.mayTakeEffectUntil = clock.now() + MAX_EFFECT_DELAY_MS;
    const done = yield* settled(
      access.authority.promote(request, isFresh, signal),
    );
    const reply: PromotionReply =
      'value' in done ? done.value : {outcome: 'unknown'};
    const {outcome} = reply;
    // A reply rules out this copy only; earlier ones may still take effect.
    if (outcome !== 'unknown') this.mayTakeEffectUntil = previous;
    this.logCopy(request, copy, reply, {confirmedAt, checkedAt});
    return outcome;
  }

  /** At most one line for each copy, which the retry interval spaces out. */
  private logCopy(
    request: PromotionRequest,
    copy: number,
    {outcome, status, writtenAt}: PromotionReply,
    {confirmedAt, checkedAt}: CheckTimes,
  ): void {
    const {access, log} = this.dependencies;
    const sentAt = writtenAt ?? checkedAt;
    log.info('Requested a promotion.', {
      ...request,
      copy,
      outcome,
      ...(status !== undefined && {status}),
      ...elapsed('checkedAgeMs', confirmedAt, checkedAt),
      ...elapsed('writtenAgeMs', confirmedAt, writtenAt),
      ...elapsed('replyMs', sentAt, access.clock.now()),
      mayTakeEffectMs: this.mayTakeEffectMs,
    });
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

/** A field with the time between two moments, if both are known. */
function elapsed(
  name: string,
  from: number | undefined,
  to: number | undefined,
): Record<string, number> {
  if (from === undefined || to === undefined) return {};
  return {[name]: Math.round(to - from)};
}
