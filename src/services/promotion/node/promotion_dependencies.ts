import type {Clock} from '../../../base/common/clock';
import type {Result} from '../../../base/common/result';
import type {Log} from '../../../base/node/log';
import type {Member, PrimaryAssignment} from '../../../schema/generated/fleet';
import type {ChosenLog} from '../../fleet_state/common/log_baselines';
import type {PromotionAuthority} from './promotion_authority';
import type {MemberGroup} from './successor_search';

/** Failure reports of the proxies about the primary of a service. */
export interface FailureReports {
  readonly proxyCount: number;
  readonly reportCount: number;
  /** For how long at least half of the proxies have reported it, in ms. */
  readonly reportedMs: number;
}

/** The promotion authority and what it guarantees. */
export interface PromotionAccess {
  readonly authority: PromotionAuthority;
  /** Whether it refuses tokens that are lower than the highest one seen. */
  readonly isFenced: boolean;
  /** A clock that also advances while the machine is suspended. */
  readonly clock: Clock;
}

/** A decision about the primary of a service, for the control log. */
export interface AssignmentDecision {
  /** Whether a promotion request follows. */
  readonly isPending: boolean;
  /** No request for another member can take effect any more. */
  readonly haveOthersEnded: boolean;
  /** No earlier request can arrive, and the member does not lead. */
  readonly isSingle: boolean;
  /** Set if the member was chosen for its log. */
  readonly chosen?: ChosenLog | undefined;
}

/** Dependencies of the promotions of one service during one leadership. */
export interface PromotionDependencies extends MemberGroup {
  readonly service: string;
  readonly holder: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly access: PromotionAccess;
  /** Whether a replica is stopped because it is draining. */
  isStopped(member: Member): boolean;
  /** The member that announces itself as the primary. */
  claimedPrimary(): Member | undefined;
  /** The primary assignment in the control log. */
  assignment(): PrimaryAssignment | undefined;
  /**
   * By when the leader that wrote an assignment had ended; undefined if this
   * instance does not know.
   */
  leadershipEndOf(epoch: number): number | undefined;
  failureReportsOf(instance: string): FailureReports;
  /** Makes the proxies return their leases on the primary. */
  revokeLeases(): void;
  /** Whether leases on the current epoch were revoked or returned. */
  isRevoked(): boolean;
  /** Proxies whose lease on the current epoch may not have ended. */
  leaseHolders(): readonly string[];
  /** Whether a majority confirms that this instance still leads control. */
  confirmLeadership(): Promise<boolean>;
  /** Writes a decision to the control log; its index is epoch and token. */
  assignPrimary(
    instance: string,
    decision: AssignmentDecision,
  ): Promise<Result<number, string>>;
  /**
   * Records that no copy of the assignment's request can arrive any more, or
   * that a further copy follows.
   */
  recordCopies(epoch: number, state: 'answered' | 'repeated'): Promise<boolean>;
  completePromotion(epoch: number): Promise<boolean>;
  /** The assigned member was seen to be the primary. */
  onDidPromote(instance: string): void;
}
