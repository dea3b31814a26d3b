import type {CallerName, MemberUser} from '../../../base/common/ids';
import type {Result} from '../../../base/common/outcome';
import type {Waiting} from '../../admission/common/fair_queue';
import type {Position} from '../../position/common/position';

/** What a transaction needs a member for. */
export type PlaceNeed =
  /** A write, or a read that must see every acknowledged commit. */
  | {readonly kind: 'primary'}
  /** A read that must see every commit acknowledged before a time. */
  | {
      readonly kind: 'read';
      /** On the clock of the dispatcher, in milliseconds. */
      readonly coversTime: number;
      readonly own: OwnCommit | undefined;
    };

/** A session's own newest commit. */
export interface OwnCommit {
  readonly position: Position;
  /** When it was acknowledged, on the clock of the dispatcher. */
  readonly at: number;
}

/** A transaction that waits for a connection to a member. */
export interface PlaceRequest<G> extends Waiting {
  readonly caller: CallerName;
  /** Whose connections it may use. */
  readonly user: MemberUser;
  readonly need: PlaceNeed;
  /** Session values, to prefer a connection that has them. */
  readonly values: ReadonlyMap<string, string>;
  /** Members that did not serve this request before. */
  readonly passed: ReadonlySet<string>;
  /** When it began to ask for places, on the clock of the dispatcher. */
  readonly since: number;
  /** How long it may wait for a place in all, in milliseconds. */
  readonly patienceMs: number;
  settle(outcome: Result<G, PlaceRefusal>): void;
}

/** Why no place was given; nothing has run. */
export interface PlaceRefusal {
  readonly reason:
    | 'overloaded'
    | 'no primary'
    | 'no member'
    | 'stopping'
    /** The account asks for more than it may. */
    | 'over its limit'
    /** Nobody could say whether the account may ask for more. */
    | 'no counter';
  /** When to come back, in milliseconds. */
  readonly retryAfterMs: number;
  /** The inputs that decided, for the log. */
  readonly detail: string;
}
