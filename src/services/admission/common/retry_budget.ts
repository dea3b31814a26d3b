import {sumOf} from '../../../base/common/numbers';

/** Repeats may be this part of the requests of the last seconds. */
const REPEAT_PART = 0.1;
/** So many more: a single failure among few requests is repeated. */
const RESERVE = 10;
const STEP_MS = 500;
/** Requests and repeats of so many steps count: 4 s. */
const STEPS = 8;

interface Step {
  at: number;
  requests: number;
  repeats: number;
}

/**
 * How much of the work of one service may be repeated. A fleet that tries each
 * failing request six times turns a part of its members' trouble into a load
 * that the rest cannot carry.
 */
export class RetryBudget {
  private readonly steps: Step[] = [];

  onRequest(now: number): void {
    this.stepAt(now).requests++;
  }

  /** Takes one repeat; false where the budget is used up. */
  take(now: number): boolean {
    const step = this.stepAt(now);
    const requests = sumOf(this.steps.map(one => one.requests));
    const repeats = sumOf(this.steps.map(one => one.repeats));
    if (repeats >= requests * REPEAT_PART + RESERVE) return false;
    step.repeats++;
    return true;
  }

  private stepAt(now: number): Step {
    const at = Math.floor(now / STEP_MS);
    while (this.steps.length > 0 && this.steps[0]!.at <= at - STEPS) {
      this.steps.shift();
    }
    const last = this.steps.at(-1);
    if (last && last.at === at) return last;
    const step = {at, requests: 0, repeats: 0};
    this.steps.push(step);
    return step;
  }
}
