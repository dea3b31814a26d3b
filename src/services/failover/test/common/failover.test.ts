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

const dead = (name: string) => target(name, {}, {connected: false});
const steady = () =>
  record({
    term: 1,
    phase: Phase.PHASE_STEADY,
    primary: 'a',
    primaryIncarnation: 'later',
  });
const leading = (parts: Partial<TargetView> = {}) =>
  target('a', {role: Role.ROLE_PRIMARY, term: 1}, parts);
const following = (name: string) => target(name, {term: 1});

describe('the choice of a primary', () => {
  it('takes the longest log among members that promised the term', () => {
    const actions = decide({
      targets: [
        dead('a'),
        target('b', {received: {term: 1, offset: 10}}),
        target('c', {received: {term: 1, offset: 12}}),
      ],
    });
    expect(actions).toMatchObject([
      {kind: 'closed'},
      {kind: 'complete', primary: 'c', base: {term: 1, offset: 12}},
    ]);
  });

  // a led term 1 and holds writes that nobody acknowledged; b caught up with
  // term 2, which wrote nothing. Taking a would bring back what was called
  // "not run".
  it('takes the one that caught up with the newest term', () => {
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
        dead('c'),
      ],
    });
    expect(actions.at(-1)).toMatchObject({kind: 'complete', primary: 'b'});
  });

  // b confirmed a lodgement, lost its disk and came back empty; then the
  // primary died. c alone never had the lodgement.
  it('does not count a member that lost its data and has not caught up', () => {
    const empty = {matchedTerm: 0, logTerm: 0, received: {term: 0, offset: 0}};
    const actions = decide({
      targets: [dead('a'), target('b', empty), target('c', {})],
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

  it('is content with one that holds all that any proxy acknowledged', () => {
    const handedBack = (offset: number) =>
      proxy('p', {
        returnedBelow: 2,
        highestAcknowledged: {term: 1, offset},
      });
    const targets = [dead('a'), dead('b'), target('c', {})];
    const enough = decide({targets, proxies: [handedBack(10)]});
    expect(enough.at(-1)).toMatchObject({kind: 'complete', primary: 'c'});
    const lacking = decide({targets, proxies: [handedBack(11)]});
    expect(lacking.at(-1)).toMatchObject({kind: 'blocked'});
    const forced = decide({targets, proxies: [handedBack(11)], isForced: true});
    expect(forced.at(-1)).toMatchObject({kind: 'complete', primary: 'c'});
  });

  it('waits for leases: handed back, run out, or an earlier leader’s', () => {
    const targets = [dead('a'), target('b', {}), target('c', {})];
    const held = [proxy('p', {lastGrantedAt: 9_500})];
    expect(decide({targets, proxies: held})).toEqual([]);
    const ranOut = [proxy('p', {lastGrantedAt: 9_200})];
    expect(decide({targets, proxies: ranOut})).toHaveLength(2);
    const newLeader = {leaderSince: 9_900, targets, proxies: ranOut};
    expect(decide(newLeader)).toEqual([]);
  });
});

describe('when a primary is replaced', () => {
  const replicas = [following('b'), following('c')];

  it('is left alone while it serves', () => {
    const targets = [leading(), ...replicas];
    expect(decide({record: steady(), targets})).toEqual([]);
  });

  // The link between control and the primary's site fails. Every proxy still
  // reaches the primary: a change would cost a gap and win nothing.
  it('is not, for one observer with a bad link', () => {
    const targets = [leading({connected: false}), ...replicas];
    const proxies = [proxy('p1'), proxy('p2'), proxy('p3')];
    expect(decide({record: steady(), targets, proxies})).toEqual([]);
  });

  it('is, for a majority of control and proxies', () => {
    const targets = [leading({silentMs: 600}), ...replicas];
    const lost = {unreachableTerm: 1};
    const proxies = [proxy('p1', lost), proxy('p2', lost), proxy('p3')];
    expect(decide({record: steady(), targets, proxies})).toMatchObject([
      {kind: 'begin', term: 2, planned: false},
    ]);
  });

  // Control was restarted a moment ago and has heard of nobody yet.
  it('is not, by a leader that has just begun', () => {
    const unseen = {...dead('a'), status: undefined, silentMs: Infinity};
    const view = {record: steady(), targets: [unseen, ...replicas]};
    expect(decide({...view, leaderSince: 9_900})).toEqual([]);
    expect(decide(view)).toMatchObject([{kind: 'begin'}]);
  });

  // Callers' commits hang: the primary answers, but no replica hears it.
  it('is, once all replicas miss it', () => {
    const cut = replicas.map(view => ({...view, upstreamLostMs: 1_000}));
    const actions = decide({record: steady(), targets: [leading(), ...cut]});
    expect(actions).toMatchObject([
      {kind: 'begin', cause: 'the primary is cut off from its replicas'},
    ]);
  });

  // The old primary died a second ago and its replicas miss it since. Blaming
  // the new one, chosen just now, would replace primaries without end.
  it('is not, by replicas that have not been told of it yet', () => {
    const cut = replicas.map(view => ({...view, upstreamLostMs: 1_200}));
    const targets = [leading(), ...cut];
    const actions = decide({record: steady(), targets, phaseAgeMs: 200});
    expect(actions).toEqual([]);
  });

  it('is, as planned, when it is drained and has an heir', () => {
    const targets = [leading({draining: true}), ...replicas];
    expect(decide({record: steady(), targets})).toMatchObject([
      {kind: 'begin', planned: true, cause: 'the primary is drained'},
    ]);
    const alone = [leading({draining: true}), dead('b'), dead('c')];
    expect(decide({record: steady(), targets: alone})).toEqual([]);
  });
});
