import {expect, it} from 'vitest';
import {ManualClock} from '../../../../base/common/clock';
import {FakeGroup} from '../../../gateway/test/node/fake_group';
import {membersOf} from '../../../gateway/test/node/session_fixture';
import {SHARED_USER} from '../../../target_link/common/target_link';
import {MemberPool} from '../../node/member_pool';

it('closes what was being opened when it ended', async () => {
  // A member is forgotten, or moves, while a connection to it is on its way.
  // The pool that nobody looks at any more kept it: one of a few for good.
  const group = new FakeGroup(['a']);
  group.member('a').openDelayMs = 20;
  const listener = {
    onDidChange: () => {},
    onDidOpen: () => {},
    onDidFailToOpen: () => {},
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
