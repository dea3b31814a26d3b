import {describe, expect, it} from 'vitest';
import {SeededRandom} from '../../../../base/common/random';
import type {
  Configuration,
  ConsensusMessage,
} from '../../../../schema/generated/consensus';
import {makeConfiguration} from '../../common/configuration';
import {Consensus} from '../../common/consensus';
import {
  makeInitialSnapshot,
  ConsensusSimulation,
  makePeer,
} from './consensus_simulation';
import {TimedSimulation} from './timed_group';

const SEED_COUNT = 150;
const PERIOD_COUNT = 60;
const MAX_STEPS_PER_PERIOD = 60;

/** Runs random faults: each period has other members offline or crashed. */
function runFaults(seed: number): ConsensusSimulation {
  const random = new SeededRandom(seed);
  const group = new ConsensusSimulation(random.pick([3, 5]), random);
  for (let period = 0; period < PERIOD_COUNT; period++) {
    for (const member of group.members) {
      member.isOffline = random.integer(0, 3) === 0;
      const dice = random.integer(0, 9);
      if (dice === 0) group.crash(member);
      else if (dice > 5 && !member.core) group.restart(member);
    }
    const steps = random.integer(1, MAX_STEPS_PER_PERIOD);
    for (let step = 0; step < steps; step++) {
      runStep(group, random, `c${period}.${step}`);
    }
  }
  return group;
}

function runStep(
  group: ConsensusSimulation,
  random: SeededRandom,
  command: string,
): void {
  group.now += random.integer(1, 15);
  const alive = group.members.filter(({core}) => core !== undefined);
  for (const member of alive) group.tick(member);
  const leading = alive.filter(({core}) => core!.role === 'leader');
  if (leading.length > 0 && random.integer(0, 2) === 0) {
    group.propose(random.pick(leading), command);
  }
  if (alive.length > 0 && random.integer(0, 3) === 0) {
    group.confirm(random.pick(alive));
  }
  for (let move = random.integer(0, 12); move > 0; move--) {
    handleMessage(group, random);
  }
}

/** Delivers, drops or duplicates one of the messages in flight. */
function handleMessage(group: ConsensusSimulation, random: SeededRandom): void {
  const {inFlight} = group;
  if (inFlight.length === 0) return;
  const index = random.integer(0, Math.min(inFlight.length, 8) - 1);
  const dice = random.integer(0, 19);
  if (dice === 0) inFlight.splice(index, 1);
  else if (dice === 1) inFlight.push(inFlight[index]!);
  else group.deliver(index);
}

/** A core of three that was granted pre-votes and waits for votes. */
function makeCandidate(): Consensus {
  const peers = ['m0', 'm1', 'm2'].map(id => makePeer(id));
  const snapshot = makeInitialSnapshot(peers);
  const hardState = {term: 1, votedFor: ''};
  const core = new Consensus(
    'm0',
    {hardState, snapshot, entries: []},
    {electionMs: 350, heartbeatMs: 100},
    new SeededRandom(1),
  );
  core.step({kind: 'tick'}, 0);
  const value = {granted: true, pre: true};
  receive(core, 'm1', 2, {$case: 'voteReply', value});
  expect(core.currentTerm).toBe(2);
  return core;
}

function receive(
  core: Consensus,
  from: string,
  term: number,
  body: NonNullable<ConsensusMessage['body']>,
): void {
  const message = {from, to: core.id, term, body, fromAddress: ''};
  core.step({kind: 'message', message}, 0);
}

/** A round trip takes longer than some election timeouts. */
const SLOW_REPLIES = {latencyMs: 200, syncMs: 5};

describe('consensus under random faults', () => {
  // Guards against two leaders in a term, logs that disagree on a committed
  // entry, and confirmations of an old state.
  it('has one leader per term and one log, and confirms no old state', () => {
    let terms = 0;
    for (let seed = 1; seed <= SEED_COUNT; seed++) {
      const group = runFaults(seed);
      expect(group.violations, `seed ${seed}`).toEqual([]);
      terms += group.history.leaderCount;
    }
    expect(terms).toBeGreaterThan(SEED_COUNT * 5);
  });

  // Guards against a group that does not recover after all faults ended.
  it('commits again once all members are back', () => {
    for (let seed = 1; seed <= 40; seed++) {
      const group = runFaults(seed);
      for (const member of group.members) {
        member.isOffline = false;
        if (!member.core) group.restart(member);
      }
      group.run(3_000);
      const requestId = group.propose(group.leader!, 'last');
      group.run(500);
      expect(group.outcomes.get(requestId), `seed ${seed}`).toBe('committed');
      expect(group.violations, `seed ${seed}`).toEqual([]);
    }
  });
});

