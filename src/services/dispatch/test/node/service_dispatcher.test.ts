import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {callerName} from '../../../../base/common/ids';
import {ManualClock} from '../../../../base/common/clock';
import {ownController} from '../../../../base/node/timers';
import {FakeGroup} from '../../../gateway/test/node/fake_group';
import {makeLog, membersOf} from '../../../gateway/test/node/session_fixture';
import {makeAssignment} from '../../../lease/test/common/lease_fixture';
import {PrimaryLeases} from '../../../lease/common/primary_leases';
import {ConnectionQuota} from '../../../connection_quota/common/connection_quota';
import {SHARED_USER} from '../../../target_link/common/target_link';
import {MemberPool} from '../../node/member_pool';
import {ServiceDispatcher} from '../../node/service_dispatcher';

const SECOND_MS = 1_000;

let clock: ManualClock;
let stop: AbortController;
let dispatcher: ServiceDispatcher;
let looks: ReturnType<typeof vi.spyOn>;

/** Lets time pass, and the task handle what it is told. */
async function pass(milliseconds: number): Promise<void> {
  for (const until = clock.now() + milliseconds; clock.now() < until;) {
    clock.advance(10);
    vi.advanceTimersByTime(10);
    await new Promise(resolve => setImmediate(resolve));
  }
}

beforeEach(async () => {
  vi.useFakeTimers({toFake: ['setTimeout', 'clearTimeout', 'performance']});
  clock = new ManualClock();
  stop = ownController();
  const group = new FakeGroup(['a', 'b', 'c']);
  dispatcher = new ServiceDispatcher({
    service: 'books',
    region: 'r',
    regionOf: () => 'r',
    connector: group,
    leases: new PrimaryLeases(clock),
    statusReader: group,
    connectionQuota: new ConnectionQuota(clock),
    clock,
    log: makeLog().log,
    onDidAssessPrimary: () => {},
  });
  void dispatcher.start(stop.signal);
  // So many instances before 16 connections that none is kept for later.
  const sharers = {
    instanceCount: 60,
    sameRegionCount: 0,
    isPooledElsewhere: false,
  };
  dispatcher.post({kind: 'members', members: membersOf(group), sharers});
  dispatcher.post({kind: 'primary', lead: makeAssignment('a', 1)});
  looks = vi.spyOn(MemberPool.prototype, 'closeIdle');
});

afterEach(() => {
  stop.abort();
  looks.mockRestore();
  vi.useRealTimers();
});

/** How often the dispatcher looked at its three members. */
const lookCount = () => looks.mock.calls.length / 3;

function requestPrimary(): void {
  const now = clock.now();
  const request = {
    caller: callerName('c'),
    user: SHARED_USER,
    priority: 1,
    deadline: now + SECOND_MS,
    dueAt: now + SECOND_MS,
    requestedAt: now,
    waitBudgetMs: SECOND_MS / 2,
    requirement: {kind: 'primary'} as const,
    values: new Map<string, string>(),
    triedInstances: new Set<string>(),
    settle: () => {},
  };
  dispatcher.post({kind: 'request', request});
}

describe('a service that nobody asks for', () => {
  it('is looked at four times a second', async () => {
    // A proxy before six services works for one of them. Looked at 20 times a
    // second each, the other five take most of what it uses.
    await pass(3 * SECOND_MS);
    looks.mockClear();
    await pass(10 * SECOND_MS);
    expect(lookCount()).toBeLessThanOrEqual(41);
  });

  it('is looked at 20 times a second once somebody asks', async () => {
    await pass(10 * SECOND_MS);
    requestPrimary();
    looks.mockClear();
    await pass(SECOND_MS);
    expect(lookCount()).toBeGreaterThanOrEqual(18);
  });
});
