import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A seeded random number generator, for reproducible runs. */
export class SeededRandom {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** An integer between min and max, both inclusive. */
  integer(min: number, max: number): number {
    return uniformInt(this.generator, min, max);
  }

  /** A number in [0, 1). */
  fraction(): number {
    return this.integer(0, 0x3fffffff) / 0x40000000;
  }

  /** One of the items, with equal probability. */
  pick<T>(items: readonly T[]): T {
    return items[this.integer(0, items.length - 1)]!;
  }
}
