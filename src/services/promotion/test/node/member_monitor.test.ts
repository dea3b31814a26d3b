import {afterEach, beforeEach, expect, it, vi} from 'vitest';
import {ok, type Result} from '../../../../base/common/result';
import {
  DONE_LOCALLY,
  type TargetCall,
} from '../../../statement/common/statement';
import type {
  ConnectFailure,
  TargetConnector,
  TargetLink,
} from '../../../target_link/common/target_link';
import {MemberMonitor, pingIntervalMs} from '../../node/member_monitor';

/** A member that counts requests, and replies unless it is silent. */
class CountingMember implements TargetConnector {
  requestCount = 0;
  readonly kinds: string[] = [];
  isSilent = false;

  connect(): Promise<Result<TargetLink, ConnectFailure>> {
    const link: TargetLink = {
      isClosed: false,
      positionAtOpen: undefined,
      send: calls => calls.map(call => this.reply(call)),
      onDidClose: () => {},
      close: () => {},
    };
    return Promise.resolve(ok(link));
  }

  private reply({statement}: TargetCall) {
    this.requestCount++;
    this.kinds.push(statement.kind);
    if (this.isSilent) return new Promise<never>(() => {});
    const result = DONE_LOCALLY;
    const state = 'idle' as const;
    const position = undefined;
    return Promise.resolve({kind: 'answer' as const, result, state, position});
  }
}

let member: CountingMember;
let stop: AbortController;

beforeEach(() => {
  vi.useFakeTimers({
    toFake: [
      'setTimeout',
      'clearTimeout',
      'setInterval',
      'Date',
      'performance',
    ],
  });
  member = new CountingMember();
  stop = new AbortController();
});

afterEach(() => {
  stop.abort();
  vi.useRealTimers();
});

function startMonitor(memberCount: number): MemberMonitor {
  const entry = {
    instance: 'i',
    service: 'books',
    address: 'i:1',
    site: 'a',
    slots: 3,
    draining: false,
    born: 0,
    recovering: false,
    role: 2,
  };
  return new MemberMonitor(
    entry,
    member,
    {read: () => undefined},
    {now: () => Date.now()},
    stop.signal,
    () => pingIntervalMs(memberCount),
  );
}

it('pings each of a few members four times a second', async () => {
  startMonitor(100);
  await vi.advanceTimersByTimeAsync(10_000);
  expect(member.requestCount).toBeGreaterThanOrEqual(38);
});

it('limits the pings of many members, none of which is silent', async () => {
  // Guards against a control instance that is overloaded by pings, and against
  // members that seem silent between two pings.
  const monitor = startMonitor(1_000);
  let longest = 0;
  for (let step = 0; step < 400; step++) {
    await vi.advanceTimersByTimeAsync(50);
    longest = Math.max(longest, monitor.silentMs);
  }
  expect(member.requestCount).toBeLessThanOrEqual(13);
  expect(member.requestCount).toBeGreaterThanOrEqual(10);
  expect(longest).toBeLessThanOrEqual(260);
});

it('detects a member that does not reply', async () => {
  const monitor = startMonitor(100);
  await vi.advanceTimersByTimeAsync(2_000);
  member.isSilent = true;
  await vi.advanceTimersByTimeAsync(1_000);
  expect(monitor.silentMs).toBeGreaterThan(700);
});

it('retries no command that lets a replica receive', async () => {
  // Guards against a replica that receives again after it was stopped for a
  // promotion, since it was too busy for an earlier command.
  const monitor = startMonitor(1_000);
  await vi.advanceTimersByTimeAsync(100);
  const replies = Promise.all([
    monitor.sendCommand({kind: 'resume'}),
    monitor.sendCommand({kind: 'status'}),
  ]);
  await vi.advanceTimersByTimeAsync(2_000);
  expect(await replies).toEqual([undefined, undefined]);
  const resumed = member.kinds.filter(kind => kind === 'resume');
  const asked = member.kinds.filter(kind => kind === 'status');
  expect(resumed).toHaveLength(1);
  expect(asked.length).toBeGreaterThan(1);
});
