import type {CallerName, MemberUser} from '../../../base/common/ids';
import type {Result} from '../../../base/common/outcome';
import type {QueuedRequest} from '../../admission/common/fair_queue';
import type {Position} from '../../position/common/position';

/** What a transaction needs a member for. */
export type CheckoutRequirement =
  /** A write, or a read that must see every acknowledged commit. */
  | {readonly kind: 'primary'}
  /** A read that must see every commit acknowledged before a time. */
  | {
      readonly kind: 'read';
      /** On the clock of the dispatcher, in milliseconds. */
      readonly minReadAt: number;
      readonly ownCommit: OwnCommit | undefined;
    };

/** A session's own newest commit. */
export interface OwnCommit {
  readonly position: Position;
  /** When it was acknowledged, on the clock of the dispatcher. */
  readonly acknowledgedAt: number;
}

/** A transaction that waits for a connection to a member. */
export interface CheckoutRequest<G> extends QueuedRequest {
  readonly caller: CallerName;
  /** Whose connections it may use. */
  readonly user: MemberUser;
  readonly requirement: CheckoutRequirement;
  /** Session values, to prefer a connection that has them. */
  readonly values: ReadonlyMap<string, string>;
  /** Members that did not serve this request before. */
  readonly triedInstances: ReadonlySet<string>;
  /** When it began to ask for places, on the clock of the dispatcher. */
  readonly requestedAt: number;
  /** How long it may wait for a place in all, in milliseconds. */
  readonly waitBudgetMs: number;
  settle(outcome: Result<G, CheckoutRefusal>): void;
}

/** Why no place was given; nothing has run. */
export interface CheckoutRefusal {
  readonly reason:
    | 'overloaded'
    | 'no primary'
    | 'no member'
    | 'stopping'
    /** Its caller is gone, or gave it up. */
    | 'abandoned'
    /** The account asks for more than it may. */
    | 'over its limit'
    /** Nobody could say whether the account may ask for more. */
    | 'no counter';
  /** When to come back, in milliseconds. */
  readonly retryAfterMs: number;
  /** The inputs that decided, for the log. */
  readonly detail: string;
}

/** How long new work of a kind would wait for a place, as far as is known. */
export interface CheckoutWait {
  readonly needsPrimary: boolean;
  readonly priority: number;
  /** In milliseconds. */
  readonly waitMs: number;
}
