import {describe, expect, it} from 'vitest';
import {SeededRandom} from '../../../../base/common/random';
import type {ConsensusMessage} from '../../../../schema/generated/consensus';
import {Consensus} from '../../common/consensus';
import {firstSnapshot, ConsensusSimulation, peer} from './consensus_simulation';
import {TimedGroup} from './timed_group';

const SCHEDULES = 150;
const PERIODS = 60;
const MOST_STEPS_A_PERIOD = 60;

/** Plays a random schedule: in each period others are cut off or dead. */
function play(seed: number): ConsensusSimulation {
  const random = new SeededRandom(seed);
  const group = new ConsensusSimulation(random.pick([3, 5]), random);
  for (let period = 0; period < PERIODS; period++) {
    for (const member of group.members) {
      member.cutOff = random.integer(0, 3) === 0;
      const dice = random.integer(0, 9);
      if (dice === 0) group.crash(member);
      else if (dice > 5 && !member.core) group.restart(member);
    }
    const steps = random.integer(1, MOST_STEPS_A_PERIOD);
    for (let step = 0; step < steps; step++) {
      playStep(group, random, `c${period}.${step}`);
    }
  }
  return group;
}

function playStep(
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
    moveMessage(group, random);
  }
}

/** Delivers, loses or doubles one of the messages under way. */
function moveMessage(group: ConsensusSimulation, random: SeededRandom): void {
  const {inFlight} = group;
  if (inFlight.length === 0) return;
  const at = random.integer(0, Math.min(inFlight.length, 8) - 1);
  const dice = random.integer(0, 19);
  if (dice === 0) inFlight.splice(at, 1);
  else if (dice === 1) inFlight.push(inFlight[at]!);
  else group.deliver(at);
}

describe('consensus under random schedules', () => {
  // An operator sees a change accepted and later gone, or two control
  // instances that each order a promotion. Messages are lost, doubled, delayed
  // and reordered while instances crash, return and are cut off; the cause
  // would be two leaders in a term, or an entry that two logs disagree on.
  it('keeps one leader a term and one log, and confirms no old state', () => {
    let terms = 0;
    for (let seed = 1; seed <= SCHEDULES; seed++) {
      const group = play(seed);
      expect(group.faults, `seed ${seed}`).toEqual([]);
      terms += group.leaders.size;
    }
    expect(terms).toBeGreaterThan(SCHEDULES * 5);
  });

  // An operator waits for ever after all faults are over.
  it('commits again once everybody is back', () => {
    for (let seed = 1; seed <= 40; seed++) {
      const group = play(seed);
      for (const member of group.members) {
        member.cutOff = false;
        if (!member.core) group.restart(member);
      }
      group.settle(3_000);
      const ticket = group.propose(group.leader!, 'last');
      group.settle(500);
      expect(group.answers.get(ticket), `seed ${seed}`).toBe('committed');
      expect(group.faults, `seed ${seed}`).toEqual([]);
    }
  });
});

describe('a leader that is cut off in silence', () => {
  // A control instance is isolated for a long time and returns believing that
  // it leads. Meanwhile others lead and commit. It must not confirm a lease or
  // settings before, during or after its return.
  it('confirms nothing, steps down and takes over nothing', () => {
    const group = new ConsensusSimulation(3, new SeededRandom(7));
    group.settle(1_000);
    const old = group.leader!;
    old.cutOff = true;
    const asked = group.confirm(old);
    group.settle(2_000);
    const next = group.leader!;
    expect(next.id).not.toBe(old.id);
    const committed = group.propose(next, 'meanwhile');
    group.settle(200);
    expect(group.answers.get(committed)).toBe('committed');
    expect(group.answers.get(asked)).not.toBe('confirmed');
    expect(old.core!.role).not.toBe('leader');
    const term = next.core!.currentTerm;
    old.cutOff = false;
    group.settle(1_000);
    expect(group.leader!.id).toBe(next.id);
    expect(next.core!.currentTerm).toBe(term);
    expect(group.faults).toEqual([]);
  });

  // One of five is cut off for hours and comes back with its election timer
  // run out a thousand times. Without pre-votes its term is far ahead and
  // unseats the leader the moment it returns: promotions stall for nothing.
  it('does not unseat the leader when it returns', () => {
    const group = new ConsensusSimulation(5, new SeededRandom(11));
    group.settle(1_000);
    const leader = group.leader!;
    const away = group.members.find(member => member !== leader)!;
    away.cutOff = true;
    group.settle(20_000);
    away.cutOff = false;
    group.settle(1_000);
    expect(group.leader!.id).toBe(leader.id);
  });
});

describe('a single change of voters', () => {
  // Two operators repair the control group at once. Each change alone is safe;
  // both at a time could give two majorities that do not meet, and two leaders.
  it('is refused while another is not committed, or where it moves two', () => {
    const group = new ConsensusSimulation(3, new SeededRandom(3));
    group.settle(1_000);
    const core = group.leader!.core!;
    const peers = core.configuration.peers;
    const follower = peers.find(({id}) => id !== core.id)!;
    const without = {peers: peers.filter(peer => peer !== follower)};
    const one = {peers: [core.id].map(id => peers.find(p => p.id === id)!)};
    const refusal = (configuration: typeof one) => {
      const event = {kind: 'changeConfiguration', configuration} as const;
      const effects = core.step({...event, ticket: 900}, group.now);
      return effects.find(effect => effect.kind === 'refused')?.reason;
    };
    expect(refusal(one)).toBe('change in progress');
    expect(refusal(without)).toBeUndefined();
    expect(refusal({peers})).toBe('change in progress');
  });
});

