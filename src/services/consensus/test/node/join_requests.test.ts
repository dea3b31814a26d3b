import {afterEach, expect, it} from 'vitest';
import {createAbortController} from '../../../../base/node/timers';
import {
  requestJoinWhileOutside,
  type JoinTransport,
} from '../../node/join_requests';

const SELF = {id: 'new', address: '127.0.0.1:1', leaving: false};

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

function start(
  addresses: () => readonly string[],
  transport: JoinTransport,
  isOutside = () => true,
): void {
  requestJoinWhileOutside(SELF, addresses, isOutside, transport, stop.signal);
}

async function waitUntil(condition: () => boolean): Promise<void> {
  const startedAt = Date.now();
  while (!condition() && Date.now() - startedAt < 5_000) {
    await new Promise(resolve => setTimeout(resolve, 10));
  }
}

// Guards against a successor that waits for the first interval: the time in
// which it has to become a voter is bounded.
it('asks at once', () => {
  const {asked, transport} = makeTransport();
  const addresses = ['127.0.0.1:2', '127.0.0.1:3'];
  start(() => addresses, transport);
  expect(asked).toEqual(addresses);
});

it('asks nobody while it is in the group', () => {
  const {asked, transport} = makeTransport();
  const isOutside = () => false;
  start(() => ['127.0.0.1:2'], transport, isOutside);
  expect(asked).toEqual([]);
});

// Guards against an instance that keeps asking machines that are gone, although
// its settings name others by now.
it('asks at the addresses that the settings name now', async () => {
  const {asked, transport} = makeTransport();
  let addresses = ['127.0.0.1:2'];
  start(() => addresses, transport);
  expect(asked).toEqual(['127.0.0.1:2']);
  addresses = ['127.0.0.1:3'];
  await waitUntil(() => asked.length > 1);
  expect(asked.slice(1)).toEqual(['127.0.0.1:3']);
});

it('asks each address once, also that of the leader', async () => {
  // Guards against double requests when the settings name a leader that
  // replies made known before.
  let addresses = ['127.0.0.1:2'];
  const asked: string[] = [];
  const transport: JoinTransport = {
    join: (...[address, , onDidReply]) => {
      asked.push(address);
      if (address !== '127.0.0.1:2') return;
      onDidReply({accepted: false, leaderAddress: '127.0.0.1:3'});
    },
  };
  start(() => addresses, transport);
  expect(asked).toEqual(['127.0.0.1:2', '127.0.0.1:3']);
  addresses = ['127.0.0.1:2', '127.0.0.1:3'];
  await waitUntil(() => asked.length > 2);
  expect(asked.slice(2)).toEqual(['127.0.0.1:2', '127.0.0.1:3']);
});
