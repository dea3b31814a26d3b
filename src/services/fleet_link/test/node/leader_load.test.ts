import {afterEach, expect, it, vi} from 'vitest';
import {ManualClock} from '../../../../base/common/clock';
import {encodeBytes} from '../../../../base/node/message_frames';
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

/** The link of one proxy, which counts what the leader sends. */
class CountingLink {
  bytes = 0;
  messages = 0;
  /** Number of answered renewal requests. */
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

  renewLeases(number: number): void {
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
    this.writeFrame(encodeBytes(LeaderMessage.encode(message).finish()));
  }

  writeFrame(frame: Uint8Array): void {
    this.bytes += frame.length;
    this.messages++;
  }

  endAfterFlush(): void {}
}

const NO_COUNTERS: readonly CounterEntry[] = [];

/** A control leader with many members, without a network. */
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
        controlAddresses: () => [],
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

  /** Adds a member. */
  announce(member: Member): void {
    this.members = [...this.members, member];
    this.revision++;
    this.leader.schedulePush();
  }

  /** Advances a second with four regular updates. */
  passSecond(): void {
    for (let update = 0; update < 4; update++) {
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

it('sends little to a proxy while others restart', () => {
  // Load: 1,000 members and 300 proxies, of which one restarts each second.
  // Sending all members with each proxy count would fill the links.
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

it('batches the members of a fleet that starts', async () => {
  // Load: 300 members announce themselves in a short time to a leader with 100
  // proxies. An update for each would wake up every proxy each time.
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

it('answers 300 proxies with ten confirmations a second', async () => {
  // Each proxy renews its leases at a different moment, and a confirmation is a
  // round of messages in the control group. Renewals between two confirmations
  // must not be lost, or leases expire.
  vi.useFakeTimers({toFake: ['setTimeout', 'clearTimeout']});
  const fleet = new Fleet([]);
  const links = Array.from({length: 300}, (...[, at]) => fleet.join(`p${at}`));
  const renewalCount = 10;
  for (let now = 0; now < renewalCount * 400; now++) {
    const renewing = links.filter((...[, at]) => now % 400 === at);
    for (const link of renewing) link.renewLeases(Math.floor(now / 400) + 1);
    fleet.clock.advance(1);
    await vi.advanceTimersByTimeAsync(1);
  }
  await vi.advanceTimersByTimeAsync(100);
  expect(fleet.confirmations).toBeLessThanOrEqual(41);
  expect(links.every(({renewals}) => renewals === renewalCount)).toBe(true);
  expect(vi.getTimerCount()).toBe(0);
});
