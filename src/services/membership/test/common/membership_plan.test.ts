import {describe, expect, it} from 'vitest';
import type {Peer} from '../../../../schema/generated/consensus';
import {makeConfiguration} from '../../../consensus/common/configuration';
import {
  planMembership,
  type MembershipView,
} from '../../common/membership_plan';

const voter = (id: string): Peer => ({id, address: id, voter: true});
const learner = (id: string): Peer => ({id, address: id, voter: false});

type ViewParts = Partial<MembershipView> & {peers?: Peer[]};

function planNext({peers = [], ...rest}: ViewParts) {
  return planMembership({
    configuration: makeConfiguration(peers),
    allowedInstances: new Set(['a', 'b', 'c']),
    joiners: [],
    commitIndex: 500,
    matchIndexOf: () => 0,
    ...rest,
  });
}

function plan(parts: ViewParts) {
  return planNext(parts)?.peers;
}

describe('repair of the control group', () => {
  const group = [voter('a#1'), voter('b#1'), voter('c#1')];
  const joiner = {id: 'c#2', address: 'c#2'};

  it('adds an instance with a new data folder as a learner', () => {
    const next = plan({peers: group, joiners: [joiner]});
    expect(next).toEqual([...group, learner('c#2')]);
  });

  // Instance c lost its disk and returns empty; then b is lost. If c were a
  // voter at once, a and c would be a majority of which one has no log.
  it('keeps it a learner until it has caught up', () => {
    const peers = [...group, learner('c#2')];
    const matchIndexOf = () => 400;
    expect(plan({peers, joiners: [joiner], matchIndexOf})).toBeUndefined();
  });

  it('then replaces the old voter by it in one joint change', () => {
    const peers = [...group, learner('c#2')];
    const matchIndexOf = () => 500;
    const joint = planNext({peers, matchIndexOf})!;
    expect(joint).toEqual({
      peers: [voter('a#1'), voter('b#1'), learner('c#1'), voter('c#2')],
      outgoingVoters: ['a#1', 'b#1', 'c#1'],
    });
    expect(planNext({configuration: joint, matchIndexOf})).toEqual(
      makeConfiguration([voter('a#1'), voter('b#1'), voter('c#2')]),
    );
  });

  it('adds no instance that the settings do not list', () => {
    const stranger = {id: 'x#1', address: 'x'};
    expect(plan({peers: group, joiners: [stranger]})).toBeUndefined();
  });
});
