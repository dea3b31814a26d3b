import {
  afterEach,
  beforeEach,
  describe,
  expect,
  it,
  onTestFailed,
  vi,
} from 'vitest';
import {PromotionOrders} from './promotion_orders';
import {advance, useVirtualTime} from './virtual_time';

// Fake timers do not replace these.
vi.mock('node:timers/promises', () => ({
  setTimeout: (milliseconds: number) => {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
  },
}));

/** A range of other seeds: ORDER_SEEDS=100-149 npx vitest run orders */
const SEEDS = process.env['ORDER_SEEDS'] ?? '1-8';
const [first, last] = SEEDS.split('-').map(Number);
/** A request that is executed this much later outlasts its sender. */
const LATE_MS = 9_000;

beforeEach(useVirtualTime);

afterEach(() => {
  vi.useRealTimers();
});

/** Prints what happened in a run that fails. */
function report(orders: PromotionOrders): void {
  onTestFailed(() => console.error(orders.history.join('\n')));
}

async function until(condition: () => boolean): Promise<void> {
  for (let tries = 0; tries < 2_000 && !condition(); tries++) await advance(10);
  expect(condition()).toBe(true);
}

/** A service with a primary that has served for a while. */
async function startOrders(isFenced: boolean): Promise<PromotionOrders> {
  const orders = new PromotionOrders(1, isFenced);
  report(orders);
  await until(() => orders.isServing);
  await advance(1_000);
  return orders;
}

async function expectKept(orders: PromotionOrders): Promise<void> {
  await orders.recover();
  await orders.end();
  expect(orders.errors).toEqual([]);
}

/** A leader is lost when it resumes replicas; the next one stops them. */
async function startLateResume(
  loseLeader: (orders: PromotionOrders) => void,
): Promise<PromotionOrders> {
  const orders = await startOrders(true);
  const {group, proxies} = orders;
  const [a, b] = [group.member('a'), group.member('b')];
  // The first confirmation precedes all decisions of a leadership.
  orders.afterNextConfirmation = () => {
    orders.afterNextConfirmation = () => loseLeader(orders);
  };
  void orders.changeLeader('kill', 300);
  await until(() => orders.leaderCount === 3);
  await advance(500);
  proxies[0]!.isCut = true;
  a.isSilent = true;
  a.isHidden = true;
  await until(() => b.isPaused);
  b.isSilent = true;
  return orders;
}

async function expectKeptAfterResume(orders: PromotionOrders): Promise<void> {
  orders.group.member('b').isSilent = false;
  await advance(LATE_MS);
  orders.proxies[0]!.isCut = false;
  await expectKept(orders);
}

