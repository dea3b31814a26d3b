import type {Clock} from './clock';

/** Upper bound of remembered kinds, for kinds that are named by clients. */
const MAX_KINDS = 64;

interface Kind {
  readonly takenAt: number;
  suppressed: number;
}

/** Limits repeated log lines to one per kind and interval. */
export class RepeatLimit {
  private readonly kinds = new Map<string, Kind>();

  constructor(
    private readonly intervalMs: number,
    private readonly clock: Clock,
  ) {}

  /**
   * Takes a line of a kind. Returns how many were suppressed since the last
   * one; undefined if this one is to be suppressed.
   */
  take(kind: string): number | undefined {
    const now = this.clock.now();
    const known = this.kinds.get(kind);
    if (known && now - known.takenAt < this.intervalMs) {
      known.suppressed++;
      return undefined;
    }
    this.kinds.delete(kind);
    this.kinds.set(kind, {takenAt: now, suppressed: 0});
    if (this.kinds.size > MAX_KINDS) {
      const [oldest] = this.kinds.keys();
      this.kinds.delete(oldest!);
    }
    return known?.suppressed ?? 0;
  }
}
