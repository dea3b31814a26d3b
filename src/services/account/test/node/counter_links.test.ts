import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import type {Result} from '../../../../base/common/outcome';
import type {
  LinkProtocol,
  MessageLink,
} from '../../../../base/node/message_link';
import {MessageServer} from '../../../../base/node/message_server';
import {MonotonicClock} from '../../../../base/node/monotonic_clock';
import {startTask} from '../../../../base/node/task';
import {ownController} from '../../../../base/node/timers';
import {makeLog} from '../../../gateway/test/node/session_fixture';
import {HeldPermits} from '../../common/held_permits';
import {AccountLimits} from '../../node/account_limits';
import {CounterDirectory} from '../../node/counter_directory';
import {CounterServer} from '../../node/counter_server';
import {LocalCounter} from '../../node/local_counter';
import type {LimitRefusal} from '../../node/operation_limits';
import {
  FakeCounter,
  makeCounter,
  makeLimited,
} from '../common/permit_counting_fakes';

const clock = new MonotonicClock();

/** A hung process: what is asked of it is answered once it goes on. */
class HangingServer extends MessageServer {
  private readonly onDidWake: (() => void)[] = [];
  isHanging = false;

  override serve<Q, A>(
    protocol: LinkProtocol<Q, A>,
    onDidConnect: (link: MessageLink<A, Q>) => void,
  ): void {
    super.serve(protocol, (link: MessageLink<A, Q>) => {
      const start = link.start.bind(link);
      link.start = listener => {
        const onDidReceive = (message: Q) => {
          const handle = () => listener.onDidReceive(message);
          if (this.isHanging) this.onDidWake.push(handle);
          else handle();
        };
        start({...listener, onDidReceive});
      };
      onDidConnect(link);
    });
  }

  wake(): void {
    this.isHanging = false;
    for (const handle of this.onDidWake.splice(0)) handle();
  }
}

/** A proxy that counts for others. */
class TestCounter {
  readonly stop = ownController();
  readonly counter = new FakeCounter();
  readonly server = new HangingServer(makeLog().log);
  address = '';

  constructor(
    readonly instance: string,
    readonly site: string,
  ) {}

  async start(): Promise<void> {
    const {log} = makeLog();
    const local = new LocalCounter(this.counter, clock);
    new CounterServer(local, log).serve(this.server);
    const port = await this.server.listen('127.0.0.1:0', this.stop.signal);
    if (port.isErr) throw port.error;
    this.address = `127.0.0.1:${port.value}`;
  }

  get entry() {
    const {instance, address, site} = this;
    return makeCounter(instance, {address, site});
  }
}

let stop: AbortController;
let near: TestCounter[];
let far: TestCounter;
let own: FakeCounter;
let limits: AccountLimits;
let directory: CounterDirectory;

beforeEach(async () => {
  stop = ownController();
  near = [new TestCounter('n1', 'north'), new TestCounter('n2', 'north')];
  far = new TestCounter('s1', 'south');
  for (const counter of [...near, far]) await counter.start();
  own = new FakeCounter();
  directory = new CounterDirectory(
    {instance: 'p1', site: 'north', regionOf: site => site},
    new LocalCounter(own, clock),
    makeLog().log,
    stop.signal,
  );
  directory.setCounters([...near, far].map(({entry}) => entry));
  limits = new AccountLimits(new HeldPermits(), directory, clock);
  limits.setAccounts([makeLimited('fern', 10), makeLimited('oak')]);
});

afterEach(() => {
  stop.abort();
  for (const counter of [...near, far]) counter.stop.abort();
});

const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** Asks for one operation; what came of it, and how long that took. */
async function admit(account = 'fern', timeMs = 400) {
  const startedAt = clock.now();
  let outcome: Result<void, LimitRefusal> | undefined;
  await startTask('admission', function* () {
    outcome = yield* limits.admit(account, startedAt + timeMs);
  });
  const refusal = outcome?.isErr ? outcome.error : undefined;
  return {refusal, tookMs: clock.now() - startedAt};
}

/** The counter of the region that is asked first, and the other one. */
async function firstAndSecond(): Promise<[TestCounter, TestCounter]> {
  await admit();
  const [one, other] = near as [TestCounter, TestCounter];
  const isOne = one.counter.requests.length > 0;
  for (const {counter} of near) counter.requests.length = 0;
  return isOne ? [one, other] : [other, one];
}

