import {describe, expect, it} from 'vitest';
import {encodeCommand} from '../../common/fleet_command';
import {FleetStateMachine} from '../../common/fleet_state_machine';

const publish = (
  machine: FleetStateMachine,
  index: number,
  version: number,
  text: string,
) => {
  const value = {version, source: Buffer.from(text)};
  machine.apply(index, encodeCommand({$case: 'publish', value}));
  return machine.takeOutcome(index);
};

describe('catalogs in the control log', () => {
  it('are applied only in increasing order of versions', () => {
    const machine = new FleetStateMachine();
    expect(publish(machine, 1, 4, 'four')).toBe('in force');
    expect(publish(machine, 2, 9, 'nine')).toBe('in force');
    expect(publish(machine, 3, 7, 'seven')).toBe('superseded');
    expect(machine.catalogInForce.version).toBe(9);
  });

  it('conflict if two operators submit the same version', () => {
    // Two operators submit the same version. The second must be told that it
    // lost and must not be applied; the first may repeat its own.
    const machine = new FleetStateMachine();
    expect(publish(machine, 1, 4, 'mine')).toBe('in force');
    expect(publish(machine, 2, 4, 'yours')).toBe('conflict');
    expect(publish(machine, 3, 4, 'mine')).toBe('unchanged');
    expect(machine.catalogInForce.source.toString()).toBe('mine');
  });

  it('are restored from a snapshot, as are members', () => {
    const machine = new FleetStateMachine();
    publish(machine, 1, 4, 'four');
    const member = {
      instance: 'm1',
      service: 's',
      address: 'x:1',
      site: 'z',
      slots: 2,
      draining: false,
      born: 0,
      recovering: false,
      role: 1,
    };
    machine.apply(2, encodeCommand({$case: 'admit', value: {member}}));
    const copy = new FleetStateMachine();
    copy.restore(machine.snapshot());
    expect(copy.catalogInForce.version).toBe(4);
    expect(copy.members).toEqual([member]);
    const gone = {
      service: 's',
      instance: 'm1',
      born: 0,
      stopped: false,
      term: 0,
      offset: 0,
      left: true,
      replaced: false,
      address: '',
    };
    copy.apply(3, encodeCommand({$case: 'forget', value: gone}));
    expect(copy.members).toEqual([]);
  });
});

describe('primary assignments in the control log', () => {
  const assign = (
    machine: FleetStateMachine,
    index: number,
    instance: string,
    ordered: boolean,
    othersEnded = false,
  ) => {
    const log = {leadTerm: 0, term: 0, offset: 0, othersEnded, single: true};
    const value = {service: 's', holder: 'c1', instance, ordered, ...log};
    machine.apply(index, encodeCommand({$case: 'nameLead', value}));
    return machine.assignmentOf('s');
  };

  it('follow the newest decision, whose index is the epoch', () => {
    const machine = new FleetStateMachine();
    expect(assign(machine, 4, 'm1', false)).toMatchObject({epoch: 4});
    expect(assign(machine, 7, 'm2', true)).toMatchObject({
      instance: 'm2',
      epoch: 7,
      pending: true,
    });
    const copy = new FleetStateMachine();
    copy.restore(machine.snapshot());
    expect(copy.assignmentOf('s')).toEqual(machine.assignmentOf('s'));
  });

  it('stay pending until no copy of a request can arrive', () => {
    // A promotion request without a reply may take effect later. If an older
    // request could settle the assignment, another member could be promoted and
    // then deposed by the late copy.
    const machine = new FleetStateMachine();
    assign(machine, 7, 'm2', true);
    expect(assign(machine, 8, 'm2', false)?.pending).toBe(true);
    const settle = {service: 's', epoch: 7};
    machine.apply(9, encodeCommand({$case: 'settleLead', value: settle}));
    expect(machine.assignmentOf('s')?.pending).toBe(true);
    const newest = {service: 's', epoch: 8};
    machine.apply(10, encodeCommand({$case: 'settleLead', value: newest}));
    expect(machine.assignmentOf('s')?.pending).toBe(false);
  });

  it('are answered only as long as no request with a new token follows', () => {
    // Guards against a new leader that takes a request without a reply for one
    // that cannot arrive any more.
    const machine = new FleetStateMachine();
    assign(machine, 7, 'm2', true);
    const record = (index: number, epoch: number) => {
      const value = {service: 's', epoch, answered: true};
      machine.apply(index, encodeCommand({$case: 'recordCopies', value}));
    };
    record(8, 7);
    expect(machine.assignmentOf('s')?.answered).toBe(true);
    expect(assign(machine, 9, 'm2', false)?.answered).toBe(true);
    expect(assign(machine, 10, 'm2', true)?.answered).toBe(false);
    record(11, 7);
    expect(machine.assignmentOf('s')?.answered).toBe(false);
  });

  it('have a single request until a further copy follows', () => {
    // Guards against a new leader that takes the lead of a member for the only
    // copy of its request, while another one may arrive.
    const machine = new FleetStateMachine();
    expect(assign(machine, 7, 'm2', true)?.single).toBe(true);
    const value = {service: 's', epoch: 7, answered: false};
    machine.apply(8, encodeCommand({$case: 'recordCopies', value}));
    expect(machine.assignmentOf('s')).toMatchObject({
      pending: true,
      answered: false,
      single: false,
    });
    expect(assign(machine, 9, 'm2', false)?.single).toBe(false);
  });

  it('are contested while a request for another member may take effect', () => {
    // Guards against a new leader that takes a member which leads already for
    // the outcome of a request that would fence the others.
    const machine = new FleetStateMachine();
    assign(machine, 7, 'm2', true);
    expect(assign(machine, 8, 'm3', true)?.contested).toBe(true);
    expect(assign(machine, 9, 'm3', true)?.contested).toBe(true);
    expect(assign(machine, 10, 'm3', true, true)?.contested).toBe(false);
    expect(assign(machine, 11, 'm2', true, true)?.contested).toBe(false);
    expect(assign(machine, 12, 'm3', true)?.contested).toBe(true);
    const settle = {service: 's', epoch: 12};
    machine.apply(13, encodeCommand({$case: 'settleLead', value: settle}));
    expect(machine.assignmentOf('s')?.contested).toBe(false);
    expect(assign(machine, 14, 'm2', true)?.contested).toBe(false);
  });
});
