/** The offset that the primary had when or after it was asked. */
interface Sample {
  /** On the data clock, which stops while no write can be acknowledged. */
  askedAt: number;
  offset: number;
}

const MAX_SAMPLE_COUNT = 4_096;

/**
 * Bounds the age of a replica's data without comparing clocks of machines: a
 * replica with the offset that the primary returned is as new as that request.
 */
export class OffsetHistory {
  private samples: Sample[] = [];
  private frozenMs = 0;
  private frozenAt: number | undefined;
  private frozenUntil = -Infinity;

  /** Records the offset that the primary had when it was asked. */
  onSample(askedAt: number, offset: number): void {
    const time = this.toDataTime(askedAt);
    const last = this.samples.at(-1);
    if (last && last.askedAt >= time) return;
    if (last && last.offset >= offset) {
      last.askedAt = time;
      return;
    }
    this.samples.push({askedAt: time, offset});
    if (this.samples.length > MAX_SAMPLE_COUNT) this.samples.shift();
  }

  /** Records a new term; no write past its base offset was acknowledged. */
  onTermStart(baseOffset: number): void {
    for (const sample of this.samples) {
      sample.offset = Math.min(sample.offset, baseOffset);
    }
  }

  /**
   * Records control's reply that no write can be acknowledged between terms.
   * Data do not age meanwhile. This is certain from the receipt of the first
   * such reply until the last one was requested.
   */
  onWritesBlocked(askedAt: number, answeredAt: number): void {
    this.frozenAt ??= answeredAt;
    this.frozenUntil = Math.max(this.frozenUntil, askedAt);
  }

  /** Records that writes may be, or may have been, acknowledged again. */
  onWritesResumed(): void {
    if (this.frozenAt === undefined) return;
    this.frozenMs += Math.max(0, this.frozenUntil - this.frozenAt);
    this.frozenAt = undefined;
    this.frozenUntil = -Infinity;
  }

  /** The age of the data of a member at an offset; Infinity if unknown. */
  ageOf(offset: number, now: number): number {
    const sample = this.findNewestUpTo(offset);
    return sample ? this.toDataTime(now) - sample.askedAt : Infinity;
  }

  private findNewestUpTo(offset: number): Sample | undefined {
    let low = 0;
    let high = this.samples.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.samples[middle]!.offset <= offset) low = middle + 1;
      else high = middle;
    }
    return this.samples[low - 1];
  }

  private toDataTime(time: number): number {
    const startedAt = this.frozenAt;
    const currentlyFrozenMs =
      startedAt === undefined ? 0 : this.computeFrozenMs(startedAt, time);
    return time - this.frozenMs - currentlyFrozenMs;
  }

  private computeFrozenMs(startedAt: number, time: number): number {
    return Math.max(0, Math.min(time, this.frozenUntil) - startedAt);
  }
}
