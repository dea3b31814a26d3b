import {expect, it} from 'vitest';
import {ok} from '../../../../base/common/result';
import {createAbortController} from '../../../../base/node/timers';
import {LeadershipRequests} from '../../node/leadership_requests';

// Guards against a command that a task sends because the same instance leads
// again: the next leadership may have decided otherwise.
it('confirms no leadership that ended before or meanwhile', async () => {
  const leadership = createAbortController();
  let isAsked = false;
  const node = {
    propose: () => Promise.resolve(ok(1)),
    isLeadershipConfirmed: () => {
      isAsked = true;
      return Promise.resolve(true);
    },
  };
  const requests = new LeadershipRequests(node, leadership.signal);
  expect(await requests.isLeadershipConfirmed()).toBe(true);
  const pending = requests.isLeadershipConfirmed();
  leadership.abort();
  expect(await pending).toBe(false);
  isAsked = false;
  expect(await requests.isLeadershipConfirmed()).toBe(false);
  expect(isAsked).toBe(false);
});
