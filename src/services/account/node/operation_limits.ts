import type {Result} from '../../../base/common/outcome';
import type {Task} from '../../../base/node/task';

/** Why an operation of an account may not run now. */
export interface LimitRefusal {
  /** Without a counter nobody knows whether it is over its limit. */
  readonly reason: 'over its limit' | 'no counter';
  /** When the account has room again, in milliseconds. */
  readonly retryAfterMs: number;
  /** What decided, for the log. */
  readonly detail: string;
}

/** Decides at the first proxy whether an operation of an account may run. */
export interface OperationLimits {
  /**
   * Counts an operation in, or says when there is room for it. Waits for the
   * word of the account's counter, and for a token that comes soon, until a
   * deadline on the proxy's clock.
   */
  admit(account: string, deadline: number): Task<Result<void, LimitRefusal>>;
  /** An operation that was counted in did not run after all. */
  refund(account: string): void;
}
