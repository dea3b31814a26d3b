import {afterEach, expect, it, vi} from 'vitest';
import {ManualClock} from '../../../../base/common/clock';
import {frameOf} from '../../../../base/node/message_frames';
import type {LinkListener} from '../../../../base/node/message_link';
import type {MessageServer} from '../../../../base/node/message_server';
import {
  LeaderMessage,
  type CounterEntry,
  type FollowerMessage,
  type Member,
} from '../../../../schema/generated/fleet';
import {
  makeCatalog,
  makeLog,
  makeRoute,
} from '../../../gateway/test/node/session_fixture';
import {FakeAllocator} from '../../../account/test/common/permit_counting_fakes';
import {PublishedPrimaries} from '../../../lease/common/published_primaries';
import {LeaseHolders} from '../../../lease/common/lease_holders';
import {ConnectionAllocator} from '../../../connection_quota/common/connection_allocator';
import {FleetLeader} from '../../node/fleet_leader';

/** One proxy's link to the leader, which counts what it is sent. */
class CountingLink {
  bytes = 0;
  messages = 0;
  /** Questions for leases that were answered. */
  renewals = 0;
  private listener: LinkListener<FollowerMessage> | undefined;

  constructor(private readonly instance: string) {}

  start(listener: LinkListener<FollowerMessage>): void {
    this.listener = listener;
  }

  hello(): void {
    const {instance} = this;
    const value = {
      instance,
      site: 'a',
      catalogVersion: 1,
      address: instance,
      shares: [],
      counterIdleMs: 0,
      capacityCores: 0,
      capacityLinkMbps: 0,
    };
    this.listener?.onDidReceive({body: {$case: 'hello', value}});
  }

  askForLeases(number: number): void {
    const value = {
      number,
      uses: [],
      sharesNumber: 0,
      connections: [],
      grantsNumber: 0,
    };
    this.listener?.onDidReceive({body: {$case: 'renew', value}});
  }

  lose(): void {
    this.listener?.onDidEnd('restarted');
  }

  write(message: LeaderMessage): void {
    if (message.body?.$case === 'renewed') this.renewals++;
    this.writeFrame(frameOf(LeaderMessage.encode(message).finish()));
  }

  writeFrame(frame: Uint8Array): void {
    this.bytes += frame.length;
    this.messages++;
  }

  finish(): void {}
}

const NO_COUNTERS: readonly CounterEntry[] = [];

/** A leader of control with many members and no network. */
class Fleet {
  readonly clock = new ManualClock();
  confirmations = 0;
  private revision = 1;
  private accept: (link: CountingLink) => void = () => {};
  private readonly leader: FleetLeader;

  constructor(private members: readonly Member[]) {
    const board = new PublishedPrimaries();
    const holders = new LeaseHolders(-Infinity);
    const allocator = new FakeAllocator();
    const room = new ConnectionAllocator(0);
    const catalog = makeCatalog([makeRoute()]);
    this.leader = new FleetLeader(
      {
        isLeading: () => true,
        leaderAddress: () => '',
        ownAddress: () => 'own',
        catalog: () => catalog,
        members: () => this.members,
        membersRevision: () => this.revision,
        poolers: () => [],
        poolersRevision: () => 1,
        expectedProxyCount: () => 0,
        publishedPrimaries: () => board,
        holders: () => holders,
        counters: () => NO_COUNTERS,
        shares: () => allocator,
        connectionAllocator: () => room,
        confirm: () => {
          this.confirmations++;
          return Promise.resolve(true);
        },
      },
      this.clock,
      makeLog().log,
    );
    const server = {
      serve: (...[, onLink]: [unknown, (link: CountingLink) => void]) => {
        this.accept = onLink;
      },
    };
    this.leader.serve(server as unknown as MessageServer);
  }

  join(instance: string): CountingLink {
    const link = new CountingLink(instance);
    this.accept(link);
    link.hello();
    return link;
  }

  /** A member is heard of for the first time. */
  announce(member: Member): void {
    this.members = [...this.members, member];
    this.revision++;
    this.leader.schedulePush();
  }

  /** A second in which the leader looks four times for what is new. */
  passSecond(): void {
    for (let look = 0; look < 4; look++) {
      this.clock.advance(250);
      this.leader.push();
    }
  }
}

function makeMembers(count: number): Member[] {
  return Array.from({length: count}, (...[, at]) => ({
    instance: `i-${String(at).padStart(10, '0')}`,
    service: `accounts-${at % 340}`,
    address: `10.128.0.${at % 250}:8080`,
    site: 'hobart-a',
    slots: 3,
    draining: false,
    born: 1_700_000_000_000,
    recovering: false,
    role: 2,
  }));
}

afterEach(() => vi.useRealTimers());

it('costs a proxy next to nothing that others are restarted', () => {
  // Load: 300 proxies before 1,000 members, and one proxy that is restarted
  // each second, as when machines are stopped in turn. Their number went to all
  // of them together with all members: 75 KB a second each, and 22 MB a second
  // of the leader. The aim is 4 KB a second for all of control.
  const fleet = new Fleet(makeMembers(1_000));
  const links = Array.from({length: 300}, (...[, at]) => fleet.join(`p${at}`));
  fleet.passSecond();
  const [watched] = links;
  const before = watched!.bytes;
  for (let second = 1; second <= 20; second++) {
    links[second]!.lose();
    fleet.passSecond();
    links[second] = fleet.join(`p${second}`);
  }
  const perSecond = (watched!.bytes - before) / 20;
  expect(perSecond).toBeLessThan(200);
});

it('tells of the members of a fleet that starts in few messages', async () => {
  // Load: 300 members announce themselves within their first heartbeats, 1.2 s,
  // to a leader with 100 proxies. Told of each of them apart, every proxy wakes
  // up 300 times, and control writes 30,000 messages, while all start.
  vi.useFakeTimers({toFake: ['setTimeout', 'clearTimeout']});
  const fleet = new Fleet([]);
  const links = Array.from({length: 100}, (...[, at]) => fleet.join(`p${at}`));
  const before = links[0]!.messages;
  for (const member of makeMembers(300)) {
    fleet.announce(member);
    fleet.clock.advance(4);
    await vi.advanceTimersByTimeAsync(4);
  }
  await vi.advanceTimersByTimeAsync(100);
  const messages = links[0]!.messages - before;
  expect(messages).toBeLessThanOrEqual(26);
  expect(messages).toBeGreaterThanOrEqual(20);
});

it('answers the questions of 300 proxies with ten confirmations a second', async () => {
  // Each of 300 proxies asks for leases each 400 ms, at a moment of its own. A
  // confirmation is a round of messages among the control instances; a leader
  // that looks for questions at its own pace wakes up for nothing, one that
  // forgets those in between lets leases run out.
  vi.useFakeTimers({toFake: ['setTimeout', 'clearTimeout']});
  const fleet = new Fleet([]);
  const links = Array.from({length: 300}, (...[, at]) => fleet.join(`p${at}`));
  const asked = 10;
  for (let now = 0; now < asked * 400; now++) {
    const asking = links.filter((...[, at]) => now % 400 === at);
    for (const link of asking) link.askForLeases(Math.floor(now / 400) + 1);
    fleet.clock.advance(1);
    await vi.advanceTimersByTimeAsync(1);
  }
  await vi.advanceTimersByTimeAsync(100);
  expect(fleet.confirmations).toBeLessThanOrEqual(41);
  expect(links.every(({renewals}) => renewals === asked)).toBe(true);
  expect(vi.getTimerCount()).toBe(0);
});
