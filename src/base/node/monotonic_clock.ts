import {performance} from 'node:perf_hooks';
import type {Clock} from '../common/clock';

/** The machine's monotonic clock; it runs on while the process is frozen. */
export class MonotonicClock implements Clock {
  now(): number {
    return performance.now();
  }
}
