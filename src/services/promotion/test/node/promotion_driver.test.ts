import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {ok} from '../../../../base/common/outcome';
import {MonotonicClock} from '../../../../base/node/monotonic_clock';
import {ownController} from '../../../../base/node/timers';
import type {
  Member,
  PrimaryAssignment,
} from '../../../../schema/generated/fleet';
import {makeLog} from '../../../gateway/test/node/session_fixture';
import {MemberMonitor} from '../../node/member_monitor';
import {PromotionDriver} from '../../node/promotion_driver';
import {OrderedGroup} from './ordered_group';

/** One leadership of control before one service with three members. */
class Leadership {
  readonly group = new OrderedGroup(['a', 'b', 'c']);
  readonly stop = ownController();
  readonly clock = new MonotonicClock();
  readonly logged = makeLog();
  lead: PrimaryAssignment = {
    service: 'books',
    instance: 'a',
    epoch: 1,
    pending: false,
  };
  isConfirmed = true;
  isRevoked = false;
  complaints = 0;
  readonly promoted: string[] = [];
  private readonly watches = new Map<string, MemberMonitor>();

  start(): void {
    this.group.member('a').isPrimary = true;
    const driver = new PromotionDriver({
      service: 'books',
      holder: 'control-1',
      clock: this.clock,
      log: this.logged.log,
      access: {
        authority: {
          promote: ({instance}) => {
            this.promoted.push(instance);
            this.group.member(instance).isPrimary = true;
            return Promise.resolve('accepted');
          },
        },
        isFenced: true,
        clock: this.clock,
      },
      members: () => this.group.members.map(({record}) => record),
      claimedPrimary: () => undefined,
      assignment: () => this.lead,
      monitorOf: member => this.watchOf(member),
      failureReportsOf: () => {
        const {complaints} = this;
        return {proxies: 4, complaints, complainedMs: 0};
      },
      revokeLeases: () => {
        this.isRevoked = true;
        this.complaints = 0;
      },
      isRevoked: () => this.isRevoked,
      leaseHolders: () => [],
      confirmLeadership: () => Promise.resolve(this.isConfirmed),
      assignPrimary: (instance, ordered) => {
        const epoch = this.lead.epoch + 1;
        this.lead = {service: 'books', instance, epoch, pending: ordered};
        return Promise.resolve(ok(epoch));
      },
      completePromotion: () => Promise.resolve(true),
      onDidPromote: () => {
        this.isRevoked = false;
      },
    });
    void driver.start(this.stop.signal);
  }

  private watchOf(member: Member): MemberMonitor {
    const {instance} = member;
    const known = this.watches.get(instance);
    if (known) return known;
    const {group, clock, stop} = this;
    const watch = new MemberMonitor(member, group, group, clock, stop.signal);
    this.watches.set(instance, watch);
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

async function until(holds: () => boolean): Promise<void> {
  for (let looks = 0; looks < 500 && !holds(); looks++) await pause(10);
  expect(holds()).toBe(true);
}

describe('the promotions of a service', () => {
  it('stop no replica unless control proves that it leads', async () => {
    // The leader of control froze for 6 s, and another one was elected. When
    // it woke it saw every primary silent, and told replicas of all services to
    // stop receiving before it heard that it was deposed. The new leader knew
    // nothing of that: replicas of healthy services fell behind for good, and
    // their reads were refused for the rest of the day.
    const {group} = leadership;
    await pause(800);
    leadership.isConfirmed = false;
    leadership.complaints = 4;
    group.member('a').isSilent = true;
    await pause(1_600);
    expect(group.member('b').orders).not.toContain('pause');
    expect(leadership.isRevoked).toBe(false);
    leadership.isConfirmed = true;
    await until(() => leadership.promoted.length > 0);
    expect(group.member('b').orders).toContain('pause');
  });

  it('are tried again where a replica did not answer at first', async () => {
    // The primary is cut off, and one replica has no room for control's order.
    // The proxies, told to rely on nobody, complain no more. Control searched
    // once and never again, and nobody led until the cut healed.
    const {group} = leadership;
    await pause(800);
    leadership.complaints = 4;
    group.member('a').isSilent = true;
    group.member('c').isSilent = true;
    await until(() => leadership.isRevoked);
    await pause(300);
    expect(leadership.promoted).toEqual([]);
    group.member('c').isSilent = false;
    await until(() => leadership.promoted.length > 0);
  });
});
