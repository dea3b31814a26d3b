import {describe, expect, it} from 'vitest';
import {
  Role,
  type TargetStatus,
} from '../../../../schema/generated/announcement';
import {Phase, type ServiceRecord} from '../../../../schema/generated/control';
import {replicaStatus} from '../../../announcement/test/common/status_fixture';
import {decideFailover} from '../../common/failover';
import type {
  FailoverView,
  ProxyView,
  TargetView,
} from '../../common/failover_view';

function record(parts: Partial<ServiceRecord> = {}): ServiceRecord {
  return {
    name: 's',
    term: 2,
    primary: '',
    phase: Phase.PHASE_CHANGING,
    members: [],
    termStarts: [{term: 1, baseOffset: 0, baseTerm: 0}],
    revision: 1,
    planned: false,
    cause: '',
    primaryIncarnation: '',
    ...parts,
  };
}

function target(
  instance: string,
  status: Partial<TargetStatus>,
  parts: Partial<TargetView> = {},
): TargetView {
  return {
    instance,
    draining: false,
    firstIncarnation: 'first',
    connected: true,
    silentMs: 0,
    upstreamLostMs: 0,
    status: replicaStatus(1, 10, {
      instance,
      replicationAddress: `${instance}:1`,
      incarnation: 'later',
      term: 2,
      ...status,
    }),
    ...parts,
  };
}

function proxy(id: string, parts: Partial<ProxyView> = {}): ProxyView {
  return {
    id,
    attached: true,
    lastGrantedAt: 0,
    returnedBelow: 0,
    highestAcknowledged: undefined,
    unreachableTerm: 0,
    unconfirmedTerm: 0,
    ...parts,
  };
}

function decide(parts: Partial<FailoverView>) {
  return decideFailover({
    record: record(),
    memberCount: 3,
    requiredConfirmations: 1,
    maxSilenceMs: 500,
    maxLeaseMs: 800,
    now: 10_000,
    leaderSince: 0,
    phaseAgeMs: 5_000,
    targets: [],
    proxies: [],
    isForced: false,
    ...parts,
  });
}

const disconnected = (name: string) => target(name, {}, {connected: false});
const steady = () =>
  record({
    term: 1,
    phase: Phase.PHASE_STEADY,
    primary: 'a',
    primaryIncarnation: 'later',
  });
const primary = (parts: Partial<TargetView> = {}) =>
  target('a', {role: Role.ROLE_PRIMARY, term: 1}, parts);
const replica = (name: string) => target(name, {term: 1});

describe('the choice of a primary', () => {
  it('takes the longest log of the members that promised the term', () => {
    const actions = decide({
      targets: [
        disconnected('a'),
        target('b', {received: {term: 1, offset: 10}}),
        target('c', {received: {term: 1, offset: 12}}),
      ],
    });
    expect(actions).toMatchObject([
      {kind: 'closed'},
      {kind: 'complete', primary: 'c', base: {term: 1, offset: 12}},
    ]);
  });

  // Guards against writes that were reported as "not run" and reappear: a has
  // discarded entries of term 1, b caught up with the empty term 2.
  it('takes the member that caught up with the newest term', () => {
    const actions = decide({
      record: record({term: 3}),
      targets: [
        target('a', {term: 3, received: {term: 1, offset: 20}}),
        target('b', {
          term: 3,
          matchedTerm: 2,
          logTerm: 2,
          received: {term: 1, offset: 15},
        }),
        disconnected('c'),
      ],
    });
    expect(actions.at(-1)).toMatchObject({kind: 'complete', primary: 'b'});
  });

  // Guards against losing a write that only the failed primary and b had, after
  // b was restarted without its data.
  it('does not count a member that lost its data and has not caught up', () => {
    const empty = {matchedTerm: 0, logTerm: 0, received: {term: 0, offset: 0}};
    const actions = decide({
      targets: [disconnected('a'), target('b', empty), target('c', {})],
      proxies: [proxy('p')],
    });
    expect(actions.at(-1)).toMatchObject({kind: 'blocked'});
    const [, blocked] = actions;
    expect(blocked).toMatchObject({
      reason:
        '1 of 3 members with their data answered, 2 are needed; ' +
        'bring a member back or force the change',
    });
  });

  it('accepts one member that holds all that any proxy acknowledged', () => {
    const returned = (offset: number) =>
      proxy('p', {
        returnedBelow: 2,
        highestAcknowledged: {term: 1, offset},
      });
    const targets = [disconnected('a'), disconnected('b'), target('c', {})];
    const complete = decide({targets, proxies: [returned(10)]});
    expect(complete.at(-1)).toMatchObject({kind: 'complete', primary: 'c'});
    const lacking = decide({targets, proxies: [returned(11)]});
    expect(lacking.at(-1)).toMatchObject({kind: 'blocked'});
    const forced = decide({targets, proxies: [returned(11)], isForced: true});
    expect(forced.at(-1)).toMatchObject({kind: 'complete', primary: 'c'});
  });

  it('waits until all leases are returned or expired', () => {
    const targets = [disconnected('a'), target('b', {}), target('c', {})];
    const held = [proxy('p', {lastGrantedAt: 9_500})];
    expect(decide({targets, proxies: held})).toEqual([]);
    const expired = [proxy('p', {lastGrantedAt: 9_200})];
    expect(decide({targets, proxies: expired})).toHaveLength(2);
    const newLeader = {leaderSince: 9_900, targets, proxies: expired};
    expect(decide(newLeader)).toEqual([]);
  });
});

