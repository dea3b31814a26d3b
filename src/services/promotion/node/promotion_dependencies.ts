import type {Clock} from '../../../base/common/clock';
import type {Result} from '../../../base/common/outcome';
import type {Log} from '../../../base/node/log';
import type {Member, PrimaryAssignment} from '../../../schema/generated/fleet';
import type {MemberMonitor} from './member_monitor';
import type {PromotionAuthority} from './promotion_authority';

/** What proxies say of a service's primary. */
export interface FailureReports {
  readonly proxies: number;
  readonly complaints: number;
  /** For how long at least half complained, in milliseconds. */
  readonly complainedMs: number;
}

/** How orders of promotion are given. */
export interface PromotionAccess {
  readonly authority: PromotionAuthority;
  /** Whether orders with a lower token than one seen are refused. */
  readonly isFenced: boolean;
  /** Counts the time in which the machine was suspended. */
  readonly clock: Clock;
}

/** What the promotions of one service are built on, for one leadership. */
export interface PromotionDependencies {
  readonly service: string;
  readonly holder: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly access: PromotionAccess;
  /** Its members; each is marked whose log may lack what it once confirmed. */
  members(): readonly Member[];
  /** The member that says it leads, by its announcement. */
  claimedPrimary(): Member | undefined;
  /** Who leads by the control log. */
  assignment(): PrimaryAssignment | undefined;
  monitorOf(member: Member): MemberMonitor;
  failureReportsOf(instance: string): FailureReports;
  /** Tells proxies to rely on nobody. */
  revokeLeases(): void;
  /** Whether proxies gave up the epoch in force. */
  isRevoked(): boolean;
  /** Who may still rely on the epoch in force. */
  leaseHolders(): readonly string[];
  /** Proves by a majority that this instance still leads control. */
  confirmLeadership(): Promise<boolean>;
  /** Puts a decision into the control log; its index is epoch and token. */
  assignPrimary(
    instance: string,
    ordered: boolean,
  ): Promise<Result<number, string>>;
  completePromotion(epoch: number): Promise<boolean>;
  /** The member of the lead in force was seen to lead. */
  onDidPromote(instance: string): void;
}
