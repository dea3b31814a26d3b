import {describe, expect, it} from 'vitest';
import type {Peer} from '../../../../schema/generated/consensus';
import {
  planMembership,
  type MembershipView,
} from '../../common/membership_plan';

const voter = (id: string): Peer => ({id, address: id, voter: true});
const learner = (id: string): Peer => ({id, address: id, voter: false});

function plan(parts: Partial<MembershipView> & {peers: Peer[]}) {
  const {peers, ...rest} = parts;
  return planMembership({
    configuration: {peers},
    allowedInstances: new Set(['a', 'b', 'c']),
    joiners: [],
    commitIndex: 500,
    matchIndexOf: () => 0,
    ...rest,
  })?.peers;
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

  it('then removes the old voter before it adds the new one', () => {
    const peers = [...group, learner('c#2')];
    const matchIndexOf = () => 500;
    const removed = plan({peers, matchIndexOf});
    expect(removed).toEqual([voter('a#1'), voter('b#1'), learner('c#2')]);
    expect(plan({peers: removed!, matchIndexOf})).toEqual([
      voter('a#1'),
      voter('b#1'),
      voter('c#2'),
    ]);
  });

  it('adds no instance that the settings do not list', () => {
    const stranger = {id: 'x#1', address: 'x'};
    expect(plan({peers: group, joiners: [stranger]})).toBeUndefined();
  });
});
