import {detach} from '../../../base/node/broken_invariant';

/** Runs tasks such that at most one per key is running. */
export class SingleFlight {
  private readonly running = new Set<string>();

  /** Starts the task unless one with the same key is running. */
  start(key: string, task: () => Promise<void>): void {
    if (this.running.has(key)) return;
    this.running.add(key);
    detach(
      'single flight',
      task().finally(() => this.running.delete(key)),
    );
  }

  isRunning(key: string): boolean {
    return this.running.has(key);
  }
}
