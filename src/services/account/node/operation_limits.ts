import type {Result} from '../../../base/common/result';
import type {Task} from '../../../base/node/task';

/** Why an operation of an account may not run now. */
export interface LimitRefusal {
  /**
   * 'no counter' where no counter made a decision in time, 'counters busy' where
   * they have more requests than they can answer.
   */
  readonly reason: 'over its limit' | 'no counter' | 'counters busy';
  /** When the caller should retry, in milliseconds. */
  readonly retryAfterMs: number;
  /** The last answer of a counter, for the log. */
  readonly detail: string;
}

/** Admits operations of accounts at the proxy that callers connect to. */
export interface OperationLimits {
  /**
   * Admits an operation, or returns when the caller should retry. Waits for a
   * decision of a counter, and for a token that is added soon.
   *
   * @param deadline How long to wait, as a time on the proxy's clock.
   */
  admit(account: string, deadline: number): Task<Result<void, LimitRefusal>>;
  /** Reverses the admission of an operation that did not run. */
  refund(account: string): void;
}
