import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {ok} from '../../../../base/common/result';
import {MonotonicClock} from '../../../../base/node/monotonic_clock';
import {createAbortController} from '../../../../base/node/timers';
import type {
  FleetCommand,
  Member,
  PrimaryAssignment,
} from '../../../../schema/generated/fleet';
import {makeLog} from '../../../gateway/test/node/session_fixture';
import {encodeCommand} from '../../../fleet_state/common/fleet_command';
import {FleetStateMachine} from '../../../fleet_state/common/fleet_state_machine';
import {LogBaselines} from '../../../fleet_state/common/log_baselines';
import {MemberMonitor} from '../../node/member_monitor';
import type {AssignmentDecision} from '../../node/promotion_dependencies';
import {PromotionDriver} from '../../node/promotion_driver';
import {SimulatedGroup} from './simulated_group';

/** Runs the driver of one service with three members for one leadership. */
class Leadership {
  readonly group = new SimulatedGroup(['a', 'b', 'c']);
  readonly stop = createAbortController();
  readonly clock = new MonotonicClock();
  readonly logger = makeLog();
  private readonly machine = new FleetStateMachine();
  private lastIndex = 0;
  baseline = new LogBaselines().of('books');
  isConfirmed = true;
  isFenced = true;
  /** Called while a majority confirms leadership. */
  onConfirm = () => {};
  isRevoked = false;
  reportCount = 0;
  leaseHolders: string[] = [];
  readonly promoted: string[] = [];
  private readonly monitors = new Map<string, MemberMonitor>();

  constructor() {
    this.decide('a', {isPending: false});
  }

  get assignment(): PrimaryAssignment {
    return this.machine.assignmentOf('books')!;
  }

  /** Writes an assignment to the control log; returns its index. */
  decide(instance: string, decision: Partial<AssignmentDecision>): number {
    const {isPending, haveOthersEnded = true, isSingle = false} = decision;
    const log = {leadTerm: 0, term: 0, offset: 0};
    const others = {othersEnded: haveOthersEnded, single: isSingle};
    const requests = {ordered: !!isPending, ...others};
    const value = {service: 'books', holder: 'c', instance, ...requests};
    return this.apply({$case: 'nameLead', value: {...value, ...log}});
  }

  private apply(body: NonNullable<FleetCommand['body']>): number {
    this.machine.apply(++this.lastIndex, encodeCommand(body));
    return this.lastIndex;
  }

  start(): PromotionDriver {
    this.group.member('a').isPrimary = true;
    const driver = new PromotionDriver({
      service: 'books',
      holder: 'control-1',
      clock: this.clock,
      log: this.logger.log,
      access: {
        authority: {
          prepare: () => {},
          promote: ({instance}) => {
            this.promoted.push(instance);
            this.group.member(instance).isPrimary = true;
            return Promise.resolve({outcome: 'accepted', status: 200});
          },
        },
        isFenced: this.isFenced,
        clock: this.clock,
      },
      members: () => this.group.members.map(({record}) => record),
      isUncertain: () => false,
      isStopped: () => false,
      baseline: () => this.baseline,
      confirmations: () => 1,
      claimedPrimary: () => undefined,
      assignment: () => this.assignment,
      monitorOf: member => this.monitorOf(member),
      leadershipEndOf: () => undefined,
      failureReportsOf: () => {
        const {reportCount} = this;
        return {proxyCount: 4, reportCount, reportedMs: 0};
      },
      revokeLeases: () => {
        this.isRevoked = true;
        this.reportCount = 0;
      },
      isRevoked: () => this.isRevoked,
      leaseHolders: () => this.leaseHolders,
      confirmLeadership: () => {
        this.onConfirm();
        return Promise.resolve(this.isConfirmed);
      },
      assignPrimary: (instance, decision) => {
        return Promise.resolve(ok(this.decide(instance, decision)));
      },
      recordCopies: (epoch, state) => {
        const value = {service: 'books', epoch, answered: state === 'answered'};
        this.apply({$case: 'recordCopies', value});
        return Promise.resolve(true);
      },
      completePromotion: epoch => {
        const value = {service: 'books', epoch};
        this.apply({$case: 'settleLead', value});
        return Promise.resolve(true);
      },
      onDidPromote: () => {
        this.isRevoked = false;
      },
    });
    void driver.start(this.stop.signal);
    return driver;
  }

  private monitorOf(member: Member): MemberMonitor {
    const {instance} = member;
    const known = this.monitors.get(instance);
    if (known) return known;
    const {group, clock, stop} = this;
    const watch = new MemberMonitor(member, group, group, clock, stop.signal);
    this.monitors.set(instance, watch);
    return watch;
  }
}

let leadership: Leadership;

beforeEach(() => {
  leadership = new Leadership();
  leadership.start();
});

afterEach(() => leadership.stop.abort());

const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

async function until(condition: () => boolean): Promise<void> {
  for (let tries = 0; tries < 500 && !condition(); tries++) await pause(10);
  expect(condition()).toBe(true);
}