describe('the replacement of a primary', () => {
  const replicas = [replica('b'), replica('c')];

  it('does not begin while the primary serves', () => {
    const targets = [primary(), ...replicas];
    expect(decide({record: steady(), targets})).toEqual([]);
  });

  // Guards against a needless interruption when only control cannot reach the
  // primary.
  it('does not begin for one observer with a bad connection', () => {
    const targets = [primary({connected: false}), ...replicas];
    const proxies = [proxy('p1'), proxy('p2'), proxy('p3')];
    expect(decide({record: steady(), targets, proxies})).toEqual([]);
  });

  it('begins for a majority of control and proxies', () => {
    const targets = [primary({silentMs: 600}), ...replicas];
    const report = {unreachableTerm: 1};
    const proxies = [proxy('p1', report), proxy('p2', report), proxy('p3')];
    expect(decide({record: steady(), targets, proxies})).toMatchObject([
      {kind: 'begin', term: 2, planned: false},
    ]);
  });

  // Guards against a change by a new leader that has received no status yet.
  it('does not begin before a new leader could receive a status', () => {
    const unknown = {
      ...disconnected('a'),
      status: undefined,
      silentMs: Infinity,
    };
    const view = {record: steady(), targets: [unknown, ...replicas]};
    expect(decide({...view, leaderSince: 9_900})).toEqual([]);
    expect(decide(view)).toMatchObject([{kind: 'begin'}]);
  });

  // Guards against commits that hang: the primary replies, but no replica is
  // connected to it.
  it('begins once all replicas are disconnected from the primary', () => {
    const lostReplicas = replicas.map(view => ({
      ...view,
      upstreamLostMs: 1_000,
    }));
    const actions = decide({
      record: steady(),
      targets: [primary(), ...lostReplicas],
    });
    expect(actions).toMatchObject([
      {kind: 'begin', cause: 'the primary is cut off from its replicas'},
    ]);
  });

  // Guards against endless changes: replicas that lost the old primary do not
  // follow the new one yet.
  it('does not begin for replicas that do not follow the primary yet', () => {
    const lostReplicas = replicas.map(view => ({
      ...view,
      upstreamLostMs: 1_200,
    }));
    const targets = [primary(), ...lostReplicas];
    const actions = decide({record: steady(), targets, phaseAgeMs: 200});
    expect(actions).toEqual([]);
  });

  it('begins as planned if a drained primary has a successor', () => {
    const targets = [primary({draining: true}), ...replicas];
    expect(decide({record: steady(), targets})).toMatchObject([
      {kind: 'begin', planned: true, cause: 'the primary is drained'},
    ]);
    const alone = [
      primary({draining: true}),
      disconnected('b'),
      disconnected('c'),
    ];
    expect(decide({record: steady(), targets: alone})).toEqual([]);
  });
});