describe('a partitioned leader', () => {
  // Guards against confirmations by a leader that is isolated while others
  // elect a new one and commit.
  it('confirms nothing, steps down and does not depose its successor', () => {
    const group = new ConsensusSimulation(3, new SeededRandom(7));
    group.run(1_000);
    const oldLeader = group.leader!;
    oldLeader.isOffline = true;
    const confirmation = group.confirm(oldLeader);
    group.run(2_000);
    const newLeader = group.leader!;
    expect(newLeader.id).not.toBe(oldLeader.id);
    const committed = group.propose(newLeader, 'meanwhile');
    group.run(200);
    expect(group.outcomes.get(committed)).toBe('committed');
    expect(group.outcomes.get(confirmation)).not.toBe('confirmed');
    expect(oldLeader.core!.role).not.toBe('leader');
    const term = newLeader.core!.currentTerm;
    oldLeader.isOffline = false;
    group.run(1_000);
    expect(group.leader!.id).toBe(newLeader.id);
    expect(newLeader.core!.currentTerm).toBe(term);
    expect(group.violations).toEqual([]);
  });

  // Guards against a needless election: without pre-votes a partitioned
  // follower would return with a far higher term.
  it('does not depose the leader when a follower returns', () => {
    const group = new ConsensusSimulation(5, new SeededRandom(11));
    group.run(1_000);
    const leader = group.leader!;
    const follower = group.members.find(member => member !== leader)!;
    follower.isOffline = true;
    group.run(20_000);
    follower.isOffline = false;
    group.run(1_000);
    expect(group.leader!.id).toBe(leader.id);
  });
});

describe('an instance without a vote', () => {
  // Guards against redirects to a leader that is gone for good: only voters
  // started an election and so forgot it.
  it('forgets a leader that it no longer hears', () => {
    const group = new ConsensusSimulation(3, new SeededRandom(13));
    group.run(1_000);
    const leader = group.leader!;
    const learner = group.members.find(member => member !== leader)!;
    const peers = leader.core!.configuration.peers.map(peer => {
      return peer.id === learner.id ? {...peer, voter: false} : peer;
    });
    group.changeConfiguration(leader, makeConfiguration(peers));
    group.run(500);
    expect(learner.core!.configuration.peers).toEqual(peers);
    expect(learner.core!.leader).toBe(leader.id);
    group.crash(leader);
    group.run(1_000);
    expect(learner.core!.leader).toBe('');
    group.restart(leader);
    group.run(1_000);
    expect(learner.core!.leader).toBe(group.leader!.id);
  });
});

describe('a single change of voters', () => {
  // Guards against two majorities that do not overlap, and thus two leaders.
  it('is refused while another is uncommitted, or for two voters', () => {
    const group = new ConsensusSimulation(3, new SeededRandom(3));
    group.run(1_000);
    const core = group.leader!.core!;
    const peers = core.configuration.peers;
    const follower = peers.find(({id}) => id !== core.id)!;
    const oneRemoved = makeConfiguration(
      peers.filter(peer => peer !== follower),
    );
    const twoRemoved = makeConfiguration(
      peers.filter(({id}) => id === core.id),
    );
    const findRefusal = (configuration: Configuration) => {
      const event = {kind: 'changeConfiguration', configuration} as const;
      const effects = core.step({...event, requestId: 900}, group.now);
      return effects.find(effect => effect.kind === 'refused')?.reason;
    };
    expect(findRefusal(twoRemoved)).toBe('change in progress');
    expect(findRefusal(oneRemoved)).toBeUndefined();
    expect(findRefusal(makeConfiguration(peers))).toBe('change in progress');
  });
});

describe('a peer that is added again', () => {
  // Guards against a learner that counts as caught up by what it replied before
  // it was removed, or is dropped at once as one that has long been silent.
  it('has no progress and no silence from before its removal', () => {
    const group = new ConsensusSimulation(3, new SeededRandom(3));
    group.run(1_000);
    const leader = group.leader!;
    const core = leader.core!;
    const removed = group.members.find(member => member !== leader)!;
    const {peers} = core.configuration;
    expect(core.matchIndexOf(removed.id)).toBe(core.commitIndex);
    removed.isOffline = true;
    const others = peers.filter(({id}) => id !== removed.id);
    group.changeConfiguration(leader, makeConfiguration(others));
    group.run(5_000);
    const learner = {...makePeer(removed.id), voter: false};
    const again = makeConfiguration([...others, learner]);
    group.changeConfiguration(leader, again);
    group.run(10);
    expect(core.configuration).toEqual(again);
    expect(core.matchIndexOf(removed.id)).toBe(0);
    expect(core.silenceMsOf(removed.id, group.now)).toBeLessThan(100);
    removed.isOffline = false;
    group.run(200);
    expect(core.matchIndexOf(removed.id)).toBe(core.commitIndex);
  });
});

