import type {PrimaryAssignment} from '../../../schema/generated/fleet';
import type {PromotionOutcome} from './promotion_outcome';

/**
 * How soon a request must be sent after a majority confirmed the leader. Guard:
 * an instance that was suspended in between would send a token that is lower
 * than that of the next leader.
 */
export const REQUEST_MAX_AGE_MS = 300;
/** Longer than the authority may take to execute a request without a reply. */
export const MAX_DELAY_MS = 13_000;
/** Longer than an executed request takes to make its member the primary. */
export const MAX_EXECUTION_MS = 1_500;

/** What the control log says about the requests for an assignment. */
export type AssignmentRequests = Pick<
  PrimaryAssignment,
  'epoch' | 'pending' | 'answered' | 'contested' | 'single'
>;

/** A request of this holder that the authority accepted. */
interface AcceptedRequest {
  readonly token: number;
  readonly acceptedAt: number;
}

/**
 * Decides when a holder of the promotions of one service may act, and which
 * requests may still be under way.
 *
 * A request arrives when the authority executes it; without a reply that may be
 * seconds after it was sent. Then it takes effect: its member becomes the
 * primary. The invariant is:
 *
 * - Requests arrive in the order of their tokens. A new token is used only once
 *   no request with a lower one can arrive, unless the authority refuses those.
 * - A member serves as the primary only once no request for another member can
 *   take effect.
 *
 * Copies of a request have the same token and may arrive at any time, each
 * once. What earlier holders sent is known from the control log: nothing can
 * arrive unless the newest assignment is pending and not answered. A single copy
 * has arrived once its member leads. An earlier holder cannot send later than
 * `REQUEST_MAX_AGE_MS` after this one started to lead.
 */
export class RequestOrder {
  /** No request that was sent so far can arrive from then on. */
  private arrivalsEndAt = -Infinity;
  /** No request that was sent so far can take effect from then on. */
  private effectsEndAt = -Infinity;
  /** How many copies may arrive until `arrivalsEndAt`. */
  private openCopies = 0;
  /** The assigned member leads only if a copy was executed. */
  private isExecutionVisible = false;
  private accepted: AcceptedRequest | undefined;

  constructor(
    /** Whether the authority refuses tokens below the highest that arrived. */
    private readonly isFenced: boolean,
    /** When this holder started to lead. */
    private readonly startedAt: number,
  ) {}

  /**
   * Takes account of the requests of earlier holders.
   *
   * @param endedAt When the holder that wrote the assignment had ended, if that
   *     is known.
   */
  inherit(
    assignment: AssignmentRequests | undefined,
    endedAt = this.startedAt,
  ): void {
    if (!assignment?.pending) return;
    const {answered, contested, single} = assignment;
    const heldUntil = Math.min(endedAt, this.startedAt);
    if (answered && !contested) {
      return this.expectEffectsUntil(heldUntil + MAX_EXECUTION_MS);
    }
    this.isExecutionVisible = single && !contested;
    this.openCopies = this.isExecutionVisible ? 1 : Infinity;
    const sentUntil = heldUntil + REQUEST_MAX_AGE_MS;
    this.expectArrivalsUntil(sentUntil + MAX_DELAY_MS);
  }

  /**
   * Whether only a request with a new token can make its member the primary.
   *
   * @param isReplica Whether the member replied that it does not lead.
   */
  isSingle(isReplica: boolean, now: number): boolean {
    return isReplica && !this.mayTakeEffect(now);
  }

  /** A new token is used from now on. */
  onDidAssign(isSingle: boolean): void {
    this.isExecutionVisible = isSingle;
    this.accepted = undefined;
  }

  /** A copy of a request was sent at this time or earlier. */
  onDidSend(token: number, outcome: PromotionOutcome, now: number): void {
    if (outcome === 'unknown') {
      this.openCopies = this.mayArrive(now) ? this.openCopies + 1 : 1;
      this.expectArrivalsUntil(now + MAX_DELAY_MS);
    }
    if (outcome !== 'accepted') return;
    this.expectEffectsUntil(now + MAX_EXECUTION_MS);
    // A copy that follows the first accepted one finds the same member.
    if (this.accepted?.token === token) return;
    this.accepted = {token, acceptedAt: now};
  }

  /** The member of the newest request is the primary. */
  onDidTakeEffect(now: number): void {
    // An accepted copy may be the one that was executed.
    if (this.isExecutionVisible && !this.accepted) this.openCopies--;
    this.isExecutionVisible = false;
    if (this.openCopies <= 0) this.arrivalsEndAt = -Infinity;
    const end = this.arrivalsEndAt + MAX_EXECUTION_MS;
    this.effectsEndAt = this.mayArrive(now) ? end : -Infinity;
  }

  /** Whether a request that was sent before can still arrive. */
  mayArrive(now: number): boolean {
    return now < this.arrivalsEndAt;
  }

  /** Whether a request that was sent before can still take effect. */
  mayTakeEffect(now: number): boolean {
    return now < this.effectsEndAt;
  }

  /** For how long requests can still take effect, in milliseconds. */
  underWayMs(now: number): number {
    return Math.max(0, this.effectsEndAt - now);
  }

  /** Whether a request with a new token may be sent. */
  allowsNewToken(now: number): boolean {
    return this.isFenced || !this.mayArrive(now);
  }

  /** Whether another member than the assigned one may be chosen. */
  allowsOtherMember(now: number): boolean {
    return this.isFenced || !this.mayTakeEffect(now);
  }

  /**
   * Whether the assigned member, which is the primary, may serve as such.
   *
   * Guard: a request for another member could arrive until the authority has
   * accepted the token of this assignment, and take effect a little later. The
   * accepted request itself changes nothing if its member led already.
   */
  allowsService({epoch, contested}: AssignmentRequests, now: number): boolean {
    if (!contested || !this.mayTakeEffect(now)) return true;
    const {accepted} = this;
    if (!this.isFenced || accepted?.token !== epoch) return false;
    return now >= accepted.acceptedAt + MAX_EXECUTION_MS;
  }

  /** Whether nothing can arrive that the authority does not refuse. */
  allowsCompletion(now: number): boolean {
    return this.isFenced || !this.mayArrive(now);
  }

  private expectArrivalsUntil(end: number): void {
    this.arrivalsEndAt = Math.max(this.arrivalsEndAt, end);
    this.expectEffectsUntil(end + MAX_EXECUTION_MS);
  }

  private expectEffectsUntil(end: number): void {
    this.effectsEndAt = Math.max(this.effectsEndAt, end);
  }
}
