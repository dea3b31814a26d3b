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
  it('are in force by the highest version', () => {
    const machine = new FleetStateMachine();
    expect(publish(machine, 1, 4, 'four')).toBe('in force');
    expect(publish(machine, 2, 9, 'nine')).toBe('in force');
    expect(publish(machine, 3, 7, 'seven')).toBe('overtaken');
    expect(machine.catalogVersion).toBe(9);
  });

  it('take the first of two operators who send one version', () => {
    // Two operators change the same version at once. The second must hear that
    // it lost, and must never be in force; the first may send its own again.
    const machine = new FleetStateMachine();
    expect(publish(machine, 1, 4, 'mine')).toBe('in force');
    expect(publish(machine, 2, 4, 'yours')).toBe('conflict');
    expect(publish(machine, 3, 4, 'mine')).toBe('repeated');
    expect(machine.catalogSource.toString()).toBe('mine');
  });

  it('and members come back from a snapshot', () => {
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
    expect(copy.catalogVersion).toBe(4);
    expect(copy.members).toEqual([member]);
    const gone = {service: 's', instance: 'm1'};
    copy.apply(3, encodeCommand({$case: 'forget', value: gone}));
    expect(copy.members).toEqual([]);
  });
});

describe('leads in the control log', () => {
  const name = (
    machine: FleetStateMachine,
    index: number,
    instance: string,
    ordered: boolean,
  ) => {
    const value = {service: 's', holder: 'c1', instance, ordered};
    machine.apply(index, encodeCommand({$case: 'nameLead', value}));
    return machine.assignmentOf('s');
  };

  it('are by the newest decision, whose index is the epoch', () => {
    const machine = new FleetStateMachine();
    expect(name(machine, 4, 'm1', false)).toMatchObject({epoch: 4});
    expect(name(machine, 7, 'm2', true)).toMatchObject({
      instance: 'm2',
      epoch: 7,
      pending: true,
    });
    const copy = new FleetStateMachine();
    copy.restore(machine.snapshot());
    expect(copy.assignmentOf('s')).toEqual(machine.assignmentOf('s'));
  });

  it('stay pending until no copy of an order is on its way', () => {
    // An order got no answer and may be carried out seconds later. Control
    // names the same member again meanwhile. Taken for settled, another member
    // could be ordered, and the late copy would depose it.
    const machine = new FleetStateMachine();
    name(machine, 7, 'm2', true);
    expect(name(machine, 8, 'm2', false)?.pending).toBe(true);
    const settle = {service: 's', epoch: 7};
    machine.apply(9, encodeCommand({$case: 'settleLead', value: settle}));
    expect(machine.assignmentOf('s')?.pending).toBe(true);
    const newest = {service: 's', epoch: 8};
    machine.apply(10, encodeCommand({$case: 'settleLead', value: newest}));
    expect(machine.assignmentOf('s')?.pending).toBe(false);
  });
});
