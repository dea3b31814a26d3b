import {describe, expect, it} from 'vitest';
import {SeededRandom} from '../../../../base/common/random';
import type {Peer} from '../../../../schema/generated/consensus';
import {addLearners} from '../../../membership/common/membership_plan';
import {makeConfiguration} from '../../common/configuration';
import {MembershipWatch} from '../../common/membership_watch';
import {
  ConsensusSimulation,
  type SimulatedMember,
} from './consensus_simulation';

const CHECK_INTERVAL_MS = 500;

/** A group of five voters with a leader, one of which is being watched. */
function startGroup() {
  const group = new ConsensusSimulation(5, new SeededRandom(17));
  group.run(1_000);
  const leader = group.leader!;
  const watched = group.members.find(member => member !== leader)!;
  const others = group.members.filter(member => {
    return member !== leader && member !== watched;
  });
  return {group, leader, watched, others};
}

/** Checks for a time; the results in the order of the checks. */
function watch(
  group: ConsensusSimulation,
  {core, id}: SimulatedMember,
  milliseconds: number,
): boolean[] {
  const membership = new MembershipWatch(core!, `${id}:1`);
  const results: boolean[] = [];
  for (let passed = 0; passed < milliseconds; passed += CHECK_INTERVAL_MS) {
    results.push(membership.isOutside(group.now));
    group.run(CHECK_INTERVAL_MS);
  }
  return results;
}

function peersOf({core}: SimulatedMember): Peer[] {
  return core!.configuration.peers;
}

/** Removes a member from the group while it is cut off. */
function removeWhileCutOff(
  group: ConsensusSimulation,
  leader: SimulatedMember,
  removed: SimulatedMember,
): void {
  removed.isOffline = true;
  const peers = peersOf(leader).filter(({id}) => id !== removed.id);
  group.changeConfiguration(leader, makeConfiguration(peers));
  group.run(500);
  removed.isOffline = false;
}

describe('a voter that was replaced while it was cut off', () => {
  // Guards against a voter that stays outside for good, because by its own log
  // it is one.
  it('is outside until it is a learner under its id, then a voter', () => {
    const {group, leader, watched} = startGroup();
    removeWhileCutOff(group, leader, watched);
    expect(watch(group, watched, 4_000).at(-1)).toBe(true);
    const joiner = {id: watched.id, address: `${watched.id}:1`};
    const peers = addLearners(peersOf(leader), [joiner])!;
    expect(peers).toContainEqual({...joiner, voter: false});
    group.changeConfiguration(leader, makeConfiguration(peers));
    group.run(500);
    expect(peersOf(watched)).toEqual(peers);
    expect(watch(group, watched, 1_000)).toEqual([false, false]);
    const allVoters = peers.map(peer => ({...peer, voter: true}));
    group.changeConfiguration(leader, makeConfiguration(allVoters));
    group.run(500);
    expect(peersOf(watched)).toEqual(allVoters);
    expect(group.leader).toBe(leader);
    expect(group.violations).toEqual([]);
  });
});

describe('a learner whose entry a change of leader took back', () => {
  // Guards against a learner that no leader knows and that never asks again.
  it('is outside', () => {
    const {group, leader, watched, others} = startGroup();
    removeWhileCutOff(group, leader, watched);
    for (const other of others) other.isOffline = true;
    const joiner = {id: watched.id, address: `${watched.id}:1`};
    const peers = addLearners(peersOf(leader), [joiner])!;
    group.changeConfiguration(leader, makeConfiguration(peers));
    group.run(50);
    expect(peersOf(watched)).toEqual(peers);
    group.crash(leader);
    for (const other of others) other.isOffline = false;
    group.run(2_000);
    expect(peersOf(group.leader!)).not.toEqual(peers);
    expect(peersOf(watched)).toEqual(peers);
    expect(watch(group, watched, 500)).toEqual([true]);
  });
});

describe('an instance that starts', () => {
  // Guards against requests of a whole group that just elects its leader.
  it('is not outside as a voter that waits for an election', () => {
    const {group, leader, watched} = startGroup();
    group.crash(leader);
    expect(watch(group, watched, 2_000)).not.toContain(true);
  });

  // Guards against a successor that loses time before it becomes a voter.
  it('is outside at once if its log is empty', () => {
    const core = {id: 'new', leader: '', configuration: makeConfiguration([])};
    expect(new MembershipWatch(core, 'new:1').isOutside(0)).toBe(true);
  });
});