describe('PromotionDriver', () => {
  it('waits until no request of the last leader can arrive', async () => {
    // Guards against a lower token after a higher one at a change of leader.
    const orders = await startOrders(false);
    const {authority, group} = orders;
    authority.script = (...[, copy]) => (copy === 1 ? LATE_MS : undefined);
    group.member('a').crash();
    await until(() => authority.copiesFor('b') === 1);
    void orders.changeLeader('kill', 500);
    await advance(LATE_MS);
    await expectKept(orders);
  });

  it('repeats a request with the same token until it takes effect', async () => {
    // Guards against a lower token after a higher one of the same leader, and
    // against a leader that waits though it may repeat its request.
    const orders = await startOrders(false);
    const {authority, group} = orders;
    authority.script = (...[, copy]) => {
      if (copy === 1) return LATE_MS;
      return copy < 6 ? 'dropped' : undefined;
    };
    group.member('a').crash();
    await advance(LATE_MS - 500);
    expect(orders.isServing).toBe(true);
    await advance(2_500);
    await expectKept(orders);
  });

  it('tells the next leader of a second copy before it is sent', async () => {
    // Guards against a lead that counts as the execution of the only copy, while
    // another one arrives after the next primary was promoted.
    const orders = await startOrders(false);
    const {authority, group} = orders;
    const [a, b] = [group.member('a'), group.member('b')];
    authority.script = (instance, copy) => {
      if (instance !== 'b' || copy > 2) return undefined;
      return copy === 1 ? 1_500 : LATE_MS;
    };
    a.crash();
    await until(() => authority.copiesFor('b') === 2);
    void orders.changeLeader('kill', 300);
    await until(() => orders.isServing);
    a.recover();
    await advance(500);
    b.crash();
    await advance(2_500);
    b.recover();
    await advance(LATE_MS);
    await expectKept(orders);
  });

  it('decides on the newest assignment after a change of leader', async () => {
    // Guards against a successor that is promoted while the last leader's
    // request for another one may arrive, as its entry was not applied yet.
    const orders = await startOrders(false);
    const {authority, group} = orders;
    const b = group.member('b');
    authority.script = (...[, copy]) => (copy === 1 ? LATE_MS : undefined);
    group.member('a').isDraining = true;
    await until(() => authority.copiesFor('b') === 1);
    b.isSilent = true;
    authority.script = undefined;
    orders.startsEarly = true;
    void orders.changeLeader('kill', 300, {applyDelayMs: 900});
    await advance(4_000);
    b.isSilent = false;
    b.isLagging = true;
    await advance(LATE_MS);
    await expectKept(orders);
  });

  it('publishes a primary after its own request was accepted', async () => {
    // Guards against an earlier request for another member that replaces a
    // published primary, as no newer token raised the fence.
    const orders = await startOrders(true);
    const {authority, group} = orders;
    const [b, c] = [group.member('b'), group.member('c')];
    authority.script = (instance, copy) => {
      if (copy > 1) return 'dropped';
      return instance === 'b' ? 4_800 : 5_600;
    };
    group.member('a').isDraining = true;
    await until(() => authority.copiesFor('b') === 1);
    b.isSilent = true;
    await until(() => authority.copiesFor('c') === 1);
    c.isSilent = true;
    await until(() => b.isPrimary);
    b.isSilent = false;
    c.isLagging = true;
    await advance(LATE_MS);
    await expectKept(orders);
  });

  it('keeps the old primary after the request for its successor is void', async () => {
    // Guards against a late request that replaces an old primary which came
    // back and was published again, as no token of its own raised the fence.
    const orders = await startOrders(true);
    const {authority, group} = orders;
    const [a, b] = [group.member('a'), group.member('b')];
    authority.script = instance => (instance === 'b' ? LATE_MS : 'dropped');
    a.isSilent = true;
    a.isHidden = true;
    await until(() => authority.copiesFor('b') === 1);
    a.recover();
    b.isSilent = true;
    b.isLagging = true;
    await advance(LATE_MS + 2_000);
    await expectKept(orders);
  });

  it('keeps the old primary after an accepted request took effect', async () => {
    // Guards against a request for a successor that was accepted just before
    // the one for the old primary, and replaces it after it was published.
    const orders = await startOrders(true);
    const {authority, group} = orders;
    const [a, b] = [group.member('a'), group.member('b')];
    authority.script = (instance, copy) => {
      if (instance === 'a') authority.release();
      if (instance !== 'b') return undefined;
      return copy === 1 ? 'kept' : 'dropped';
    };
    a.isSilent = true;
    a.isHidden = true;
    await until(() => authority.copiesFor('b') === 1);
    a.recover();
    b.isSilent = true;
    b.isLagging = true;
    await advance(LATE_MS + 2_000);
    await expectKept(orders);
  });

  it('assigns a first primary only after the log was applied', async () => {
    // Guards against a leader that has just restarted and publishes the old
    // primary, while a request for its successor may arrive.
    const orders = await startOrders(true);
    const {authority, group, control} = orders;
    const [a, b] = [group.member('a'), group.member('b')];
    authority.script = instance => (instance === 'b' ? LATE_MS : undefined);
    a.crash();
    await until(() => authority.copiesFor('b') === 1);
    control.lose('kill', 0);
    orders.startsEarly = true;
    a.recover();
    b.isLagging = true;
    await advance(300);
    control.elect(control.instances[0]!, 900);
    await advance(LATE_MS + 2_000);
    await expectKept(orders);
  });

  it('lets a draining primary serve until a successor can be requested', async () => {
    // Guards against a primary that is stopped while an earlier request keeps
    // control from promoting another member for seconds.
    const orders = await startOrders(false);
    const {authority, group} = orders;
    authority.script = (...[, copy]) => (copy === 1 ? LATE_MS : undefined);
    group.member('a').crash();
    await until(() => group.member('b').isPrimary && orders.isServing);
    group.member('a').recover();
    await advance(500);
    group.member('b').isDraining = true;
    await advance(3_000);
    expect(orders.isServing).toBe(true);
    await expectKept(orders);
  });

  it('compares logs again after a late command let a replica receive', async () => {
    // Guards against commits that a replica confirms after its log was compared,
    // since the network held a command of the last leader.
    const orders = await startLateResume(running => {
      running.control.current!.resumeDelayMs = 1_600;
      const suspend = () => {
        return running.changeLeader('suspend', 300, {actsOnMs: 1_900});
      };
      setTimeout(() => void suspend(), 10);
    });
    await until(() => !orders.group.member('c').isPaused);
    await advance(50);
    await expectKeptAfterResume(orders);
  });

  it('resumes no replica long after its leadership was confirmed', async () => {
    // Guards against a suspended leader that resumes replicas whose logs the
    // next leader has compared, so that they confirm more commits.
    const orders = await startLateResume(running => {
      void running.changeLeader('suspend', 300, {actsOnMs: 1_600});
    });
    await advance(450);
    expect(orders.group.member('c').isPaused).toBe(true);
    await expectKeptAfterResume(orders);
  });

  it('takes no missing status for a member that does not lead', async () => {
    // Guards against a second request for a member that leads already: its
    // lead would be taken for the execution of that request, which arrives
    // after the next primary was promoted.
    const orders = await startOrders(false);
    const {authority, group} = orders;
    const [a, b] = [group.member('a'), group.member('b')];
    authority.script = (instance, copy) => {
      return instance === 'b' && copy === 2 ? LATE_MS : undefined;
    };
    a.crash();
    await until(() => authority.copiesFor('b') === 1);
    b.isBusy = true;
    await advance(3_200);
    b.isBusy = false;
    await until(() => orders.isServing);
    a.recover();
    await advance(1_000);
    b.crash();
    await advance(1_500);
    b.recover();
    await until(() => orders.isServing);
    b.isLagging = true;
    await advance(LATE_MS);
    await expectKept(orders);
  });

  it('stops no primary that the next leader kept', async () => {
    // Guards against a leader that is suspended once its leadership was
    // confirmed, and pauses replicas that nobody resumes.
    const orders = await startOrders(true);
    const {group} = orders;
    const [a, b, c] = [group.member('a'), group.member('b'), group.member('c')];
    a.isSilent = true;
    a.isHidden = true;
    await advance(300);
    orders.afterNextConfirmation = () => {
      void orders.changeLeader('suspend', 300, {actsOnMs: 2_500});
    };
    await until(() => orders.control.current === undefined);
    a.recover();
    await advance(5_000);
    expect([a.isPrimary, b.isPaused, c.isPaused]).toEqual([true, false, false]);
    await expectKept(orders);
  });

  it('takes no missing status of a contested member for a replica', async () => {
    // Guards against a request for another member that was accepted first and
    // takes effect after the assigned member, which led already, was published.
    const orders = await startOrders(true);
    const {authority, group} = orders;
    const [b, c] = [group.member('b'), group.member('c')];
    authority.script = (instance, copy) => {
      if (instance === 'b' && copy === 1) return 4_800;
      if (instance === 'c' && copy === 1) return 5_780;
      if (instance === 'c') return 'dropped';
      return copy > 1 ? undefined : 'dropped';
    };
    group.member('a').isDraining = true;
    await until(() => authority.copiesFor('b') === 1);
    b.isSilent = true;
    await until(() => authority.copiesFor('c') === 1);
    c.isSilent = true;
    await until(() => b.isPrimary);
    b.isSilent = false;
    c.isLagging = true;
    await until(() => orders.history.at(-1)!.includes('"heir":"b"'));
    b.isBusy = true;
    const sent = authority.copiesFor('b');
    await until(() => authority.copiesFor('b') > sent);
    b.isBusy = false;
    await advance(LATE_MS);
    await expectKept(orders);
  });

  it('waits for effects after a contested member took the lead late', async () => {
    // Guards against an earlier request for the assigned member itself, so that
    // the accepted one changed nothing, as if the member had led before.
    const orders = await startOrders(true);
    const {authority, group} = orders;
    const [b, c] = [group.member('b'), group.member('c')];
    let repeats = 0;
    authority.script = (instance, copy) => {
      if (instance === 'b' && copy === 1) return 8_140;
      if (instance === 'c' && copy === 1) return 5_300;
      if (instance === 'c' || authority.copiesFor('c') === 0) return 'dropped';
      return ++repeats > 1 ? undefined : 'dropped';
    };
    group.member('a').isDraining = true;
    await until(() => authority.copiesFor('b') === 1);
    b.isSilent = true;
    await until(() => authority.copiesFor('c') === 1);
    c.isSilent = true;
    await advance(2_000);
    b.isSilent = false;
    c.isLagging = true;
    await advance(LATE_MS);
    await expectKept(orders);
  });

  it('commands no member long after its leadership was confirmed', async () => {
    // Guards against an isolated leader that waits for leases, and then stops a
    // primary that the next leader has kept, or replicas that it has resumed.
    const orders = await startOrders(true);
    const {group} = orders;
    const [a, b, c] = [group.member('a'), group.member('b'), group.member('c')];
    const [proxy] = orders.proxies;
    proxy!.isCut = true;
    a.isSilent = true;
    a.isHidden = true;
    await until(() => b.isPaused && c.isPaused);
    void orders.changeLeader('isolate', 300, {actsOnMs: 1_000});
    await advance(100);
    a.recover();
    await advance(3_000);
    proxy!.isCut = false;
    expect([a.isPrimary, b.isPaused, c.isPaused]).toEqual([true, false, false]);
    await expectKept(orders);
  });
});

describe.each([true, false])('PromotionDriver, fenced: %s', isFenced => {
  const fences = isFenced ? 'with fences' : 'without fences';
  for (let seed = first!; seed <= (last ?? first!); seed++) {
    it(`keeps commits and tokens in order ${fences}, seed ${seed}`, async () => {
      const orders = new PromotionOrders(seed, isFenced);
      report(orders);
      await orders.run();
      if (process.env['ORDER_SEEDS']) console.info(orders.summary);
      expect(orders.errors).toEqual([]);
    });
  }
});
