/** A counting semaphore that serves waiters in order of arrival. */
export class Slots {
  private freeCount: number;
  private readonly waiters: (() => void)[] = [];

  constructor(count: number) {
    this.freeCount = count;
  }

  /** Resolves to true with a slot, or to false if the signal aborts first. */
  acquire(signal: AbortSignal): Promise<boolean> {
    if (signal.aborted) return Promise.resolve(false);
    if (this.freeCount > 0) {
      this.freeCount--;
      return Promise.resolve(true);
    }
    return new Promise(resolve => {
      const onAcquired = () => {
        signal.removeEventListener('abort', onAbort);
        resolve(true);
      };
      const onAbort = () => {
        this.waiters.splice(this.waiters.indexOf(onAcquired), 1);
        resolve(false);
      };
      this.waiters.push(onAcquired);
      signal.addEventListener('abort', onAbort, {once: true});
    });
  }

  release(): void {
    const next = this.waiters.shift();
    if (next) next();
    else this.freeCount++;
  }
}
