import type {Clock} from '../../../base/common/clock';
import type {Result} from '../../../base/common/outcome';
import type {Log} from '../../../base/node/log';
import type {Member, PrimaryAssignment} from '../../../schema/generated/fleet';
import type {MemberWatch} from './member_watch';
import type {PromotionAuthority} from './promotion_authority';

/** What proxies say of a service's primary. */
export interface Complaints {
  readonly proxies: number;
  readonly complaints: number;
  /** For how long at least half complained, in milliseconds. */
  readonly complainedMs: number;
}

/** How orders of promotion are given. */
export interface PromotionOrders {
  readonly authority: PromotionAuthority;
  /** Whether orders with a lower token than one seen are refused. */
  readonly areFenced: boolean;
  /** Counts the time in which the machine was suspended. */
  readonly clock: Clock;
}

/** What the promotions of one service are built on, for one leadership. */
export interface PromotionSurroundings {
  readonly service: string;
  readonly holder: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly orders: PromotionOrders;
  /** Its members; each is marked whose log may lack what it once confirmed. */
  members(): readonly Member[];
  /** The member that says it leads, by its announcement. */
  claimant(): Member | undefined;
  /** Who leads by the control log. */
  lead(): PrimaryAssignment | undefined;
  watchOf(member: Member): MemberWatch;
  complaintsOf(instance: string): Complaints;
  /** Tells proxies to rely on nobody. */
  revoke(): void;
  /** Whether proxies gave up the epoch in force. */
  isSpent(): boolean;
  /** Who may still rely on the epoch in force. */
  relying(): readonly string[];
  /** Proves by a majority that this instance still leads control. */
  confirm(): Promise<boolean>;
  /** Puts a decision into the control log; its index is epoch and token. */
  nameLead(instance: string, ordered: boolean): Promise<Result<number, string>>;
  settleLead(epoch: number): Promise<boolean>;
  /** The member of the lead in force was seen to lead. */
  onDidPromote(instance: string): void;
}
