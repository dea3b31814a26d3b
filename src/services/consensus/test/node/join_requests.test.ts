import {afterEach, expect, it} from 'vitest';
import {createAbortController} from '../../../../base/node/timers';
import {
  requestJoinWhileOutside,
  type JoinTransport,
} from '../../node/join_requests';

const SELF = {id: 'new', address: '127.0.0.1:1'};

let stop = createAbortController();
afterEach(() => {
  stop.abort();
  stop = createAbortController();
});

/** A transport that records where requests go. */
function makeTransport() {
  const asked: string[] = [];
  const transport: JoinTransport = {
    join: address => {
      asked.push(address);
    },
  };
  return {asked, transport};
}

// Guards against a successor that waits for the first interval: the time in
// which it has to become a voter is bounded.
it('asks at once', () => {
  const {asked, transport} = makeTransport();
  const addresses = ['127.0.0.1:2', '127.0.0.1:3'];
  requestJoinWhileOutside(SELF, addresses, () => true, transport, stop.signal);
  expect(asked).toEqual(addresses);
});

it('asks nobody while it is in the group', () => {
  const {asked, transport} = makeTransport();
  const addresses = ['127.0.0.1:2'];
  requestJoinWhileOutside(SELF, addresses, () => false, transport, stop.signal);
  expect(asked).toEqual([]);
});
