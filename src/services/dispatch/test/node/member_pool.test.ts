import {expect, it} from 'vitest';
import {ManualClock} from '../../../../base/common/clock';
import {FakeGroup} from '../../../gateway/test/node/fake_group';
import {membersOf} from '../../../gateway/test/node/session_fixture';
import {SHARED_USER} from '../../../target_link/common/target_link';
import {MemberPool} from '../../node/member_pool';

it('closes a connection whose connect succeeds after closeAll', async () => {
  // The pool of a removed member would keep one of its few connections.
  const group = new FakeGroup(['a']);
  group.member('a').openDelayMs = 20;
  const listener = {
    onDidChange: () => {},
    onDidConnect: () => {},
    onDidFailToConnect: () => {},
  };
  const pool = new MemberPool(
    membersOf(group)[0]!,
    group,
    listener,
    new ManualClock(),
    new AbortController().signal,
  );
  pool.connect(SHARED_USER);
  pool.closeAll();
  await new Promise(resolve => setTimeout(resolve, 60));
  expect(group.member('a').connectionCount).toBe(0);
});
