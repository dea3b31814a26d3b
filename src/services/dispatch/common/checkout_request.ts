import type {CallerName, MemberUser} from '../../../base/common/ids';
import type {Result} from '../../../base/common/result';
import type {QueuedRequest} from '../../admission/common/fair_queue';
import type {Position} from '../../position/common/position';

/** Which members may serve a transaction. */
export type CheckoutRequirement =
  /** A write, or a read that must see every acknowledged commit. */
  | {readonly kind: 'primary'}
  /** A read that must see every commit acknowledged before a moment. */
  | {
      readonly kind: 'read';
      /** On the dispatcher's clock. */
      readonly minReadAt: number;
      readonly ownCommit: OwnCommit | undefined;
    };

/** The last commit of a session, which its next reads must see. */
export interface OwnCommit {
  readonly position: Position;
  /** On the dispatcher's clock. */
  readonly acknowledgedAt: number;
}

/** A queued request for a pooled connection to a member. */
export interface CheckoutRequest<G> extends QueuedRequest {
  readonly caller: CallerName;
  /** The user whose connections it may use. */
  readonly user: MemberUser;
  readonly requirement: CheckoutRequirement;
  /** Session settings; a connection that has them is preferred. */
  readonly values: ReadonlyMap<string, string>;
  /** Members that already failed to serve this request. */
  readonly triedInstances: ReadonlySet<string>;
  /** When it was queued, on the dispatcher's clock. */
  readonly requestedAt: number;
  /** How long it may be queued. */
  readonly waitBudgetMs: number;
  resolve(outcome: Result<G, CheckoutRefusal>): void;
}

/** Why a request got no connection; nothing has run. */
export interface CheckoutRefusal {
  readonly reason:
    | 'overloaded'
    | 'no primary'
    | 'no member'
    | 'stopping'
    /** The caller left or cancelled the request. */
    | 'abandoned'
    /** The account exceeds its rate limit. */
    | 'over its limit'
    /** No counter of the account's rate limit decided in time. */
    | 'no counter'
    /** They have more requests than they can answer. */
    | 'counters busy';
  /** When the caller should retry. */
  readonly retryAfterMs: number;
  /** The inputs of the decision, for the log. */
  readonly detail: string;
}

/** How long a new request is expected to wait for a connection. */
export interface CheckoutWait {
  readonly needsPrimary: boolean;
  readonly priority: number;
  readonly waitMs: number;
}
