import {expect, it} from 'vitest';
import {makeAppendRequest} from '../../common/append_request';
import {EntryLog} from '../../common/entry_log';
import {initialSnapshot} from '../../common/initial_state';

const COMMAND_BYTES = 400 * 1024;

it('sends large entries to a peer that is behind in several messages', () => {
  // Guards against a message that no link carries, on which each leader loses
  // its links to the peer.
  const entries = [1, 2, 3].map(position => ({
    index: snapshot.index + position,
    term: 1,
    payload: {$case: 'command' as const, value: Buffer.alloc(COMMAND_BYTES)},
  }));
  const log = new EntryLog(snapshot, entries);
  const sentCounts: number[] = [];
  for (let nextIndex = snapshot.index + 1; nextIndex <= log.lastIndex;) {
    const peer = {nextIndex} as Parameters<typeof makeAppendRequest>[1];
    const count = makeAppendRequest(log, peer, 0, 1)?.entries.length ?? 0;
    sentCounts.push(count);
    nextIndex += Math.max(1, count);
  }
  expect(sentCounts).toEqual([1, 1, 1]);
});

const snapshot = initialSnapshot(['c1']);