describe('PromotionDriver', () => {
  it('compares logs again if a replica joined meanwhile', async () => {
    // Guards against a commit that only a replica confirmed which was not
    // stopped before the others were compared.
    const {group} = leadership;
    await pause(800);
    leadership.reportCount = 4;
    group.member('b').onNextCommand = () => {
      group.add('d').position = {term: 1, offset: 20};
    };
    group.member('a').isSilent = true;
    await until(() => leadership.promoted.length > 0);
    expect(leadership.promoted).toEqual(['d']);
    expect(group.member('d').commands).toContain('pause');
  });

  it('pauses no replica before a majority confirms leadership', async () => {
    // Guards against a suspended control leader that finds all primaries silent
    // and pauses replicas, which the next leader would not resume.
    const {group} = leadership;
    await pause(800);
    leadership.isConfirmed = false;
    leadership.reportCount = 4;
    group.member('a').isSilent = true;
    await pause(1_600);
    expect(group.member('b').commands).not.toContain('pause');
    expect(leadership.isRevoked).toBe(false);
    leadership.isConfirmed = true;
    await until(() => leadership.promoted.length > 0);
    expect(group.member('b').commands).toContain('pause');
  });

  it('retries the search when a replica did not reply at first', async () => {
    // Guards against a service without a primary: after the first search the
    // leases are revoked, and proxies send no more failure reports.
    const {group} = leadership;
    await pause(800);
    leadership.reportCount = 4;
    group.member('a').isSilent = true;
    group.member('c').isSilent = true;
    await until(() => leadership.isRevoked);
    await pause(300);
    expect(leadership.promoted).toEqual([]);
    group.member('c').isSilent = false;
    await until(() => leadership.promoted.length > 0);
  });

  it('stops a member that joined while it waited for leases', async () => {
    // Guards against losing a commit that only this member confirmed, for an old
    // primary that control cannot reach.
    const {group} = leadership;
    await pause(800);
    leadership.leaseHolders = ['proxy-1'];
    leadership.reportCount = 4;
    group.member('a').isSilent = true;
    await until(() => group.member('b').commands.includes('pause'));
    const joined = group.add('d');
    joined.position = {term: 1, offset: 11};
    leadership.leaseHolders = [];
    await until(() => leadership.promoted.length > 0);
    expect(joined.commands).toContain('pause');
    expect(leadership.promoted).toEqual(['d']);
  });

  it('stops a member that joined as the last lease ended', async () => {
    // Guards against a comparison that began while commits could be
    // acknowledged, since the leases ended before it was over.
    const {group} = leadership;
    const b = group.member('b');
    await pause(800);
    leadership.leaseHolders = ['proxy-1'];
    leadership.reportCount = 4;
    const run = b.run.bind(b);
    b.run = statement => {
      const isFirst = !group.members.some(({instance}) => instance === 'd');
      if (statement.kind === 'pause' && isFirst) {
        group.add('d').position = {term: 1, offset: 11};
        leadership.leaseHolders = [];
      }
      return run(statement);
    };
    group.member('a').isSilent = true;
    await until(() => leadership.promoted.length > 0);
    expect(group.member('d').commands).toContain('pause');
    expect(leadership.promoted).toEqual(['d']);
  });
});

describe('lines and measures of PromotionDriver', () => {
  const linesWith = (sentence: string) => {
    return leadership.logger.lines.filter(line => line.startsWith(sentence));
  };

  it('shows an inherited request that holds up a promotion', async () => {
    // Guards against a service that waits for the request of an earlier leader
    // and looks like one whose members do not reply.
    leadership.stop.abort();
    leadership = new Leadership();
    leadership.isFenced = false;
    leadership.decide('b', {isPending: true});
    leadership.group.member('b').isSilent = true;
    const driver = leadership.start();
    await until(() => driver.mayTakeEffect);
    const [inherited, ...others] = linesWith('Inherited a pending promotion.');
    expect(others).toEqual([]);
    expect(inherited).toMatch(
      /"instance":"b","token":2,"pending":true,"answered":false,"contested":false,"single":false,"isFenced":false,"mayTakeEffectMs":14\d{3}}/,
    );
    expect(driver.heldMs).toBe(0);
    await until(() => driver.heldMs > 0);
    expect(leadership.promoted).toEqual([]);
  });

  it('drops a decision on an assignment that changed meanwhile', async () => {
    // Guards against a decision on an old assignment, which would not see that
    // a request of a newer one is under way.
    const current = leadership;
    await pause(800);
    leadership.onConfirm = () => {
      current.decide('b', {isPending: true});
      current.onConfirm = () => {};
    };
    leadership.reportCount = 4;
    leadership.group.member('a').isSilent = true;
    await until(() => linesWith('The assignment changed').length > 0);
    expect(linesWith('The assignment changed')[0]).toBe(
      'The assignment changed before it was confirmed. {"service":"books",' +
        '"before":"a","beforeToken":1,"beforePending":false,' +
        '"instance":"b","token":2,"pending":true}',
    );
    expect(leadership.group.member('c').commands).not.toContain('pause');
  });

  it('names the replaced assignment, the request and its settlement', async () => {
    // Guards against tokens whose order cannot be told from the lines.
    await pause(800);
    leadership.reportCount = 4;
    leadership.group.member('a').isSilent = true;
    await until(() => linesWith('Settled a promotion.').length > 0);
    expect(linesWith('Promoting a member.')[0]).toMatch(
      /"token":2,"before":"a","beforeToken":1,"beforePending":false,"confirmedAgeMs":\d/,
    );
    expect(linesWith('Requested a promotion.')[0]).toMatch(
      /"holder":"control-1","token":2,"copy":1,"outcome":"accepted","status":200/,
    );
    await pause(500);
    expect(linesWith('Settled a promotion.')).toHaveLength(1);
    expect(leadership.assignment.pending).toBe(false);
  });
});
