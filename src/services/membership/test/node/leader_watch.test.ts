import {expect, it} from 'vitest';
import {ManualClock} from '../../../../base/common/clock';
import type {ConsensusMessage} from '../../../../schema/generated/consensus';
import type {ConsensusRole} from '../../../consensus/common/consensus_types';
import {makeLog} from '../../../gateway/test/node/session_fixture';
import {LeaderWatch} from '../../node/leader_watch';
import {makeConfiguration} from '../../../consensus/common/configuration';
import {PeerContacts} from '../../node/peer_contacts';

function makePeer(id: string, voter = true) {
  return {id, address: id, voter};
}

function setUp(isVoter = true) {
  const {lines, log} = makeLog();
  const clock = new ManualClock();
  const peers = [makePeer('a', isVoter), makePeer('b'), makePeer('c')];
  const core = {
    id: 'a',
    role: 'candidate' as ConsensusRole,
    leader: '',
    currentTerm: 3,
    configuration: makeConfiguration(peers),
  };
  const contacts = new PeerContacts(core, clock);
  const watch = new LeaderWatch(core, contacts, clock, log);
  const receive = (
    from: string,
    body: ConsensusMessage['body'],
    term = core.currentTerm,
  ) => contacts.record({from, to: 'a', term, fromAddress: '', body});
  const replyVote = (from: string, granted: boolean) =>
    receive(from, {$case: 'voteReply', value: {granted, pre: true}});
  const hearLeader = (term?: number) => {
    const value = {
      previousIndex: 0,
      previousTerm: 0,
      entries: [],
      commitIndex: 0,
      round: 1,
    };
    receive('b', {$case: 'appendRequest', value}, term);
  };
  const wait = (milliseconds: number) => {
    for (let passed = 0; passed < milliseconds; passed += 500) {
      clock.advance(500);
      watch.check();
    }
  };
  return {lines, core, watch, replyVote, hearLeader, wait};
}

it('logs who did not vote for an instance without a majority', () => {
  const {lines, replyVote, wait} = setUp();
  wait(1_500);
  expect(lines).toEqual([]);
  replyVote('b', false);
  wait(500);
  expect(lines).toHaveLength(1);
  expect(lines[0]).toContain('No majority of votes.');
  expect(lines[0]).toContain('"granted":"","refused":"b","silent":"c"');
  wait(10_000);
  expect(lines).toHaveLength(6);
});

it('logs an instance without a vote that hears no leader', () => {
  // Guards against a learner or an empty instance that waits without any line.
  const {lines, core, wait} = setUp(false);
  core.role = 'follower';
  wait(2_000);
  expect(lines[0]).toContain('this instance is no voter');
  expect(lines[0]).toContain('"voters":"b c"');
});

it('logs once that there is a leader again', () => {
  const {lines, watch, hearLeader, wait} = setUp();
  wait(2_000);
  hearLeader();
  watch.check();
  watch.check();
  expect(lines.at(-1)).toContain('There is a leader.');
  expect(lines).toHaveLength(2);
});

it('takes a leader of an earlier term for none', () => {
  const {watch, hearLeader, wait} = setUp();
  wait(1_000);
  hearLeader(2);
  expect(watch.leaderlessMs()).toBe(1_000);
  hearLeader(3);
  expect(watch.leaderlessMs()).toBe(0);
});

it('limits the lines of a group that often loses its leader', () => {
  const {lines, core, wait} = setUp();
  for (let round = 0; round < 10; round++) {
    core.role = 'candidate';
    wait(2_000);
    core.role = 'leader';
    wait(500);
  }
  expect(lines.length).toBeLessThanOrEqual(20);
});

it('names each new leader once at instances that do not lead', () => {
  // Guards against a change of leader that a follower's lines do not show, as
  // its role stays the same.
  const {lines, core, watch, hearLeader} = setUp();
  core.role = 'follower';
  const follow = (leader: string, term: number) => {
    Object.assign(core, {leader, currentTerm: term});
    hearLeader();
    watch.check();
    watch.check();
  };
  follow('b', 3);
  follow('', 4);
  follow('c', 4);
  follow('a', 5);
  expect(lines).toEqual([
    'Another instance leads. {"leader":"b","address":"b","term":3}',
    'Another instance leads. {"leader":"c","address":"c","term":4}',
  ]);
});
