/** What the primary was known to hold at or after a time. */
interface Sample {
  /** On the data clock, in milliseconds. */
  askedAt: number;
  offset: number;
}

const MOST_SAMPLES = 4_096;

/**
 * How old a replica's data are at most, without comparing clocks of machines:
 * whoever holds what the primary held when it was asked is as new as that.
 */
export class OffsetHistory {
  private samples: Sample[] = [];
  private frozenMs = 0;
  private frozenSince: number | undefined;
  private frozenUntil = -Infinity;

  /** Notes that the primary held an offset when it was asked. */
  onSample(askedAt: number, offset: number): void {
    const time = this.dataTime(askedAt);
    const last = this.samples.at(-1);
    if (last && last.askedAt >= time) return;
    if (last && last.offset >= offset) {
      last.askedAt = time;
      return;
    }
    this.samples.push({askedAt: time, offset});
    if (this.samples.length > MOST_SAMPLES) this.samples.shift();
  }

  /** A new term began: what lay past this offset was never acknowledged. */
  onTermStart(baseOffset: number): void {
    for (const sample of this.samples) {
      sample.offset = Math.min(sample.offset, baseOffset);
    }
  }

  /**
   * Control answered that nobody can acknowledge a write, in one unbroken
   * time between terms. Figures do not age meanwhile: there is nothing newer.
   * From when the first such answer came until the last one was asked for,
   * that was surely so.
   */
  onWritesBlocked(askedAt: number, answeredAt: number): void {
    this.frozenSince ??= answeredAt;
    this.frozenUntil = Math.max(this.frozenUntil, askedAt);
  }

  /** Writes may be acknowledged again, or may have been in between. */
  onWritesResumed(): void {
    if (this.frozenSince === undefined) return;
    this.frozenMs += Math.max(0, this.frozenUntil - this.frozenSince);
    this.frozenSince = undefined;
    this.frozenUntil = -Infinity;
  }

  /** The age of what a member at an offset holds; Infinity when unknown. */
  ageOf(offset: number, now: number): number {
    const sample = this.newestUpTo(offset);
    return sample ? this.dataTime(now) - sample.askedAt : Infinity;
  }

  private newestUpTo(offset: number): Sample | undefined {
    let low = 0;
    let high = this.samples.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.samples[middle]!.offset <= offset) low = middle + 1;
      else high = middle;
    }
    return this.samples[low - 1];
  }

  private dataTime(time: number): number {
    const since = this.frozenSince;
    const frozen = since === undefined ? 0 : this.overlap(since, time);
    return time - this.frozenMs - frozen;
  }

  private overlap(since: number, time: number): number {
    return Math.max(0, Math.min(time, this.frozenUntil) - since);
  }
}
