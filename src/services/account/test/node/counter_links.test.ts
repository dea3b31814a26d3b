import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import type {Result} from '../../../../base/common/result';
import type {
  LinkProtocol,
  MessageLink,
} from '../../../../base/node/message_link';
import {MessageServer} from '../../../../base/node/message_server';
import {MonotonicClock} from '../../../../base/node/monotonic_clock';
import {startTask} from '../../../../base/node/task';
import {createAbortController} from '../../../../base/node/timers';
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

/** A server that can hang and process requests later. */
class HangingServer extends MessageServer {
  private readonly delayed: (() => void)[] = [];
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
          if (this.isHanging) this.delayed.push(handle);
          else handle();
        };
        start({...listener, onDidReceive});
      };
      onDidConnect(link);
    });
  }

  resume(): void {
    this.isHanging = false;
    for (const handle of this.delayed.splice(0)) handle();
  }
}

/** The counter process of another proxy. */
class CounterProcess {
  readonly stop = createAbortController();
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
let regional: CounterProcess[];
let remote: CounterProcess;
let localCounter: FakeCounter;
let limits: AccountLimits;
let directory: CounterDirectory;

beforeEach(async () => {
  stop = createAbortController();
  regional = [
    new CounterProcess('n1', 'north'),
    new CounterProcess('n2', 'north'),
  ];
  remote = new CounterProcess('s1', 'south');
  for (const counter of [...regional, remote]) await counter.start();
  localCounter = new FakeCounter();
  directory = new CounterDirectory(
    {instance: 'p1', site: 'north', regionOf: site => site},
    new LocalCounter(localCounter, clock),
    clock,
    makeLog().log,
    stop.signal,
  );
  directory.setCounters([...regional, remote].map(({entry}) => entry));
  limits = new AccountLimits(new HeldPermits(), directory, clock);
  limits.setAccounts([makeLimited('fern', 10), makeLimited('oak')]);
});

afterEach(() => {
  stop.abort();
  for (const counter of [...regional, remote]) counter.stop.abort();
});

const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** Admits one operation; returns the refusal, if any, and the duration. */
async function admit(account = 'fern', timeoutMs = 400) {
  const startedAt = clock.now();
  let outcome: Result<void, LimitRefusal> | undefined;
  await startTask('admission', function* () {
    outcome = yield* limits.admit(account, startedAt + timeoutMs);
  });
  const refusal = outcome?.isErr ? outcome.error : undefined;
  return {refusal, tookMs: clock.now() - startedAt};
}

/** Returns the counters of the region in the order of requests. */
async function firstAndSecond(): Promise<[CounterProcess, CounterProcess]> {
  await admit();
  const [one, other] = regional as [CounterProcess, CounterProcess];
  const isOne = one.counter.requests.length > 0;
  for (const {counter} of regional) counter.requests.length = 0;
  return isOne ? [one, other] : [other, one];
}

describe('an operation of an account with a limit', () => {
  it('sends a request to one counter of its region only', async () => {
    const {refusal} = await admit();
    expect(refusal).toBeUndefined();
    const counts = [...regional, remote].map(
      ({counter}) => counter.requests.length,
    );
    expect(counts.sort()).toEqual([0, 0, 1]);
    expect(remote.counter.requests).toEqual([]);
  });

  it('sends no request where the account has no limit', async () => {
    expect((await admit('oak')).refusal).toBeUndefined();
    expect((await admit('elm')).refusal).toBeUndefined();
    expect(regional.flatMap(({counter}) => counter.requests)).toEqual([]);
  });

  it('sends no message where its proxy is the counter', async () => {
    directory.setCounters([makeCounter('p1', {site: 'north'})]);
    expect((await admit()).refusal).toBeUndefined();
    expect(localCounter.requests).toHaveLength(1);
  });

  it('waits for a token that is added soon', async () => {
    for (const {counter} of regional) {
      counter.decision = {kind: 'granted', count: 1, validMs: 500, waitMs: 80};
    }
    const {refusal, tookMs} = await admit();
    expect(refusal).toBeUndefined();
    expect(tookMs).toBeGreaterThanOrEqual(78);
  });

  it('tries the second counter where the first one refuses', async () => {
    // Guards against refusals below the limit: each counter holds only a part
    // of it, which many callers may reach by chance.
    const [first, second] = await firstAndSecond();
    first.counter.decision = {kind: 'refused', retryAfterMs: 170};
    expect((await admit()).refusal).toBeUndefined();
    expect(second.counter.requests).toHaveLength(1);
  });

  it('is refused with the earliest retry time and last answer', async () => {
    const [first, second] = await firstAndSecond();
    for (const {counter} of [first, second, remote]) {
      counter.decision = {kind: 'refused', retryAfterMs: 2_000};
    }
    second.counter.decision = {kind: 'refused', retryAfterMs: 500};
    const {refusal} = await admit();
    expect(refusal?.reason).toBe('over its limit');
    expect(refusal?.retryAfterMs).toBeLessThanOrEqual(500);
    expect(refusal?.retryAfterMs).toBeGreaterThan(300);
    expect(refusal?.detail).toContain(
      'counter=s1 answer="retry after 2000 ms"',
    );
    // The next one is refused by the cache.
    await admit();
    expect(first.counter.requests).toHaveLength(1);
  });

  it('returns an unused permit', async () => {
    const [first] = await firstAndSecond();
    await admit();
    limits.refund('fern');
    await pause(50);
    expect(first.counter.returnedPermits).toEqual(['fern 1']);
  });
});

describe('an operation whose first counter', () => {
  it('hangs tries the second one, as later ones do at once', async () => {
    // Guards against a timeout for each operation while a counter hangs.
    const [first, second] = await firstAndSecond();
    first.server.isHanging = true;
    const {refusal, tookMs} = await admit();
    expect(refusal).toBeUndefined();
    expect(tookMs).toBeLessThan(200);
    expect(second.counter.requests).toHaveLength(1);
    const next = await admit();
    expect(next.refusal).toBeUndefined();
    expect(next.tookMs).toBeLessThan(50);
    // Its late permits are returned, and it gets requests again.
    first.server.resume();
    await pause(50);
    expect(first.counter.returnedPermits).toEqual(['fern 1']);
    await admit();
    expect(first.counter.requests).toHaveLength(2);
  });

  it('failed tries the second one', async () => {
    // Guards against refusals until control chooses another counter.
    const [first, second] = await firstAndSecond();
    first.stop.abort();
    await pause(50);
    const {refusal, tookMs} = await admit();
    expect(refusal).toBeUndefined();
    expect(tookMs).toBeLessThan(100);
    expect(second.counter.requests).toHaveLength(1);
  });

  it('has no share of the account tries the second one', async () => {
    // Guards against refusals where one counter is new or lost its lease.
    const [first, second] = await firstAndSecond();
    first.counter.decision = {kind: 'unknown account'};
    expect((await admit()).refusal).toBeUndefined();
    expect(second.counter.requests).toHaveLength(1);
  });

  it('and second one failed tries another region', async () => {
    // Guards against refusals though a counter of another region has a share.
    await admit();
    for (const counter of regional) counter.stop.abort();
    await pause(50);
    expect((await admit()).refusal).toBeUndefined();
    expect(remote.counter.requests).toHaveLength(1);
  });
});

it('uses no permit that expired before it arrived', async () => {
  // Guards against a frozen proxy that reads an old answer, whose permits the
  // counter has granted to others since.
  const [first, second] = await firstAndSecond();
  first.counter.decision = {kind: 'granted', count: 3, validMs: 10, waitMs: 0};
  first.server.isHanging = true;
  const admitted = admit();
  await pause(30);
  first.server.resume();
  expect((await admitted).refusal).toBeUndefined();
  await pause(30);
  expect(first.counter.returnedPermits).toEqual(['fern 3']);
  expect(second.counter.requests).toHaveLength(1);
});

describe('an operation that no counter decides on', () => {
  it('is refused by its deadline, with a short retry time', async () => {
    // Control is unavailable for longer than the lease on shares.
    for (const {counter} of [...regional, remote]) {
      counter.decision = {kind: 'unknown account'};
    }
    const {refusal, tookMs} = await admit('fern', 250);
    expect(refusal?.reason).toBe('no counter');
    expect(refusal?.retryAfterMs).toBeLessThanOrEqual(500);
    expect(refusal?.detail).toContain('unknown account');
    expect(tookMs).toBeLessThan(450);
  });

  it('runs where a counter is chosen before its deadline', async () => {
    // Guards against refusals while a fleet starts.
    directory.setCounters([]);
    const admitted = admit();
    await pause(60);
    directory.setCounters(regional.map(({entry}) => entry));
    expect((await admitted).refusal).toBeUndefined();
  });
});
