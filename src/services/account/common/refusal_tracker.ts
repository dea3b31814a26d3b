import type {RefusedPermit} from './permit_counting';

/**
 * An operation's question to one counter after the other. Guard: each counter
 * has a part of the limit only; without asking on, operations of a small
 * account far below its limit are refused where too many come to one part by
 * chance.
 */
export class PermitQuestion {
  private refusals = 0;
  private roomAt = Infinity;

  /** @param further Counters worth asking after one that has no room. */
  constructor(private readonly further: number) {}

  onRefused(askedAt: number, {retryAfterMs}: RefusedPermit): void {
    this.refusals++;
    this.roomAt = Math.min(this.roomAt, askedAt + retryAfterMs);
  }

  /** Whether another counter may be asked. */
  get mayGoOn(): boolean {
    return this.refusals <= this.further;
  }

  /** What those asked said together; undefined where none refused. */
  refusalAt(now: number): RefusedPermit | undefined {
    if (this.refusals === 0) return undefined;
    const retryAfterMs = Math.max(1, Math.ceil(this.roomAt - now));
    return {kind: 'refused', retryAfterMs};
  }
}