describe('an instance with an old log', () => {
  // It was down while others committed, and asks for a vote of its own term
  // straight away. With the vote it would lead and overwrite what was accepted.
  it('gets no vote from one that holds more', () => {
    const group = new ConsensusSimulation(3, new SeededRandom(5));
    group.settle(1_000);
    group.propose(group.leader!, 'accepted');
    group.settle(100);
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
  // A majority holds an entry of an earlier term, but none of the leader's
  // own. Another instance with a newer last entry may still lead and overwrite
  // it: an operator would see an accepted change disappear.
  it('does not count them as committed before one of its own', () => {
    const peers = ['m0', 'm1', 'm2'].map(id => peer(id));
    const noop = {$case: 'noop' as const, value: true};
    const entries = [{index: 2, term: 2, payload: noop}];
    const core = new Consensus(
      'm0',
      {
        hardState: {term: 2, votedFor: ''},
        snapshot: firstSnapshot(peers),
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

describe('two instances that stand at the same moment', () => {
  it('elect one of them at once', () => {
    // All instances restart together and one comes back without its disk. Both
    // others ask for votes at once, each had voted for itself, and every caller
    // waited for another election.
    let rounds = 0;
    for (let seed = 1; seed <= 40; seed++) {
      const group = new ConsensusSimulation(3, new SeededRandom(seed));
      group.crash(group.members[2]!);
      const [first, second] = group.members;
      for (group.now of [0, 250]) {
        group.tick(first!);
        group.tick(second!);
      }
      while (group.inFlight.length > 0) group.deliver(0);
      if (group.leader) rounds++;
    }
    expect(rounds).toBe(40);
  });
});

describe('a common restart', () => {
  // All machines were without power. Callers wait for control, and control for
  // an election. Instances that stand at the same moment split the votes, and
  // each try costs a whole wait.
  it('elects one leader, at the first try', () => {
    for (let seed = 1; seed <= 30; seed++) {
      const random = new SeededRandom(seed);
      const group = new ConsensusSimulation(random.pick([3, 5]), random);
      // The first voter may be the last one to be up.
      const late = random.pick(group.members);
      group.crash(late);
      group.settle(random.integer(0, 25));
      group.restart(late);
      group.settle(100);
      expect(group.leader, `seed ${seed}`).toBeDefined();
      expect([...group.leaders.keys()], `seed ${seed}`).toHaveLength(1);
    }
  });

  // Power comes back and the instances of control start within 0.3 s, in any
  // order. Every caller of every proxy waits for their election. While each
  // first waited by its place among the voters, the last one that came up
  // waited for the first: 0.4 s for 0.1 s of messages and disk.
  it.each([
    ['3 instances between regions', 3, {wayMs: 20, syncMs: 0.5}],
    ['3 instances with slow disks', 3, {wayMs: 8, syncMs: 5}],
    ['5 instances between regions', 5, {wayMs: 20, syncMs: 5}],
  ])('has a leader soon: %s', (...[, count, delays]) => {
    const {wayMs, syncMs} = delays;
    // Pre-votes, votes and the leader's first entry, each a way and back.
    const mostMs = 3 * 2 * wayMs * 1.3 + 4 * syncMs;
    let soon = 0;
    for (let seed = 1; seed <= 100; seed++) {
      const random = new SeededRandom(seed);
      const group = new TimedGroup(count, delays, random);
      const starts = Array.from({length: count}, () => random.integer(0, 300));
      starts.forEach((at, member) => group.startAt(at, member));
      const majorityAt = starts.sort((a, b) => a - b)[(count - 1) / 2]!;
      const leadsAt = group.timeOfLeader(5_000);
      expect(leadsAt, `seed ${seed}`).toBeDefined();
      if (leadsAt! - majorityAt <= mostMs) soon++;
    }
    expect(soon).toBeGreaterThanOrEqual(95);
  });

  // An instance with an old log stands first, again and again. Each refusal
  // raised its term, so that it refused the one that could have won.
  it('leaves the term of a candidate that is refused', () => {
    const group = new ConsensusSimulation(3, new SeededRandom(3));
    group.settle(500);
    const leader = group.leader!;
    const behind = group.members.find(member => member !== leader)!;
    behind.cutOff = true;
    group.propose(leader, 'news');
    group.settle(100);
    for (const member of group.members) {
      group.crash(member);
      member.cutOff = false;
      group.restart(member);
    }
    const {currentTerm} = behind.core!;
    let hasStood = false;
    for (let step = 0; step < 20; step++) {
      group.now += 10;
      group.tick(behind);
      hasStood ||= behind.core!.role === 'candidate';
      while (group.inFlight.length > 0) group.deliver(0);
    }
    expect(hasStood).toBe(true);
    expect(behind.core!.currentTerm).toBe(currentTerm);
  });
});