describe('an operation of an account with a limit', () => {
  it('asks one counter of its region, and no other', async () => {
    const {refusal} = await admit();
    expect(refusal).toBeUndefined();
    const asked = [...near, far].map(({counter}) => counter.requests.length);
    expect(asked.sort()).toEqual([0, 0, 1]);
    expect(far.counter.requests).toEqual([]);
  });

  it('asks nobody where the account has no limit', async () => {
    expect((await admit('oak')).refusal).toBeUndefined();
    expect((await admit('elm')).refusal).toBeUndefined();
    expect(near.flatMap(({counter}) => counter.requests)).toEqual([]);
  });

  it('needs no message where its proxy is the counter', async () => {
    directory.setCounters([makeCounter('p1', {site: 'north'})]);
    expect((await admit()).refusal).toBeUndefined();
    expect(own.requests).toHaveLength(1);
  });

  it('waits for a token that comes soon', async () => {
    for (const {counter} of near) {
      counter.decision = {kind: 'granted', count: 1, validMs: 500, waitMs: 80};
    }
    const {refusal, tookMs} = await admit();
    expect(refusal).toBeUndefined();
    expect(tookMs).toBeGreaterThanOrEqual(78);
  });

  it('asks on where the first counter has no room', async () => {
    // Each counter holds a part of the limit. An account far below it is
    // refused at one of them where too many of its callers come by chance.
    const [first, second] = await firstAndSecond();
    first.counter.decision = {kind: 'refused', retryAfterMs: 170};
    expect((await admit()).refusal).toBeUndefined();
    expect(second.counter.requests).toHaveLength(1);
  });

  it('is refused with the earliest time and who decided', async () => {
    const [first, second] = await firstAndSecond();
    for (const {counter} of [first, second, far]) {
      counter.decision = {kind: 'refused', retryAfterMs: 2_000};
    }
    second.counter.decision = {kind: 'refused', retryAfterMs: 500};
    const {refusal} = await admit();
    expect(refusal?.reason).toBe('over its limit');
    expect(refusal?.retryAfterMs).toBeLessThanOrEqual(500);
    expect(refusal?.retryAfterMs).toBeGreaterThan(300);
    expect(refusal?.detail).toContain('counter=s1 answer="room in 2000 ms"');
    // Until then it is refused without a message.
    await admit();
    expect(first.counter.requests).toHaveLength(1);
  });

  it('gives a permit back that was not used', async () => {
    const [first] = await firstAndSecond();
    await admit();
    limits.refund('fern');
    await pause(50);
    expect(first.counter.returnedPermits).toEqual(['fern 1']);
  });
});

describe('an operation whose first counter', () => {
  it('hangs goes to the second in time, and the next one at once', async () => {
    // A counter hangs with its links open. Each operation of half of the
    // accounts of its region would wait for it, for as long as that lasts.
    const [first, second] = await firstAndSecond();
    first.server.isHanging = true;
    const {refusal, tookMs} = await admit();
    expect(refusal).toBeUndefined();
    expect(tookMs).toBeLessThan(200);
    expect(second.counter.requests).toHaveLength(1);
    const next = await admit();
    expect(next.refusal).toBeUndefined();
    expect(next.tookMs).toBeLessThan(50);
    // What it grants to nobody goes back, and it is asked again.
    first.server.wake();
    await pause(50);
    expect(first.counter.returnedPermits).toEqual(['fern 1']);
    await admit();
    expect(first.counter.requests).toHaveLength(2);
  });

  it('died goes to the second', async () => {
    // The process of a counter ends. Callers whose accounts it counted would be
    // refused until control names another one, some seconds later.
    const [first, second] = await firstAndSecond();
    first.stop.abort();
    await pause(50);
    const {refusal, tookMs} = await admit();
    expect(refusal).toBeUndefined();
    expect(tookMs).toBeLessThan(100);
    expect(second.counter.requests).toHaveLength(1);
  });

  it('holds no share of the account goes to the second', async () => {
    // A counter lost its lease, or is new: it cannot say anything of the
    // account. Its callers would be refused although the other counter has
    // room.
    const [first, second] = await firstAndSecond();
    first.counter.decision = {kind: 'unknown account'};
    expect((await admit()).refusal).toBeUndefined();
    expect(second.counter.requests).toHaveLength(1);
  });

  it('and second are lost goes to another region', async () => {
    // Both counters of a region die. Its callers would be refused although a
    // counter elsewhere holds a share.
    await admit();
    for (const counter of near) counter.stop.abort();
    await pause(50);
    expect((await admit()).refusal).toBeUndefined();
    expect(far.counter.requests).toHaveLength(1);
  });
});

it('uses no permit whose time was over when it came', async () => {
  // A proxy freezes with a question under way and wakes seconds later, with
  // the answer waiting: the counter has granted others the same since.
  const [first, second] = await firstAndSecond();
  first.counter.decision = {kind: 'granted', count: 3, validMs: 10, waitMs: 0};
  first.server.isHanging = true;
  const admitted = admit();
  await pause(30);
  first.server.wake();
  expect((await admitted).refusal).toBeUndefined();
  await pause(30);
  expect(first.counter.returnedPermits).toEqual(['fern 3']);
  expect(second.counter.requests).toHaveLength(1);
});

describe('an operation that no counter decides on', () => {
  it('is refused by its deadline, with a short time to come back', async () => {
    // Control is lost for longer than shares are kept to: no counter grants
    // anything any more, and nobody may run without a permit.
    for (const {counter} of [...near, far]) {
      counter.decision = {kind: 'unknown account'};
    }
    const {refusal, tookMs} = await admit('fern', 250);
    expect(refusal?.reason).toBe('no counter');
    expect(refusal?.retryAfterMs).toBeLessThanOrEqual(500);
    expect(refusal?.detail).toContain('unknown account');
    expect(tookMs).toBeLessThan(450);
  });

  it('runs once a counter is named within its time', async () => {
    // A fleet starts: callers come before control has named counters. Refused
    // at once, they would all come again in the same moment.
    directory.setCounters([]);
    const admitted = admit();
    await pause(60);
    directory.setCounters(near.map(({entry}) => entry));
    expect((await admitted).refusal).toBeUndefined();
  });
});