describe('a candidate with an old log', () => {
  // Guards against a leader that overwrites committed entries.
  it('gets no vote from a voter with a newer log', () => {
    const group = new ConsensusSimulation(3, new SeededRandom(5));
    group.run(1_000);
    group.propose(group.leader!, 'accepted');
    group.run(100);
    const voter = group.members.find(member => member !== group.leader)!;
    const term = voter.core!.currentTerm + 1;
    const value = {lastIndex: 1, lastTerm: 1, pre: false};
    const effects = voter.core!.step(
      {
        kind: 'message',
        message: {
          from: 'old',
          to: voter.id,
          term,
          fromAddress: '',
          body: {$case: 'voteRequest', value},
        },
      },
      group.now + 10_000,
    );
    const replies = effects.flatMap(effect => {
      return effect.kind === 'send' ? [effect.message.body] : [];
    });
    expect(replies).toEqual([
      {$case: 'voteReply', value: {granted: false, pre: false}},
    ]);
  });
});

describe('a leader with entries of an older term', () => {
  // Guards against committing an entry of an older term that another leader
  // with a newer last entry can still overwrite.
  it('does not commit them before an entry of its own term', () => {
    const peers = ['m0', 'm1', 'm2'].map(id => makePeer(id));
    const noop = {$case: 'noop' as const, value: true};
    const entries = [{index: 2, term: 2, payload: noop}];
    const core = new Consensus(
      'm0',
      {
        hardState: {term: 2, votedFor: ''},
        snapshot: makeInitialSnapshot(peers),
        entries,
      },
      {electionMs: 100, heartbeatMs: 20},
      new SeededRandom(1),
    );
    const receive = (body: ConsensusMessage['body'], term: number) => {
      const message = {from: 'm1', to: 'm0', term, fromAddress: '', body};
      core.step({kind: 'message', message}, 1_000);
    };
    core.step({kind: 'tick'}, 0);
    core.step({kind: 'tick'}, 1_000);
    const vote = (pre: boolean) => ({
      $case: 'voteReply' as const,
      value: {granted: true, pre},
    });
    receive(vote(true), 3);
    receive(vote(false), 3);
    expect(core.role).toBe('leader');
    core.step({kind: 'synced', index: 3, term: 3}, 1_000);
    const matched = (matchIndex: number) => ({
      $case: 'appendReply' as const,
      value: {success: true, matchIndex, round: 1},
    });
    receive(matched(2), 3);
    expect(core.commitIndex).toBe(1);
    receive(matched(3), 3);
    expect(core.commitIndex).toBe(3);
  });
});

describe('a leader without a committed entry of its own term', () => {
  // Guards against a configuration that two leaders replace independently, and
  // against reads that lack what earlier leaders committed.
  it('changes no voters and confirms nothing', () => {
    const core = makeCandidate();
    const {peers} = core.configuration;
    const vote = {granted: true, pre: false};
    receive(core, 'm1', core.currentTerm, {$case: 'voteReply', value: vote});
    expect(core.role).toBe('leader');
    const configuration = makeConfiguration(peers.slice(0, 2));
    const requests = [
      {kind: 'changeConfiguration', configuration, requestId: 1},
      {kind: 'confirm', requestId: 1},
    ] as const;
    const refusal = {kind: 'refused', requestId: 1, reason: 'not leader'};
    for (const request of requests) {
      expect(core.step(request, 0)).toEqual([refusal]);
    }
    expect(core.configuration.peers).toEqual(peers);
  });
});

describe('a candidate', () => {
  // Guards against a second leader of a term: voters of an earlier term may
  // have voted for another candidate since.
  it('counts no vote of an earlier term', () => {
    const core = makeCandidate();
    const {currentTerm} = core;
    core.step({kind: 'tick'}, 10_000);
    const preVote = {granted: true, pre: true};
    const late = {granted: true, pre: false};
    const requested = currentTerm + 1;
    receive(core, 'm1', requested, {$case: 'voteReply', value: preVote});
    expect(core.currentTerm).toBe(requested);
    receive(core, 'm1', currentTerm, {$case: 'voteReply', value: late});
    receive(core, 'm2', currentTerm, {$case: 'voteReply', value: late});
    expect(core.role).toBe('candidate');
  });
});

