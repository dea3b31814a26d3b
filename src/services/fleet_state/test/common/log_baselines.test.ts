import {beforeEach, describe, expect, it} from 'vitest';
import type {FleetCommand, Member} from '../../../../schema/generated/fleet';
import {encodeCommand} from '../../common/fleet_command';
import {FleetStateMachine} from '../../common/fleet_state_machine';

const makeMember = (instance: string, over: Partial<Member> = {}): Member => ({
  instance,
  service: 's',
  address: `${instance}:1`,
  site: 'z',
  slots: 2,
  draining: false,
  born: 1,
  recovering: false,
  role: 2,
  ...over,
});

let machine: FleetStateMachine;
let index: number;

function apply(body: NonNullable<FleetCommand['body']>): void {
  machine.apply(++index, encodeCommand(body));
}

const admit = (member: Member) => {
  apply({$case: 'admit', value: {member}});
};

const forget = (instance: string, stoppedAt?: number, left = true) => {
  const stopped = stoppedAt !== undefined;
  const end = {stopped, term: stopped ? 1 : 0, offset: stoppedAt ?? 0};
  const cause = {left, replaced: false, address: ''};
  const value = {service: 's', instance, born: 1, ...cause, ...end};
  apply({$case: 'forget', value});
};

const assign = (instance: string, offset = 0, leadTerm = 0) => {
  const log = {leadTerm, term: leadTerm > 0 ? 1 : 0, offset};
  const requests = {ordered: true, othersEnded: false, single: false};
  const value = {service: 's', holder: 'c', instance, ...requests, ...log};
  apply({$case: 'nameLead', value});
};

const former = () => {
  return machine.baselineOf('s').former.map(({instance}) => instance);
};

beforeEach(() => {
  machine = new FleetStateMachine();
  index = 0;
  for (const instance of ['a', 'b', 'c']) admit(makeMember(instance));
});

describe('the baseline of a service', () => {
  it('keeps a member that left until it is accounted for', () => {
    // Guards against losing commits that only this member had confirmed.
    assign('a');
    forget('b');
    expect(former()).toEqual(['b']);
    const {former: members} = machine.baselineOf('s');
    const value = {service: 's', term: 1, offset: 9, members};
    apply({$case: 'accountForMembers', value});
    expect(machine.baselineOf('s')).toMatchObject({term: 1, offset: 9});
    expect(former()).toEqual([]);
  });

  it('rises to the end of a log that was stopped', () => {
    // Guards against waiting for the primary when the end of the log is known.
    assign('a');
    forget('b', 7);
    expect(machine.baselineOf('s')).toMatchObject({term: 1, offset: 7});
    expect(former()).toEqual([]);
    forget('c', 5);
    expect(machine.baselineOf('s')).toMatchObject({term: 1, offset: 7});
  });

  it('keeps the earlier incarnation of a member that restarted', () => {
    // Guards against a member without its log that stands for the log it had.
    assign('a');
    admit(makeMember('b', {born: 2}));
    expect(former()).toEqual(['b']);
    admit(makeMember('b', {born: 2, role: 1}));
    expect(former()).toEqual(['b']);
  });

  it('needs no member from before the first primary', () => {
    // Guards against waiting for a member that cannot have confirmed anything.
    forget('b');
    assign('a');
    expect(former()).toEqual([]);
  });

  it('rises to the log of a new primary, which needs no former member', () => {
    // Guards against losing commits that only a new primary holds, if it fails
    // before its replicas have received them.
    assign('a');
    forget('c');
    assign('b', 8, 2);
    expect(machine.baselineOf('s')).toMatchObject({
      term: 1,
      offset: 8,
      former: [],
      primaryAddress: 'b:1',
      primaryTerm: 2,
    });
  });

  it('is not needed for a primary, but knows that it left', () => {
    // Guards against waiting for the log of a primary that is gone for good.
    assign('a');
    forget('a');
    expect(former()).toEqual([]);
    expect(machine.baselineOf('s').primaryLeft).toBe(true);
    assign('b', 8, 2);
    expect(machine.baselineOf('s').primaryLeft).toBe(false);
  });

  it('ignores the end of an earlier incarnation', () => {
    // Guards against dropping a member that restarted and is well.
    assign('a');
    admit(makeMember('b', {born: 2}));
    forget('b');
    expect(machine.member('s', 'b')?.born).toBe(2);
  });

  it('needs no account of a member that is back', () => {
    // Guards against waiting for the end of a member that control removed for
    // its silence and that is well.
    assign('a');
    forget('b', undefined, false);
    expect(former()).toEqual(['b']);
    admit(makeMember('b'));
    expect(former()).toEqual([]);
  });

  it('is restored from a snapshot', () => {
    // Guards against a new leader that does not know of members that ended.
    assign('a');
    forget('b');
    const copy = new FleetStateMachine();
    copy.restore(machine.snapshot());
    expect(copy.baselineOf('s')).toEqual(machine.baselineOf('s'));
  });

  it('takes over recovering members of earlier versions', () => {
    // Guards against trusting a log that an earlier version knew to be
    // incomplete.
    assign('a');
    admit(makeMember('b', {recovering: true}));
    expect(former()).toEqual(['b']);
    expect(machine.member('s', 'b')?.recovering).toBe(false);
  });
});
