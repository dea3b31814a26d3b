import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Random numbers from a seed, so that a run can be repeated. */
export class SeededRandom {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** A whole number from low to high, both included. */
  integer(low: number, high: number): number {
    return uniformInt(this.generator, low, high);
  }

  /** A number from 0 up to, but without, 1. */
  fraction(): number {
    return this.integer(0, 0x3fffffff) / 0x40000000;
  }

  /** One of the items, each as likely as the others. */
  pick<T>(items: readonly T[]): T {
    return items[this.integer(0, items.length - 1)]!;
  }
}
