import {expect, it} from 'vitest';
import {ManualClock} from '../../../../base/common/clock';
import {SeededRandom} from '../../../../base/common/random';
import {CatalogLease} from '../../common/catalog_lease';

const BOUND_MS = 5_000;

/** Simulates a proxy and the leader of control that it follows. */
class Simulation {
  readonly clock = new ManualClock();
  readonly lease = new CatalogLease(BOUND_MS, this.clock);
  /** Versions that were acknowledged to operators, and when. */
  private readonly acknowledged = [{version: 1, at: 0}];
  private heldVersion = 1;
  private readonly requests: {sentAt: number; newest: number}[] = [];

  constructor(private readonly random: SeededRandom) {}

  step(): void {
    this.clock.advance(this.random.integer(1, 400));
    switch (this.random.integer(0, 7)) {
      case 0:
        return this.publish();
      case 1:
      case 2:
        return this.sendRequest();
      case 3:
      case 4:
        return this.confirm();
      case 5:
        // The proxy is frozen, suspended or disconnected.
        this.clock.advance(this.random.integer(0, 9_000));
        return;
      default:
        // A catalog arrives, which may be of a deposed leader.
        this.heldVersion = Math.max(
          this.heldVersion,
          this.random.integer(1, this.newest),
        );
    }
  }

  /** Whether a key would be accepted that a newer version withdrew. */
  acceptsWithdrawnKey(): boolean {
    if (!this.lease.isHeld) return false;
    const now = this.clock.now();
    return this.acknowledged.some(({version, at}) => {
      return version > this.heldVersion && now > at + BOUND_MS;
    });
  }

  private get newest(): number {
    return this.acknowledged.at(-1)!.version;
  }

  private publish(): void {
    const version = this.newest + 1;
    this.acknowledged.push({version, at: this.clock.now()});
  }

  private sendRequest(): void {
    const sentAt = this.clock.now();
    this.requests.push({sentAt, newest: this.newest});
  }

  /** A majority confirms the leader, which sends its catalog first. */
  private confirm(): void {
    const request = this.requests.shift();
    if (!request) return;
    const version = this.random.integer(request.newest, this.newest);
    const isLost = this.random.integer(0, 4) === 0;
    if (!isLost) this.heldVersion = Math.max(this.heldVersion, version);
    if (this.heldVersion >= version) this.lease.extendLease(request.sentAt);
  }
}

it('accepts no key after the bound for its withdrawal', () => {
  // Guards against withdrawn keys at a proxy that was frozen or disconnected,
  // or followed a deposed leader, and still has the catalog with the key.
  for (let seed = 1; seed <= 400; seed++) {
    const simulation = new Simulation(new SeededRandom(seed));
    for (let step = 0; step < 200; step++) {
      simulation.step();
      expect(simulation.acceptsWithdrawnKey(), `seed ${seed} ${step}`).toBe(
        false,
      );
    }
  }
});

it('is held for more than 0.6 of the bound without control', () => {
  // Guards against refused callers while control has no leader for a while.
  const clock = new ManualClock();
  const lease = new CatalogLease(BOUND_MS, clock);
  lease.extendLease(clock.now());
  clock.advance(BOUND_MS * 0.7);
  expect(lease.isHeld).toBe(true);
  clock.advance(BOUND_MS * 0.2);
  expect(lease.isHeld).toBe(false);
});

it('is always held where there is no bound', () => {
  expect(new CatalogLease(0, new ManualClock()).isHeld).toBe(true);
});
