/** A bounded number of places that waiters get in their order. */
export class Slots {
  private free: number;
  private readonly waiters: (() => void)[] = [];

  constructor(count: number) {
    this.free = count;
  }

  /** Resolves with a place; false where the signal aborted first. */
  acquire(signal: AbortSignal): Promise<boolean> {
    if (signal.aborted) return Promise.resolve(false);
    if (this.free > 0) {
      this.free--;
      return Promise.resolve(true);
    }
    return new Promise(resolve => {
      const waiter = () => {
        signal.removeEventListener('abort', leave);
        resolve(true);
      };
      const leave = () => {
        this.waiters.splice(this.waiters.indexOf(waiter), 1);
        resolve(false);
      };
      this.waiters.push(waiter);
      signal.addEventListener('abort', leave, {once: true});
    });
  }

  release(): void {
    const next = this.waiters.shift();
    if (next) next();
    else this.free++;
  }
}
