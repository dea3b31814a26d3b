import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, beforeEach, expect, it, vi} from 'vitest';
import {SeededRandom} from '../../../../base/common/random';
import {MonotonicClock} from '../../../../base/node/monotonic_clock';
import {createAbortController} from '../../../../base/node/timers';
import type {
  Configuration,
  ConsensusMessage,
  LogEntry,
} from '../../../../schema/generated/consensus';
import {makeConfiguration} from '../../common/configuration';
import {Consensus} from '../../common/consensus';
import {emptyState} from '../../common/initial_state';
import {ConsensusNode} from '../../node/consensus_node';
import {LogStorage} from '../../node/log_storage';
import {makeInitialSnapshot, makePeer} from '../common/consensus_simulation';

const OPTIONS = {electionMs: 60_000, heartbeatMs: 20};
const LEADER = 'm1';
const MACHINE = {
  apply: () => {},
  snapshot: () => Buffer.alloc(0),
  restore: () => {},
};

let directory = '';
beforeEach(() => (directory = mkdtempSync(join(tmpdir(), 'consensus-node-'))));
afterEach(() => rmSync(directory, {recursive: true}));

/** A follower that records the voters of each configuration it reports. */
async function startFollower() {
  const snapshot = makeInitialSnapshot(
    ['m0', LEADER, 'm2'].map(id => makePeer(id)),
  );
  const opened = await LogStorage.open(directory, 'm0', snapshot);
  if (opened.isErr) throw new Error(opened.error.detail);
  const {storage, id} = opened.value;
  const persisted = {...emptyState(), snapshot};
  const core = new Consensus(id, persisted, OPTIONS, new SeededRandom(1));
  const reported: string[] = [];
  const listener = {
    onDidChangeRole: () => {},
    onDidApply: () => {},
    onDidFail: () => {},
    onDidChangeConfiguration: () => {
      const {peers} = core.configuration;
      reported.push(peers.map(peer => peer.id).join(' '));
    },
  };
  const stop = createAbortController();
  const node = new ConsensusNode(
    core,
    storage,
    MACHINE,
    {send: () => {}},
    listener,
    new MonotonicClock(),
    200,
  );
  const ended = node.start(stop.signal);
  const end = () => {
    stop.abort();
    return ended;
  };
  const receive = (term: number, body: ConsensusMessage['body']) => {
    node.receive({from: LEADER, to: id, term, fromAddress: '', body});
  };
  return {reported, receive, end};
}

function makeAppend(entry: LogEntry): ConsensusMessage['body'] {
  const value = {
    previousIndex: 1,
    previousTerm: 1,
    entries: [entry],
    commitIndex: 1,
    round: 1,
  };
  return {$case: 'appendRequest', value};
}

function makeVoters(...ids: string[]): Configuration {
  return makeConfiguration(ids.map(id => makePeer(id)));
}

it('reports configurations that are added, truncated and in a snapshot', async () => {
  const {reported, receive, end} = await startFollower();
  await vi.waitFor(() => expect(reported).toEqual(['m0 m1 m2']));
  const value = makeVoters('m0', LEADER, 'm2', 'm3');
  const configuration = {$case: 'configuration', value} as const;
  receive(2, makeAppend({index: 2, term: 2, payload: configuration}));
  await vi.waitFor(() => expect(reported.at(-1)).toBe('m0 m1 m2 m3'));
  const noop = {$case: 'noop', value: true} as const;
  receive(3, makeAppend({index: 2, term: 3, payload: noop}));
  await vi.waitFor(() => expect(reported.at(-1)).toBe('m0 m1 m2'));
  const snapshot = {
    index: 9,
    term: 3,
    configuration: makeVoters('m0', LEADER),
    state: Buffer.alloc(0),
  };
  const request = {snapshot, round: 1};
  receive(3, {$case: 'snapshotRequest', value: request});
  await vi.waitFor(() => expect(reported.at(-1)).toBe('m0 m1'));
  expect(reported).toHaveLength(4);
  await end();
});