describe('two instances that start an election together', () => {
  it('elect one of them at once', () => {
    // Guards against split votes when the third instance is down.
    let electedCount = 0;
    for (let seed = 1; seed <= 40; seed++) {
      const group = new ConsensusSimulation(3, new SeededRandom(seed));
      group.crash(group.members[2]!);
      const [first, second] = group.members;
      for (group.now of [0, 250]) {
        group.tick(first!);
        group.tick(second!);
      }
      while (group.inFlight.length > 0) group.deliver(0);
      if (group.leader) electedCount++;
    }
    expect(electedCount).toBe(40);
  });
});

describe('a common restart', () => {
  // Guards against split votes, each of which costs an election timeout.
  it('elects one leader in the first election', () => {
    for (let seed = 1; seed <= 30; seed++) {
      const random = new SeededRandom(seed);
      const group = new ConsensusSimulation(random.pick([3, 5]), random);
      // The first voter may start last.
      const late = random.pick(group.members);
      group.crash(late);
      group.run(random.integer(0, 25));
      group.restart(late);
      group.run(100);
      expect(group.leader, `seed ${seed}`).toBeDefined();
      expect(group.history.leaderCount, `seed ${seed}`).toBe(1);
    }
  });

  // Guards against an election that takes longer than its messages and syncs
  // when instances start in any order.
  it.each([
    ['3 instances between regions', 3, {latencyMs: 20, syncMs: 0.5}],
    ['3 instances with slow disks', 3, {latencyMs: 8, syncMs: 5}],
    ['5 instances between regions', 5, {latencyMs: 20, syncMs: 5}],
    ['3 instances that reply after their timers', 3, SLOW_REPLIES],
    ['5 instances that reply after their timers', 5, SLOW_REPLIES],
  ])('has a leader soon: %s', (...[, count, delays]) => {
    const {latencyMs, syncMs} = delays;
    // Pre-votes, votes and the leader's first entry take a round trip each.
    const maxMs = 3 * 2 * latencyMs * 1.3 + 4 * syncMs;
    let soonCount = 0;
    for (let seed = 1; seed <= 100; seed++) {
      const random = new SeededRandom(seed);
      const group = new TimedSimulation(count, delays, random);
      const startTimes = Array.from({length: count}, () =>
        random.integer(0, 300),
      );
      startTimes.forEach((at, member) => group.startAt(at, member));
      const majorityStartedAt = startTimes.sort((a, b) => a - b)[
        (count - 1) / 2
      ]!;
      const leaderElectedAt = group.runUntilLeader(5_000);
      expect(leaderElectedAt, `seed ${seed}`).toBeDefined();
      if (leaderElectedAt! - majorityStartedAt <= maxMs) soonCount++;
    }
    expect(soonCount).toBeGreaterThanOrEqual(95);
  });

  // Guards against a second leader of a term, elected by votes that arrive
  // after their candidate followed the first one.
  it('ends the votes of a candidate that follows a leader', () => {
    const core = makeCandidate();
    const {currentTerm: term} = core;
    const vote = {granted: true, pre: false};
    const heartbeat = {
      previousIndex: 1,
      previousTerm: 1,
      entries: [],
      commitIndex: 1,
      round: 1,
    };
    receive(core, 'm1', term, {$case: 'appendRequest', value: heartbeat});
    expect(core.role).toBe('follower');
    core.step({kind: 'tick'}, 10_000);
    expect(core.role).toBe('candidate');
    expect(core.currentTerm).toBe(term);
    receive(core, 'm1', term, {$case: 'voteReply', value: vote});
    receive(core, 'm2', term, {$case: 'voteReply', value: vote});
    expect(core.role).toBe('candidate');
  });

  // Guards against a candidate with an old log whose term rises with each
  // refusal, so that it refuses the candidate that could win.
  it('does not raise the term of a candidate that is refused', () => {
    const group = new ConsensusSimulation(3, new SeededRandom(3));
    group.run(500);
    const leader = group.leader!;
    const outdated = group.members.find(member => member !== leader)!;
    outdated.isOffline = true;
    group.propose(leader, 'news');
    group.run(100);
    for (const member of group.members) {
      group.crash(member);
      member.isOffline = false;
      group.restart(member);
    }
    const {currentTerm} = outdated.core!;
    let hasCampaigned = false;
    for (let step = 0; step < 20; step++) {
      group.now += 10;
      group.tick(outdated);
      hasCampaigned ||= outdated.core!.role === 'candidate';
      while (group.inFlight.length > 0) group.deliver(0);
    }
    expect(hasCampaigned).toBe(true);
    expect(outdated.core!.currentTerm).toBe(currentTerm);
  });
});
