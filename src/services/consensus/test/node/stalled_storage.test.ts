import {afterEach, describe, expect, it} from 'vitest';
import {ManualClock} from '../../../../base/common/clock';
import {SeededRandom} from '../../../../base/common/random';
import {err, ok, type Result} from '../../../../base/common/result';
import {createAbortController} from '../../../../base/node/timers';
import type {ConsensusMessage} from '../../../../schema/generated/consensus';
import {Consensus} from '../../common/consensus';
import type {PersistedState} from '../../common/consensus_types';
import {singlePeerState} from '../../common/initial_state';
import {ConsensusNode} from '../../node/consensus_node';
import type {StorageFailure} from '../../node/log_storage';
import {makeInitialSnapshot, makePeer} from '../common/consensus_simulation';

const OPTIONS = {electionMs: 100, heartbeatMs: 20};
const LEADER_TIMEOUT_MS = 200;
const SELF = {id: 'm0', address: 'm0:1', voter: true};

/** A disk in memory whose writes may hang. */
class SimulatedStorage {
  isHanging = false;
  failure: StorageFailure | undefined;
  private readonly waiting: (() => void)[] = [];

  write(): Promise<Result<void, StorageFailure>> {
    if (this.failure) return Promise.resolve(err(this.failure));
    if (!this.isHanging) return Promise.resolve(ok(undefined));
    return new Promise(resolve => {
      this.waiting.push(() => resolve(ok(undefined)));
    });
  }

  install(): Promise<Result<void, StorageFailure>> {
    return this.write();
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  release(): void {
    this.isHanging = false;
    for (const resume of this.waiting.splice(0)) resume();
  }
}

let stop = createAbortController();
afterEach(() => {
  stop.abort();
  stop = createAbortController();
});

/** Waits until real timers had time to run. */
function settleTimers(): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, 150));
}

async function startNode(persisted: PersistedState) {
  const core = new Consensus(SELF.id, persisted, OPTIONS, new SeededRandom(1));
  const storage = new SimulatedStorage();
  const clock = new ManualClock();
  const applied: string[] = [];
  const node = new ConsensusNode(
    core,
    storage,
    {
      apply: (...[, command]) => applied.push(command.toString()),
      snapshot: () => Buffer.alloc(0),
      restore: () => {},
    },
    {send: () => {}},
    {
      onDidChangeRole: () => {},
      onDidApply: () => {},
      onDidChangeConfiguration: () => {},
      onDidFail: () => {},
    },
    clock,
    1_000,
  );
  void node.start(stop.signal);
  await settleTimers();
  return {node, storage, clock, applied};
}

/** A leader that is the only voter of its group. */
function startLeader() {
  return startNode(singlePeerState(SELF));
}

/** Index of the first entry of the new leader. */
const NOOP_INDEX = 3;
/** The term of the new leader. */
const NEW_TERM = 3;

/**
 * A leader of three that was just elected. Its log has an entry of an earlier
 * leader that it does not know to be committed.
 */
async function startNewLeader() {
  const peers = ['m0', 'm1', 'm2'].map(id => makePeer(id));
  const payload = {$case: 'command', value: Buffer.from('earlier')} as const;
  const started = await startNode({
    hardState: {term: 2, votedFor: 'm1'},
    snapshot: makeInitialSnapshot(peers),
    entries: [{index: 2, term: 2, payload}],
  });
  const send = (body: ConsensusMessage['body'], term = NEW_TERM) => {
    const addresses = {from: 'm1', to: SELF.id, fromAddress: ''};
    started.node.receive({...addresses, term, body});
  };
  for (const pre of [true, false]) {
    send({$case: 'voteReply', value: {granted: true, pre}});
    await settleTimers();
  }
  expect(started.node.core.role).toBe('leader');
  expect(started.node.isLeading).toBe(false);
  return {...started, send};
}

