import {comparePositions, type Position} from '../../position/common/position';

interface Sample {
  readonly askedAt: number;
  readonly position: Position;
}

/** Samples closer together than this are kept as one, in milliseconds. */
const SPACING_MS = 40;
/** Samples older than any bound of staleness in use, in milliseconds. */
const KEEP_MS = 30_000;

/**
 * What a service's proven primary held, and when it was asked.
 *
 * A commit acknowledged before the question is at or below the answer, since
 * the member proved after the question that it led. So a replica that holds a
 * sample is at least as new as the moment of its question, on this instance's
 * own clock; no clocks are compared.
 */
export class PositionSamples {
  private samples: Sample[] = [];

  /** The newest position of the newest term. */
  get newest(): Position | undefined {
    return this.samples.at(-1)?.position;
  }

  /** When the newest sample was asked for; -Infinity without one. */
  get newestAskedAt(): number {
    return this.samples.at(-1)?.askedAt ?? -Infinity;
  }

  /** Takes the answer of a member that proved to lead after `askedAt`. */
  add(askedAt: number, position: Position): void {
    const last = this.samples.at(-1);
    if (last && position.term < last.position.term) return;
    if (last && position.term > last.position.term) {
      // A promotion may have rolled back numbers of the old term, and no
      // replica would ever hold them.
      this.samples = [];
    } else if (last && askedAt <= last.askedAt) {
      return;
    }
    this.samples.push({askedAt, position});
    this.thin(askedAt);
  }

  /**
   * The lowest known position that covers every commit acknowledged before a
   * time; undefined where no sample is that new.
   */
  findCovering(time: number): Position | undefined {
    let low = 0;
    let high = this.samples.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.samples[middle]!.askedAt < time) low = middle + 1;
      else high = middle;
    }
    return this.samples[low]?.position;
  }

  /**
   * How long ago, at the least, the primary went past a position, in ms; 0
   * where the position is the newest that is known.
   */
  minLagMs(held: Position, now: number): number {
    const {samples} = this;
    for (let at = samples.length - 1; at >= 0; at--) {
      if (comparePositions(samples[at]!.position, held) > 0) continue;
      const passedBy = samples[at + 1];
      return passedBy ? now - passedBy.askedAt : 0;
    }
    return samples[0] ? now - samples[0].askedAt : 0;
  }

  private thin(now: number): void {
    const {samples} = this;
    const [third, second] = [samples.at(-3), samples.at(-2)];
    if (third && second && second.askedAt - third.askedAt < SPACING_MS) {
      const isUseful = comparePositions(third.position, second.position) === 0;
      samples.splice(isUseful ? -3 : -2, 1);
    }
    while (samples[0] && samples[0].askedAt < now - KEEP_MS) samples.shift();
  }
}
