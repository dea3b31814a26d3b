import {beforeEach, describe, expect, it} from 'vitest';
import type {ForgetMember, Member} from '../../../../schema/generated/fleet';
import {EndedMembers} from '../../common/ended_members';
import {encodeCommand} from '../../common/fleet_command';
import {FleetStateMachine} from '../../common/fleet_state_machine';

const makeMember = (overrides: Partial<Member> = {}): Member => ({
  instance: 'm1',
  service: 's',
  address: '10.0.0.1:1',
  site: 'z',
  slots: 2,
  draining: false,
  role: 2,
  born: 0,
  recovering: false,
  ...overrides,
});

let machine: FleetStateMachine;
let lastIndex = 0;

beforeEach(() => {
  machine = new FleetStateMachine();
  assignPrimary('p');
});

function admit(member: Member): void {
  const value = {member};
  machine.apply(++lastIndex, encodeCommand({$case: 'admit', value}));
}

function assignPrimary(instance: string): void {
  const log = {leadTerm: 0, term: 0, offset: 0, othersEnded: true};
  const decision = {holder: 'c', ordered: false, single: true};
  const value = {service: 's', instance, ...decision, ...log};
  machine.apply(++lastIndex, encodeCommand({$case: 'nameLead', value}));
}

function forget(overrides: Partial<ForgetMember> = {}): void {
  const {instance, service, born, address} = makeMember();
  const end = {stopped: false, term: 0, offset: 0, left: false};
  const base = {instance, service, born, address, ...end, replaced: true};
  const value = {...base, ...overrides};
  machine.apply(++lastIndex, encodeCommand({$case: 'forget', value}));
}

/** What an instance knows after it restarted. */
function restart(): void {
  const snapshot = machine.snapshot();
  machine = new FleetStateMachine();
  machine.restore(snapshot);
}

// Guards against a group that waits for a log that is gone, since a heartbeat
// of its member arrived late.
describe('a member that was replaced at its address', () => {
  it('stays replaced, also after a restart', () => {
    admit(makeMember());
    forget();
    restart();
    expect(machine.hasEnded(makeMember())).toBe(true);
    const {former} = machine.baselineOf('s');
    admit(makeMember());
    expect(machine.members).toEqual([]);
    expect(machine.baselineOf('s').former).toEqual(former);
  });

  it('stays a member if it is at another address by now', () => {
    admit(makeMember({address: '10.0.0.2:1'}));
    forget();
    expect(machine.members).toHaveLength(1);
  });

  it.each([
    ['at another address', makeMember({address: '10.0.0.2:1'})],
    ['in a later incarnation', makeMember({born: 7})],
  ])('comes back %s', (...[, member]) => {
    admit(makeMember());
    forget();
    admit(member);
    expect(machine.members).toEqual([member]);
    expect(machine.hasEnded(makeMember())).toBe(false);
  });

  it('is not taken for a member of another service', () => {
    admit(makeMember());
    forget();
    expect(machine.hasEnded(makeMember({service: 'other'}))).toBe(false);
  });
});

describe('a member that was removed', () => {
  it('has ended if it left', () => {
    admit(makeMember());
    forget({replaced: false, left: true, address: ''});
    restart();
    expect(machine.hasEnded(makeMember())).toBe(true);
  });

  it('may come back if it was only silent', () => {
    // Guards against a member behind a partition that is lost for good.
    admit(makeMember());
    forget({replaced: false, address: ''});
    admit(makeMember());
    expect(machine.members).toHaveLength(1);
  });
});

it('keeps a bounded number of ended members', () => {
  const ended = new EndedMembers();
  for (let number = 0; number < 5_000; number++) {
    ended.add(makeMember({instance: `m${number}`}));
  }
  expect(ended.all).toHaveLength(1_000);
  expect(ended.includes(makeMember({instance: 'm4999'}))).toBe(true);
});