function makeAppendReply(matchIndex: number): ConsensusMessage['body'] {
  const value = {success: true, matchIndex, round: 1};
  return {$case: 'appendReply', value};
}

/** The first message of a leader whose log ends like that of the new leader. */
function makeHeartbeat(): ConsensusMessage['body'] {
  const previous = {previousIndex: NOOP_INDEX, previousTerm: NEW_TERM};
  const commitIndex = NOOP_INDEX;
  const value = {...previous, entries: [], commitIndex, round: 1};
  return {$case: 'appendRequest', value};
}

/** A message that the core ignores. */
const UNRELATED_MESSAGE = {
  from: 'm1',
  to: 'other',
  term: 0,
  fromAddress: '',
  body: undefined,
};

/** The outcome of a request so far: 'pending', 'ok' or the refusal. */
function track(request: Promise<Result<number, string>>) {
  const tracked = {outcome: 'pending'};
  void request.then(result => {
    tracked.outcome = result.isOk ? 'ok' : result.error;
  });
  return tracked;
}

describe('a leader whose disk hangs', () => {
  // Guards against requests that wait until their caller gives up, although a
  // leader that cannot write cannot confirm anything.
  it('refuses all requests and counts as not leading until it writes', async () => {
    const {node, storage, clock, applied} = await startLeader();
    expect(node.isLeading).toBe(true);
    storage.isHanging = true;
    const proposal = track(node.propose(Buffer.from('under way')));
    await settleTimers();
    const read = track(node.confirmLeadership());
    const queued = track(node.propose(Buffer.from('queued')));
    clock.advance(LEADER_TIMEOUT_MS - 1);
    await settleTimers();
    expect(node.isLeading).toBe(true);
    const early = [proposal, read, queued].map(({outcome}) => outcome);
    expect(early).toEqual(['pending', 'pending', 'pending']);
    clock.advance(1);
    await settleTimers();
    const refused = [proposal, read, queued].map(({outcome}) => outcome);
    const stalled = 'storage stalled';
    expect(refused).toEqual([stalled, stalled, stalled]);
    expect(node.isLeading).toBe(false);
    // It hears nothing, so callers are not sent to the leader it knew last.
    expect(node.leader).toBe('');
    const late = await node.propose(Buffer.from('too late'));
    expect(late.isErr && late.error).toBe(stalled);
    storage.release();
    await settleTimers();
    expect(node.isLeading).toBe(true);
    expect(node.leader).toBe(SELF.id);
    expect(await node.confirmLeadership()).toMatchObject({isOk: true});
    // What it had accepted is applied, what it refused at once is not.
    expect(applied).toEqual(['under way', 'queued']);
    expect(proposal.outcome).toBe(stalled);
  });
});

describe('a leader whose disk is slow', () => {
  // Guards against reads that wait for one slow write after the other.
  it('bounds the time of a read, and commits what it writes', async () => {
    const {node, storage, clock} = await startLeader();
    storage.isHanging = true;
    const first = track(node.propose(Buffer.from('first')));
    await settleTimers();
    const read = track(node.confirmLeadership());
    const second = track(node.propose(Buffer.from('second')));
    clock.advance(LEADER_TIMEOUT_MS - 50);
    storage.release();
    storage.isHanging = true;
    await settleTimers();
    expect(first.outcome).toBe('ok');
    clock.advance(50);
    await settleTimers();
    expect(node.isLeading).toBe(true);
    expect(read.outcome).toBe('unconfirmed');
    storage.release();
    await settleTimers();
    expect(second.outcome).toBe('ok');
  });
});

