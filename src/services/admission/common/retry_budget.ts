import {sumOf} from '../../../base/common/numbers';

/** Retries, as a fraction of the requests within the window. */
const RETRY_FRACTION = 0.1;
/** Allowed in addition, for services with few requests. */
const MIN_RETRIES = 10;
const STEP_MS = 500;
/** Length of the sliding window. */
const STEP_COUNT = 8;

interface Step {
  index: number;
  requestCount: number;
  retryCount: number;
}

/**
 * Limits the retries of one service's requests in a sliding window, so that the
 * failure of some members does not overload the others.
 */
export class RetryBudget {
  private readonly steps: Step[] = [];

  onRequest(now: number): void {
    this.getStep(now).requestCount++;
  }

  /** Takes one retry; returns false if the budget is exhausted. */
  tryAcquire(now: number): boolean {
    const step = this.getStep(now);
    const requestCount = sumOf(this.steps.map(item => item.requestCount));
    const retryCount = sumOf(this.steps.map(item => item.retryCount));
    if (retryCount >= requestCount * RETRY_FRACTION + MIN_RETRIES) return false;
    step.retryCount++;
    return true;
  }

  private getStep(now: number): Step {
    const index = Math.floor(now / STEP_MS);
    while (
      this.steps.length > 0 &&
      this.steps[0]!.index <= index - STEP_COUNT
    ) {
      this.steps.shift();
    }
    const last = this.steps.at(-1);
    if (last && last.index === index) return last;
    const step = {index, requestCount: 0, retryCount: 0};
    this.steps.push(step);
    return step;
  }
}
