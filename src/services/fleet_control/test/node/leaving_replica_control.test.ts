import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {MonotonicClock} from '../../../../base/node/monotonic_clock';
import {createAbortController} from '../../../../base/node/timers';
import {encodeCommand} from '../../../fleet_state/common/fleet_command';
import {FleetStateMachine} from '../../../fleet_state/common/fleet_state_machine';
import {makeLog} from '../../../gateway/test/node/session_fixture';
import {
  SimulatedGroup,
  type SimulatedMember,
} from '../../../promotion/test/node/simulated_group';
import {Roster} from '../../../roster/common/roster';
import {LeavingReplicaControl} from '../../node/leaving_replica_control';
import {MemberMonitors} from '../../node/member_monitors';
import {ServiceGroups} from '../../node/service_groups';

const SERVICE = 'books';
const NO_LOG = {term: 0, offset: 0, leadTerm: 0};

let stop = createAbortController();
beforeEach(() => (stop = createAbortController()));
afterEach(() => stop.abort());

const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** A primary "a", a replica "b" that stays, and "c" and "d" that leave. */
function makeMachine(): FleetStateMachine {
  const machine = new FleetStateMachine();
  const assignment = {holder: 'control-1', instance: 'a', ordered: false};
  const requests = {othersEnded: true, single: false};
  const value = {service: SERVICE, ...assignment, ...requests, ...NO_LOG};
  machine.apply(1, encodeCommand({$case: 'nameLead', value}));
  return machine;
}

async function startControl() {
  const group = new SimulatedGroup(['a', 'b', 'c', 'd']);
  group.member('a').isPrimary = true;
  const clock = new MonotonicClock();
  const roster = new Roster();
  const access = {connector: group, reader: group};
  const monitors = new MemberMonitors(access, clock, stop.signal);
  for (const {instance, record} of group.members) {
    const member = {...record, draining: instance > 'b'};
    monitors.of(member);
    roster.announce({member, sequence: 1}, clock.now());
  }
  const state = {isSteady: true, isConfirmed: true};
  const control = new LeavingReplicaControl(
    new ServiceGroups(makeMachine(), roster, monitors),
    {isSteady: () => state.isSteady, confirmationsOf: () => 1},
    {isLeadershipConfirmed: () => Promise.resolve(state.isConfirmed)},
    makeLog().log,
  );
  const reconcile = async () => {
    control.reconcile();
    await pause(50);
  };
  const isStopped = (instance: string) => {
    return control.isStopped(roster.get(instance)!);
  };
  await pause(20);
  return {group, state, reconcile, isStopped};
}

/** Calls back before a member executes a command. */
function onCommand(
  member: SimulatedMember,
  command: string,
  callback: () => void,
): void {
  const run = member.run.bind(member);
  member.run = statement => {
    if (statement.kind === command) callback();
    return run(statement);
  };
}

describe('replicas that leave', () => {
  it('are stopped, and resumed once no other replica confirms', async () => {
    const {group, reconcile, isStopped} = await startControl();
    await reconcile();
    expect(group.member('c').commands).toEqual(['pause']);
    expect(group.member('d').commands).toEqual(['pause']);
    group.member('b').position = {term: 1, offset: 5};
    await reconcile();
    expect(group.member('c').commands).toEqual(['pause', 'resume']);
    expect(group.member('d').commands).toEqual(['pause', 'resume']);
    expect(isStopped('c')).toBe(false);
  });

  // Guards against replicas that receive again while their logs are compared
  // for a promotion: commits that they confirm then would be lost.
  it('are not resumed once the primary is being replaced', async () => {
    const {group, state, reconcile, isStopped} = await startControl();
    await reconcile();
    group.member('b').position = {term: 1, offset: 5};
    onCommand(group.member('c'), 'resume', () => (state.isSteady = false));
    await reconcile();
    expect(group.member('d').commands).toEqual(['pause']);
    expect(isStopped('d')).toBe(true);
    state.isSteady = true;
    await reconcile();
    expect(group.member('d').commands).toEqual(['pause', 'resume']);
  });

  // Guards against a former leader that resumes what the next one stopped.
  it('are not resumed after the leadership ended', async () => {
    const {group, state, reconcile, isStopped} = await startControl();
    await reconcile();
    group.member('b').position = {term: 1, offset: 5};
    onCommand(group.member('c'), 'resume', () => (state.isConfirmed = false));
    await reconcile();
    expect(group.member('d').commands).toEqual(['pause']);
    expect(isStopped('d')).toBe(true);
  });

  // Guards against a replica that nobody resumes, as the next leader does not
  // know that it was stopped.
  it('are not stopped after the leadership ended', async () => {
    const {group, state, reconcile} = await startControl();
    onCommand(group.member('c'), 'pause', () => (state.isConfirmed = false));
    await reconcile();
    expect(group.member('c').commands).toEqual(['pause']);
    expect(group.member('d').commands).toEqual([]);
  });
});
