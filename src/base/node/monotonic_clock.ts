import {performance} from 'node:perf_hooks';
import type {Clock} from '../common/clock';

/** The machine's monotonic clock; it advances while the process is stopped. */
export class MonotonicClock implements Clock {
  now(): number {
    return performance.now();
  }
}
