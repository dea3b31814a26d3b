import {comparePositions, type Position} from '../../position/common/position';

interface Sample {
  readonly askedAt: number;
  readonly position: Position;
}

/** Of samples that are closer together, one is dropped. */
const MIN_SPACING_MS = 40;
/** Longer than any staleness bound of a route. */
const MAX_AGE_MS = 30_000;

/**
 * The positions of a service's verified primary, with their request times.
 *
 * The member was verified to be primary after the request, so its reply covers
 * every commit acknowledged before the request. A replica that holds the
 * position is at least as new as the request, on this instance's clock alone.
 */
export class PositionSamples {
  private samples: Sample[] = [];

  /** The newest position of the newest term. */
  get newest(): Position | undefined {
    return this.samples.at(-1)?.position;
  }

  /** When the newest sample was requested; -Infinity without one. */
  get newestAskedAt(): number {
    return this.samples.at(-1)?.askedAt ?? -Infinity;
  }

  /** Adds the position of a member verified to be primary after `askedAt`. */
  add(askedAt: number, position: Position): void {
    const last = this.samples.at(-1);
    if (last && position.term < last.position.term) return;
    if (last && position.term > last.position.term) {
      // A promotion may have rolled back positions of the old term, which no
      // replica would ever reach.
      this.samples = [];
    } else if (last && askedAt <= last.askedAt) {
      return;
    }
    this.samples.push({askedAt, position});
    this.thin(askedAt);
  }

  /**
   * Returns the lowest known position that covers every commit acknowledged
   * before a moment; undefined if no sample is that new.
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
   * The minimum time since the primary passed a position; 0 if no newer
   * position is known.
   */
  minLagMs(position: Position, now: number): number {
    const {samples} = this;
    for (let index = samples.length - 1; index >= 0; index--) {
      if (comparePositions(samples[index]!.position, position) > 0) continue;
      const next = samples[index + 1];
      return next ? now - next.askedAt : 0;
    }
    return samples[0] ? now - samples[0].askedAt : 0;
  }

  private thin(now: number): void {
    const {samples} = this;
    const [third, second] = [samples.at(-3), samples.at(-2)];
    if (third && second && second.askedAt - third.askedAt < MIN_SPACING_MS) {
      const isSamePosition =
        comparePositions(third.position, second.position) === 0;
      samples.splice(isSamePosition ? -3 : -2, 1);
    }
    while (samples[0] && samples[0].askedAt < now - MAX_AGE_MS) samples.shift();
  }
}
