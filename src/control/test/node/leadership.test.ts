import {expect, it} from 'vitest';
import {ManualClock} from '../../../base/common/clock';
import {serviceName} from '../../../base/common/ids';
import {ok} from '../../../base/common/result';
import {Command} from '../../../schema/generated/control';
import type {TargetStatus} from '../../../schema/generated/announcement';
import {ControlMachine} from '../../../services/control_state/common/control_machine';
import {Leadership, type LeadershipDependencies} from '../../node/leadership';

const STATUS = {
  service: 'books',
  instance: 'a',
  site: 'north',
  incarnation: 'a1',
} as TargetStatus;

/** A leadership whose proposals are recorded. */
function makeLeadership() {
  const proposed: (string | undefined)[] = [];
  const node = {
    isLeading: false,
    core: {isConfigurationCommitted: false},
    propose: (command: Buffer) => {
      proposed.push(Command.decode(command).body?.$case);
      return Promise.resolve(ok(proposed.length));
    },
  };
  const system = {silenceMs: 1_000, leaseMs: 500, clockDriftPercent: 1};
  const dependencies = {
    machine: new ControlMachine(),
    directory: {all: () => [{status: STATUS}]},
    node,
    clock: new ManualClock(),
    settings: () => {
      return {system, services: new Map([[serviceName('books'), {}]])};
    },
  } as unknown as LeadershipDependencies;
  return {leadership: new Leadership(dependencies, 0), node, proposed};
}

// Guards against proposals that rest on a state which lacks what earlier
// leaders committed.
it('registers a target once it holds what earlier leaders committed', () => {
  const {leadership, node, proposed} = makeLeadership();
  leadership.onTargetStatus(STATUS);
  expect(proposed).toEqual([]);
  node.isLeading = true;
  leadership.reconcile();
  expect(proposed).toEqual(['registerMember']);
});
