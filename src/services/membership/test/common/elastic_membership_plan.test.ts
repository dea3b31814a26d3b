import {describe, expect, it} from 'vitest';
import type {Peer} from '../../../../schema/generated/consensus';
import {makeConfiguration} from '../../../consensus/common/configuration';
import {
  planElasticMembership,
  type ElasticMembershipView,
} from '../../common/elastic_membership_plan';

const peer = (id: string, voter = true): Peer => ({
  id,
  address: id.split('#')[0]!,
  voter,
});

const view = (
  peers: Peer[],
  over: Partial<ElasticMembershipView> = {},
): ElasticMembershipView => ({
  configuration: makeConfiguration(peers),
  joiners: [],
  desiredVoterCount: 3,
  replaceSilentAfterMs: 1_000,
  commitIndex: 100,
  matchIndexOf: () => 100,
  silentMsOf: () => 0,
  isLeaving: () => false,
  ...over,
});

const FULL = [peer('a#1'), peer('b#1'), peer('c#1')];

const idsOf = (plan: ReturnType<typeof planElasticMembership>) => {
  return plan?.peers.map(({id, voter}) => `${id}${voter ? '' : ' learns'}`);
};

describe('a control group without a fixed list', () => {
  it('adds a joining instance as a learner', () => {
    const joiners = [{id: 'd#1', address: 'd'}];
    const plan = planElasticMembership(view(FULL, {joiners}));
    expect(idsOf(plan)).toEqual(['a#1', 'b#1', 'c#1', 'd#1 learns']);
  });

  it('replaces no voter that is responsive', () => {
    expect(
      planElasticMembership(view([...FULL, peer('d#1', false)])),
    ).toBeUndefined();
  });

  it('replaces a voter that is silent for long', () => {
    // A machine is lost and an empty one joins at another address. The group
    // must have three voters again before the next loss.
    const silenceOf = (id: string) => (id === 'b#1' ? 1_000 : 0);
    const peers = [...FULL, peer('d#1', false)];
    const first = planElasticMembership(view(peers, {silentMsOf: silenceOf}))!;
    expect(idsOf(first)).toEqual(['a#1', 'b#1 learns', 'c#1', 'd#1']);
    expect(first.outgoingVoters).toEqual(['a#1', 'b#1', 'c#1']);
    const second = planElasticMembership({
      ...view(peers, {silentMsOf: silenceOf}),
      configuration: first,
    })!;
    expect(idsOf(second)).toEqual(['a#1', 'c#1', 'd#1']);
    expect(second.outgoingVoters).toEqual([]);
  });

  it('replaces a voter without its data once a learner caught up', () => {
    const peers = [...FULL, peer('b#2', false)];
    const matchIndexOf = (id: string) => (id === 'b#2' ? 10 : 100);
    expect(planElasticMembership(view(peers, {matchIndexOf}))).toBeUndefined();
    const plan = planElasticMembership(view(peers));
    expect(idsOf(plan)).toEqual(['a#1', 'b#1 learns', 'c#1', 'b#2']);
  });

  // Guards against a leader that was suspended, heard nobody meanwhile and
  // replaces a voter that is up.
  it('replaces nobody while the leader has heard no majority', () => {
    const peers = [...FULL, peer('d#1', false)];
    const silentMsOf = (id: string) => {
      return id === 'b#1' || id === 'c#1' ? 5_000 : 0;
    };
    expect(planElasticMembership(view(peers, {silentMsOf}))).toBeUndefined();
  });

  // Guards against a voter that is replaced by an instance that is down too.
  it('promotes no learner that is silent', () => {
    const silentMsOf = (id: string) => (id === 'd#1' ? 2_000 : 0);
    const learners = [peer('d#1', false), peer('e#1', false)];
    const missing = [peer('a#1'), peer('b#1'), ...learners];
    const plan = planElasticMembership(view(missing, {silentMsOf}));
    expect(idsOf(plan)).toEqual(['a#1', 'b#1', 'd#1 learns', 'e#1']);
    const silent = (id: string) => (/[bd]/.test(id) ? 2_000 : 0);
    const replaced = planElasticMembership(
      view([...FULL, ...learners], {silentMsOf: silent}),
    );
    expect(idsOf(replaced)).toEqual([
      'a#1',
      'b#1 learns',
      'c#1',
      'd#1 learns',
      'e#1',
    ]);
  });

  // Guards against a group that sends heartbeats to ever more addresses where
  // nobody is.
  it('drops a learner that is silent for long', () => {
    const silentMsOf = (id: string) => (id === 'd#1' ? 60_000 : 0);
    const peers = [...FULL, peer('d#1', false), peer('e#1', false)];
    const plan = planElasticMembership(view(peers, {silentMsOf}));
    expect(idsOf(plan)).toEqual(['a#1', 'b#1', 'c#1', 'e#1 learns']);
  });
});
