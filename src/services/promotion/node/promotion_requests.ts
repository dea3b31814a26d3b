import {detach} from '../../../base/node/broken_invariant';
import {sleep, settled, type Task} from '../../../base/node/task';
import type {PrimaryAssignment} from '../../../schema/generated/fleet';
import type {PromotionOutcome} from '../common/promotion_outcome';
import {
  MAX_EXECUTION_MS,
  REQUEST_MAX_AGE_MS,
  type RequestOrder,
} from '../common/request_order';
import {sendToAll} from './successor_search';
import type {PromotionReply, PromotionRequest} from './promotion_authority';
import type {PromotionDependencies} from './promotion_dependencies';

const RETRY_INTERVAL_MS = 250;
/** How long a request without a reply is repeated before members are checked. */
const REPEAT_TIMEOUT_MS = 4_000;
const STATUS_CHECK_INTERVAL_MS = 50;

/** When leadership was confirmed, and when that was found to be recent. */
interface CheckTimes {
  readonly confirmedAt: number;
  /** Undefined if the request did not get that far. */
  readonly checkedAt: number | undefined;
}

/** Copies of one request, until its outcome is known or unclear for long. */
interface Attempt {
  readonly request: PromotionRequest;
  copyCount: number;
  nextSendAt: number;
  endsAt: number;
}

/** Sends the promotion requests of one service. */
export class PromotionRequests {
  /** Token of the request that may be repeated; 0 for none. */
  private repeatableToken = 0;
  /** Token of which the control log says that it has several copies. */
  private repeatedToken = 0;

  constructor(
    private readonly dependencies: PromotionDependencies,
    private readonly order: RequestOrder,
  ) {}

  /** Whether the request of an assignment is this leader's and has no reply. */
  canRepeat(epoch: number): boolean {
    return this.repeatableToken === epoch;
  }

  /**
   * Repeats the request of an assignment until it is refused or the member may
   * serve as the primary. All copies have the same token, so a late one
   * promotes the same member.
   *
   * @param confirmedAt When leadership was last confirmed, on the clock that
   *     advances during suspensions; undefined if that is not recent.
   */
  *promote(
    assignment: PrimaryAssignment,
    confirmedAt: number | undefined,
    signal: AbortSignal,
  ): Task<'promoted' | 'refused' | 'unclear'> {
    const {clock} = this.dependencies;
    const attempt = this.startAttempt(assignment);
    let leadershipConfirmedAt = confirmedAt;
    while (clock.now() < attempt.endsAt && !signal.aborted) {
      if (clock.now() >= attempt.nextSendAt) {
        leadershipConfirmedAt ??= yield* this.announceCopy(attempt);
        if (leadershipConfirmedAt === undefined) return 'unclear';
        const outcome = yield* this.send(
          attempt,
          leadershipConfirmedAt,
          signal,
        );
        if (outcome === 'refused') return 'refused';
        leadershipConfirmedAt = undefined;
      }
      if (yield* this.mayServe(assignment)) return 'promoted';
      yield* sleep(STATUS_CHECK_INTERVAL_MS);
    }
    return 'unclear';
  }

  private startAttempt(assignment: PrimaryAssignment): Attempt {
    const {service, holder, clock} = this.dependencies;
    const {instance, epoch: token} = assignment;
    this.repeatableToken = token;
    return {
      request: {service, instance, holder, token},
      copyCount: 0,
      nextSendAt: -Infinity,
      endsAt: clock.now() + REPEAT_TIMEOUT_MS,
    };
  }

  private *mayServe(assignment: PrimaryAssignment): Task<boolean> {
    const {instance, epoch: token} = assignment;
    const {service, clock, log} = this.dependencies;
    if (!(yield* this.isPrimary(instance))) return false;
    if (!this.order.allowsService(assignment, clock.now())) return false;
    this.order.onDidTakeEffect(clock.now());
    log.info('The promotion took effect.', {service, instance, token});
    return true;
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
    attempt: Attempt,
    confirmedAt: number,
    signal: AbortSignal,
  ): Task<PromotionOutcome> {
    const {clock, access} = this.dependencies;
    const {request} = attempt;
    let checkedAt: number | undefined;
    const isFresh = () => {
      checkedAt = access.clock.now();
      return checkedAt - confirmedAt < REQUEST_MAX_AGE_MS;
    };
    attempt.copyCount++;
    const done = yield* settled(
      access.authority.promote(request, isFresh, signal),
    );
    const reply: PromotionReply =
      'value' in done ? done.value : {outcome: 'unknown'};
    const {outcome} = reply;
    const now = clock.now();
    this.order.onDidSend(request.token, outcome, now);
    this.recordReplies(request.token, outcome);
    this.logCopy(attempt, reply, {confirmedAt, checkedAt});
    const isAccepted = outcome === 'accepted';
    attempt.nextSendAt = isAccepted ? Infinity : now + RETRY_INTERVAL_MS;
    if (isAccepted) attempt.endsAt = now + MAX_EXECUTION_MS;
    return outcome;
  }

  /**
   * Lets the next leader know that no copy can arrive any more. The token is
   * not used again, so that this stays true.
   */
  private recordReplies(token: number, outcome: PromotionOutcome): void {
    if (outcome !== 'accepted' && outcome !== 'refused') return;
    this.repeatableToken = 0;
    const {access, clock} = this.dependencies;
    if (access.isFenced || this.order.mayArrive(clock.now())) return;
    const recorded = this.dependencies.recordCopies(token, 'answered');
    detach('replies to a promotion', recorded);
  }

  /** At most one line for each copy, which the retry interval spaces out. */
  private logCopy(
    {request, copyCount: copy}: Attempt,
    {outcome, status, writtenAt}: PromotionReply,
    {confirmedAt, checkedAt}: CheckTimes,
  ): void {
    const {access, clock, log} = this.dependencies;
    const sentAt = writtenAt ?? checkedAt;
    log.info('Requested a promotion.', {
      ...request,
      copy,
      outcome,
      ...(status !== undefined && {status}),
      ...elapsed('checkedAgeMs', confirmedAt, checkedAt),
      ...elapsed('writtenAgeMs', confirmedAt, writtenAt),
      ...elapsed('replyMs', sentAt, access.clock.now()),
      mayTakeEffectMs: Math.round(this.order.underWayMs(clock.now())),
    });
  }

  /**
   * Lets the next leader know that a further copy follows one without a reply.
   * Returns when a majority confirmed this leader, or undefined.
   */
  private *announceCopy({request}: Attempt): Task<number | undefined> {
    const {dependencies} = this;
    const {access, clock} = dependencies;
    const {token} = request;
    const requestedAt = access.clock.now();
    const isRepeated = !access.isFenced && this.order.mayArrive(clock.now());
    const isNew = isRepeated && this.repeatedToken !== token;
    const done = yield* settled(
      isNew
        ? dependencies.recordCopies(token, 'repeated')
        : dependencies.confirmLeadership(),
    );
    if (!('value' in done) || !done.value) return undefined;
    if (isNew) this.repeatedToken = token;
    return requestedAt;
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
