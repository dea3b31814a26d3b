import {err, ok, type Result} from '../../../../base/common/result';
import type {Task} from '../../../../base/node/task';
import type {
  OperationLimits,
  LimitRefusal,
} from '../../../account/node/operation_limits';

/** Admits a number of operations and records the accounts charged. */
export class FakeLimits implements OperationLimits {
  readonly admitted: string[] = [];
  readonly refunded: string[] = [];

  constructor(public left = Infinity) {}

  *admit(account: string): Task<Result<void, LimitRefusal>> {
    if (this.left < 1) {
      const detail = 'counter=p2';
      return err({reason: 'over its limit', retryAfterMs: 70, detail});
    }
    this.left--;
    this.admitted.push(account);
    return ok(undefined);
  }

  refund(account: string): void {
    this.left++;
    this.refunded.push(account);
  }
}

/** Limits that admit every operation. */
export const NO_LIMITS = new FakeLimits();