describe('a new leader whose disk is slow', () => {
  // Guards against decisions on a state that lacks what earlier leaders
  // committed: the core commits it before the node has applied it.
  it('counts as leading only once it applied what was committed before', async () => {
    const {node, storage, applied, send} = await startNewLeader();
    storage.isHanging = true;
    void node.propose(Buffer.from('under way'));
    await settleTimers();
    void node.propose(Buffer.from('queued'));
    send(makeAppendReply(NOOP_INDEX));
    storage.release();
    storage.isHanging = true;
    await settleTimers();
    expect(node.core.isLeaderReady).toBe(true);
    expect(applied).toEqual([]);
    expect(node.isLeading).toBe(false);
    expect(node.leader).toBe(SELF.id);
    storage.release();
    await settleTimers();
    expect(applied).toEqual(['earlier']);
    expect(node.isLeading).toBe(true);
  });
});

describe('a leader that is replaced while its disk hangs', () => {
  // Guards against requests that were queued behind a slow write and succeed
  // although another instance leads.
  it('refuses what was queued before and after the message of the next one', async () => {
    const {node, storage, applied, send} = await startNewLeader();
    send(makeAppendReply(NOOP_INDEX));
    await settleTimers();
    expect(node.isLeading).toBe(true);
    storage.isHanging = true;
    const requests = [track(node.propose(Buffer.from('under way')))];
    await settleTimers();
    const request = () => {
      requests.push(track(node.confirmLeadership()));
      requests.push(track(node.propose(Buffer.from('queued'))));
    };
    request();
    send(makeHeartbeat(), NEW_TERM + 1);
    request();
    storage.release();
    await settleTimers();
    const lost = 'leadership lost';
    expect(requests.map(({outcome}) => outcome)).toEqual([
      lost,
      lost,
      lost,
      'not leader',
      'not leader',
    ]);
    expect(applied).toEqual(['earlier']);
    expect(node.isLeading).toBe(false);
  });
});

describe('a node that ends', () => {
  // Guards against callers of a failed disk that never get an answer.
  it('refuses open and later requests when its disk failed', async () => {
    const {node, storage} = await startLeader();
    storage.failure = {kind: 'unwritable', detail: 'disk full'};
    const proposal = track(node.propose(Buffer.from('unwritten')));
    const read = track(node.confirmLeadership());
    await settleTimers();
    const late = track(node.confirmLeadership());
    await settleTimers();
    const outcomes = [proposal, read, late].map(({outcome}) => outcome);
    expect(outcomes).toEqual(['stopped', 'stopped', 'stopped']);
    expect(node.isLeading).toBe(false);
  });
});

describe('a node with a full mailbox', () => {
  // Guards against a request that is dropped like a message, without an answer.
  it('refuses a request at once', async () => {
    const {node, storage} = await startLeader();
    storage.isHanging = true;
    const proposal = track(node.propose(Buffer.from('under way')));
    await settleTimers();
    for (let count = 0; count < 20_000; count++) {
      node.receive(UNRELATED_MESSAGE);
    }
    const refused = await node.confirmLeadership();
    expect(refused.isErr && refused.error).toBe('not leader');
    storage.release();
    await settleTimers();
    expect(proposal.outcome).toBe('ok');
  });
});

describe('the applied index of a node', () => {
  // Guards against decisions on a state that lacks committed entries, which
  // nothing shows.
  it('stays below the commit index until the disk has saved the batch', async () => {
    const {node, storage} = await startLeader();
    const {lastIndex, currentTerm: term} = node.core;
    expect(node.appliedIndex).toBe(lastIndex);
    storage.isHanging = true;
    const index = lastIndex + 1;
    const value = {
      previousIndex: lastIndex,
      previousTerm: term,
      entries: [{index, term: term + 1, payload: undefined}],
      commitIndex: index,
      round: 1,
    };
    const body = {$case: 'appendRequest', value} as const;
    node.receive({...UNRELATED_MESSAGE, to: SELF.id, term: term + 1, body});
    await settleTimers();
    expect(node.core.commitIndex).toBe(index);
    expect(node.appliedIndex).toBe(lastIndex);
    storage.release();
    await settleTimers();
    expect(node.appliedIndex).toBe(index);
  });
});
