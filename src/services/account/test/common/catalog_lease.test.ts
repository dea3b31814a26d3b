import {expect, it} from 'vitest';
import {ManualClock} from '../../../../base/common/clock';
import {SeededRandom} from '../../../../base/common/random';
import {CatalogLease} from '../../common/catalog_lease';

const BOUND_MS = 5_000;

/** One proxy and whoever it takes for the leader of control, by random luck. */
class World {
  readonly clock = new ManualClock();
  readonly lease = new CatalogLease(BOUND_MS, this.clock);
  /** Catalogs that were acknowledged to operators, and when. */
  private readonly acknowledged = [{version: 1, at: 0}];
  private held = 1;
  private readonly questions: {askedAt: number; newestThen: number}[] = [];

  constructor(private readonly random: SeededRandom) {}

  step(): void {
    this.clock.advance(this.random.integer(1, 400));
    switch (this.random.integer(0, 7)) {
      case 0:
        return this.publish();
      case 1:
      case 2:
        return this.ask();
      case 3:
      case 4:
        return this.confirm();
      case 5:
        // Frozen, suspended, or cut off from control.
        this.clock.advance(this.random.integer(0, 9_000));
        return;
      default:
        // A catalog arrives, maybe of a leader that is long deposed.
        this.held = Math.max(this.held, this.random.integer(1, this.newest));
    }
  }

  /** Whether a key that only some version still held would be accepted now. */
  acceptsWithdrawnKey(): boolean {
    if (!this.lease.isHeld) return false;
    const now = this.clock.now();
    return this.acknowledged.some(({version, at}) => {
      return version > this.held && now > at + BOUND_MS;
    });
  }

  private get newest(): number {
    return this.acknowledged.at(-1)!.version;
  }

  private publish(): void {
    const version = this.newest + 1;
    this.acknowledged.push({version, at: this.clock.now()});
  }

  private ask(): void {
    const askedAt = this.clock.now();
    this.questions.push({askedAt, newestThen: this.newest});
  }

  /** A majority confirms the leader, whose catalog goes ahead of its answer. */
  private confirm(): void {
    const question = this.questions.shift();
    if (!question) return;
    const told = this.random.integer(question.newestThen, this.newest);
    const isLost = this.random.integer(0, 4) === 0;
    if (!isLost) this.held = Math.max(this.held, told);
    if (this.held >= told) this.lease.extendLease(question.askedAt);
  }
}

it('lets no key pass that was withdrawn longer ago than the bound', () => {
  // An operator withdraws a key and hears that it is done. A proxy was frozen,
  // cut off, or followed a deposed leader meanwhile, and still has the catalog
  // with the key. A caller comes with the key after the bound: it must not be
  // served, whatever the proxy was told and when.
  for (let seed = 1; seed <= 400; seed++) {
    const world = new World(new SeededRandom(seed));
    for (let step = 0; step < 200; step++) {
      world.step();
      expect(world.acceptsWithdrawnKey(), `seed ${seed} ${step}`).toBe(false);
    }
  }
});

it('serves on for more than 0.6 of the bound after the last word', () => {
  // A control group without a leader for a few seconds must not stop callers:
  // until 0.6 of the bound their requests are owed an answer.
  const clock = new ManualClock();
  const lease = new CatalogLease(BOUND_MS, clock);
  lease.extendLease(clock.now());
  clock.advance(BOUND_MS * 0.7);
  expect(lease.isHeld).toBe(true);
  clock.advance(BOUND_MS * 0.2);
  expect(lease.isHeld).toBe(false);
});

it('is not needed where no bound is promised', () => {
  expect(new CatalogLease(0, new ManualClock()).isHeld).toBe(true);
});
