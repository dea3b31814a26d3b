import {afterEach, beforeEach, expect, it, vi} from 'vitest';
import {ok, type Result} from '../../../../base/common/outcome';
import {DONE_LOCALLY} from '../../../statement/common/statement';
import type {
  ConnectFailure,
  TargetConnector,
  TargetLink,
} from '../../../target_link/common/target_link';
import {MemberMonitor, pingIntervalMs} from '../../node/member_monitor';

/** A member that counts questions, and answers while it lives. */
class CountingMember implements TargetConnector {
  asked = 0;
  isSilent = false;

  connect(): Promise<Result<TargetLink, ConnectFailure>> {
    const link: TargetLink = {
      isClosed: false,
      positionAtOpen: undefined,
      send: calls => calls.map(() => this.answer()),
      onDidClose: () => {},
      close: () => {},
    };
    return Promise.resolve(ok(link));
  }

  private answer() {
    this.asked++;
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

function watch(members: number): MemberMonitor {
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
    () => pingIntervalMs(members),
  );
}

it('asks few members four times a second', async () => {
  watch(100);
  await vi.advanceTimersByTimeAsync(10_000);
  expect(member.asked).toBeGreaterThanOrEqual(38);
});

it('asks many members 600 times a second in all, and takes none for silent', async () => {
  // Load: 1,000 members of one leader. Asked 4,000 times a second, a control
  // instance with 0.4 of a core did nothing else; asked less often and judged
  // by the time since the last answer, each member would look dead in between.
  const watched = watch(1_000);
  let longest = 0;
  for (let step = 0; step < 400; step++) {
    await vi.advanceTimersByTimeAsync(50);
    longest = Math.max(longest, watched.silentMs);
  }
  expect(member.asked).toBeLessThanOrEqual(13);
  expect(member.asked).toBeGreaterThanOrEqual(10);
  expect(longest).toBeLessThanOrEqual(260);
});

it('notices one that does not answer', async () => {
  const watched = watch(100);
  await vi.advanceTimersByTimeAsync(2_000);
  member.isSilent = true;
  await vi.advanceTimersByTimeAsync(1_000);
  expect(watched.silentMs).toBeGreaterThan(700);
});
