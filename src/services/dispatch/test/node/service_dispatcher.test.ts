import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {callerName} from '../../../../base/common/ids';
import {ManualClock} from '../../../../base/common/clock';
import {createAbortController} from '../../../../base/node/timers';
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
let checks: ReturnType<typeof vi.spyOn>;

/** Advances the clock, and lets the task handle its messages. */
async function passTime(milliseconds: number): Promise<void> {
  for (const until = clock.now() + milliseconds; clock.now() < until;) {
    clock.advance(10);
    vi.advanceTimersByTime(10);
    await new Promise(resolve => setImmediate(resolve));
  }
}

beforeEach(async () => {
  vi.useFakeTimers({toFake: ['setTimeout', 'clearTimeout', 'performance']});
  clock = new ManualClock();
  stop = createAbortController();
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
  // Enough instances that none of them keeps an idle connection.
  const peers = {
    instanceCount: 60,
    sameRegionCount: 0,
    isPooledElsewhere: false,
  };
  dispatcher.post({kind: 'members', members: membersOf(group), peers});
  dispatcher.post({kind: 'primary', assignment: makeAssignment('a', 1)});
  checks = vi.spyOn(MemberPool.prototype, 'closeIdle');
});

afterEach(() => {
  stop.abort();
  checks.mockRestore();
  vi.useRealTimers();
});

/** How often the dispatcher checked its three members. */
const checkCount = () => checks.mock.calls.length / 3;

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
    resolve: () => {},
  };
  dispatcher.post({kind: 'request', request});
}

describe('a service without requests', () => {
  it('is checked four times a second', async () => {
    // Frequent checks of quiescent services would take most of a proxy's CPU.
    await passTime(3 * SECOND_MS);
    checks.mockClear();
    await passTime(10 * SECOND_MS);
    expect(checkCount()).toBeLessThanOrEqual(41);
  });

  it('is checked 20 times a second after a request', async () => {
    await passTime(10 * SECOND_MS);
    requestPrimary();
    checks.mockClear();
    await passTime(SECOND_MS);
    expect(checkCount()).toBeGreaterThanOrEqual(18);
  });
});
