import type {Clock} from '../../../base/common/clock';
import type {Log} from '../../../base/node/log';
import type {MessageLink} from '../../../base/node/message_link';
import type {MessageServer} from '../../../base/node/message_server';
import {after, every} from '../../../base/node/timers';
import type {PublishedPrimaries} from '../../lease/common/published_primaries';
import type {LeaseHolders} from '../../lease/common/lease_holders';
import {CatalogFrames} from './catalog_frames';
import {
  CounterSession,
  logLimitChanges,
  type CounterSource,
} from './counter_session';
import {FLEET_PROTOCOL} from './fleet_protocol';
import {MEMBER_COMPARER, POOLER_COMPARER} from '../common/fleet_lists';
import {
  capacityOf,
  UNKNOWN_CAPACITY,
  type InstanceCapacity,
} from '../../connection_quota/common/capacity';
import type {ConnectionAllocator} from '../../connection_quota/common/connection_allocator';
import {ListFrames} from './list_frames';
import type {
  Catalog,
  FollowerMessage,
  LeaderMessage,
  Member,
  PoolerEntry,
  PrimaryReport,
} from '../../../schema/generated/fleet';

type Link = MessageLink<LeaderMessage, FollowerMessage>;

interface Follower {
  readonly link: Link;
  instance: string;
  site: string;
  address: string;
  capacity: InstanceCapacity;
  poolersRevision: number;
  /** The number of proxies that it was told; undefined before. */
  toldProxies: number | undefined;
  leadsRevision: number;
  /** Its newest question for leases that was not answered; 0 for none. */
  renewal: number;
  catalogVersion: number;
  membersRevision: number;
  readonly complaints: Map<string, PrimaryReport>;
  readonly counting: CounterSession;
}

/** What the leader tells its proxies from. */
export interface FleetSource extends CounterSource {
  /** Whether this instance leads and knows all that was committed. */
  isLeading(): boolean;
  leaderAddress(): string;
  /** Where proxies reach this instance itself. */
  ownAddress(): string;
  catalog(): Catalog | undefined;
  members(): readonly Member[];
  membersRevision(): number;
  poolers(): readonly PoolerEntry[];
  poolersRevision(): number;
  /** How many proxies there usually are; 0 where that is not known. */
  expectedProxyCount(): number;
  publishedPrimaries(): PublishedPrimaries;
  holders(): LeaseHolders;
  /** Who may open how many connections, in this leadership. */
  connectionAllocator(): ConnectionAllocator;
  /** Proves by a majority that this instance led after the call. */
  confirm(): Promise<boolean>;
}

/**
 * Changes reach proxies within this and a way, in milliseconds. A storm of
 * changes thus costs each proxy at most four catalogs a second, against some
 * seconds in which a change has to be in force.
 */
const PUSH_MS = 250;
/**
 * News of members go out this far apart at least, in milliseconds: while a
 * fleet starts they come by the hundred, and each message wakes up all proxies.
 */
const LEAST_PUSH_MS = 50;
/**
 * Questions for leases that come within this share one confirmation, in ms: as
 * often as the control group's own heartbeats, so that it costs none besides.
 */
const CONFIRM_EVERY_MS = 100;
/** Proxies hear of their number within this, in milliseconds. */
const COUNT_EVERY_MS = 1_000;

/** Control's side of the exchange with proxies. */
export class FleetLeader {
  private readonly followers = new Set<Follower>();
  private readonly catalogMessages = new CatalogFrames();
  private members = makeMemberFrames();
  private poolers = makePoolerFrames();
  private proxies = 0;
  /** Undefined before this leadership's first look. */
  private countedAt: number | undefined;
  private signal = new AbortController().signal;
  private pushedAt = -Infinity;
  private isPushDue = false;
  private confirming = false;
  /** Questions for leases that came too early are looked at again then. */
  private isRenewalDue = false;
  private confirmedAt = -Infinity;
  /** Since when at least half of the proxies complain, by member. */
  private readonly complainedSince = new Map<string, number>();

  constructor(
    private readonly source: FleetSource,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /** Takes the links of proxies. */
  serve(server: MessageServer): void {
    server.serve(FLEET_PROTOCOL, link => this.onFollow(link));
  }

  start(signal: AbortSignal): void {
    this.signal = signal;
    every(signal, PUSH_MS, () => this.push());
    signal.addEventListener('abort', () => this.endAll(), {once: true});
  }

  /**
   * Sends what each proxy has not heard of yet. One that came while nobody
   * leads waits here and hears at once who does: asking around in turn would
   * take proxies longer.
   */
  push(): void {
    this.pushedAt = this.clock.now();
    if (this.source.isLeading()) {
      this.countProxies();
      logLimitChanges(this.source.shares(), this.clock, this.log);
      for (const follower of this.followers) this.pushTo(follower);
      this.pushRoom();
      // Some asked before this instance led.
      this.renew();
    } else if (this.isAnotherLeading) {
      for (const follower of [...this.followers]) this.sendOn(follower);
    }
  }

  /**
   * Guard: an instance that was just elected does not know yet whether it has
   * all that was committed. Naming itself to those that wait here, it would
   * have them all come back at once, again and again until it knows.
   */
  private get isAnotherLeading(): boolean {
    const {source} = this;
    const leader = source.leaderAddress();
    return leader !== '' && leader !== source.ownAddress();
  }

  /** Sends news at once, or with others that follow within a moment. */
  schedulePush(): void {
    if (this.isPushDue) return;
    const waitMs = this.pushedAt + LEAST_PUSH_MS - this.clock.now();
    if (waitMs <= 0) return this.push();
    this.isPushDue = true;
    after(this.signal, waitMs, () => {
      this.isPushDue = false;
      this.push();
    });
  }

  /**
   * Sends attached proxies away when this instance stops leading.
   *
   * Guard: an old leader that is cut off from the others and not from its
   * proxies would keep them, and changes made on the other side would not
   * reach them for as long as the cut lasts.
   */
  onDidLoseLeadership(): void {
    this.countedAt = undefined;
    this.proxies = 0;
    // Revisions of lists begin anew with each leadership.
    this.members = makeMemberFrames();
    this.poolers = makePoolerFrames();
    for (const follower of [...this.followers]) {
      if (follower.instance !== '') this.leave(follower);
    }
  }

  /** How many proxies complain of a member, and for how long half did. */
  failureReportsOf(service: string, instance: string) {
    const attached = this.witnessesOf(service);
    const complaining = attached.filter(({complaints}) => {
      return complaints.get(service)?.instance === instance;
    });
    const half =
      complaining.length > 0 && complaining.length * 2 >= attached.length;
    const now = this.clock.now();
    if (!half) this.complainedSince.delete(instance);
    else if (!this.complainedSince.has(instance)) {
      this.complainedSince.set(instance, now);
    }
    return {
      proxies: attached.length,
      complaints: complaining.length,
      complainedMs: now - (this.complainedSince.get(instance) ?? now),
    };
  }

  /** The proxies that have connections to a service's members to judge by. */
  private witnessesOf(service: string): Follower[] {
    const own = this.source.poolers().filter(other => {
      return other.service === service;
    });
    if (own.length === 0) return this.attached;
    const poolers = new Set(own.map(({instance}) => instance));
    return this.attached.filter(({instance}) => poolers.has(instance));
  }

  /** The proxies that follow this instance now. */
  get attached(): Follower[] {
    return [...this.followers].filter(({instance}) => instance !== '');
  }

  /**
   * Counts the proxies, at most once in a while: the count goes to all of them
   * with the list of members, and told at each arrival all would be told as
   * often as there are proxies when they come together. A new leader tells the
   * usual number until they had time to come: told that they are few, each
   * would open the connections of all.
   */
  private countProxies(): void {
    const now = this.clock.now();
    this.countedAt ??= now;
    if (now - this.countedAt < COUNT_EVERY_MS) return;
    this.countedAt = now;
    this.proxies = Math.max(1, this.attached.length);
  }

  private onFollow(link: Link): void {
    const follower: Follower = {
      link,
      instance: '',
      site: '',
      address: '',
      capacity: UNKNOWN_CAPACITY,
      poolersRevision: 0,
      leadsRevision: 0,
      renewal: 0,
      catalogVersion: 0,
      membersRevision: 0,
      toldProxies: undefined,
      complaints: new Map(),
      counting: new CounterSession(this.source, this.clock, message => {
        link.write(message);
      }),
    };
    this.followers.add(follower);
    link.start({
      onDidReceive: message => this.onMessage(follower, message),
      onDidEnd: () => this.leave(follower),
    });
  }

  private onMessage(follower: Follower, {body}: FollowerMessage): void {
    if (body?.$case === 'hello') {
      const {instance, catalogVersion, site, address} = body.value;
      for (const other of this.followers) {
        // The same proxy came again; its old stream may be half dead.
        if (other.instance === instance) this.leave(other);
      }
      follower.instance = instance;
      follower.site = site;
      follower.address = address;
      follower.capacity = capacityOf(body.value);
      follower.catalogVersion = catalogVersion;
      follower.counting.onHello(body.value);
      this.log.info('A proxy is attached.', {instance, catalogVersion});
      if (this.source.isLeading()) this.pushTo(follower);
      else this.push();
    } else if (body?.$case === 'report') {
      const {service, instance, trouble} = body.value;
      if (trouble === '') follower.complaints.delete(service);
      else follower.complaints.set(service, body.value);
      const {instance: proxy} = follower;
      this.log.info('A proxy judges.', {proxy, service, instance, trouble});
    } else if (body?.$case === 'renew') {
      follower.renewal = body.value.number;
      // One that waits here for an election has counted nothing.
      if (this.source.isLeading()) follower.counting.onReport(body.value);
      this.source
        .connectionAllocator()
        .report(follower.instance, body.value, this.clock.now());
      this.pushRoom();
      this.renew();
    } else if (body?.$case === 'returned') {
      const {service, epoch} = body.value;
      const {instance: proxy} = follower;
      this.source.holders().onReturned(proxy, service, epoch);
      this.log.info('A proxy returned a lease.', {proxy, service, epoch});
    }
  }

  /** Answers the questions for leases that wait, with one confirmation. */
  private renew(): void {
    const now = this.clock.now();
    if (this.confirming || !this.source.isLeading()) return;
    const asking = this.attached.filter(({renewal}) => renewal !== 0);
    if (asking.length === 0) return;
    const waitMs = this.confirmedAt + CONFIRM_EVERY_MS - now;
    if (waitMs > 0) return this.renewIn(waitMs);
    const holders = this.source.holders();
    const questions = asking.map(follower => {
      return {follower, number: follower.renewal};
    });
    for (const follower of asking) follower.renewal = 0;
    this.confirming = true;
    this.confirmedAt = now;
    void this.source.confirm().then(isConfirmed => {
      this.confirming = false;
      this.renew();
      // What another leadership confirmed is for its own holders to count.
      if (!isConfirmed || holders !== this.source.holders()) return;
      for (const {follower, number} of questions) {
        if (!this.followers.has(follower)) continue;
        // Counted before it goes out: a lease must never be longer than known.
        holders.onRenewed(follower.instance, this.clock.now());
        follower.counting.onRenewed();
        // Its lease on the catalog counts only with the newest one.
        this.pushCatalog(follower);
        const {catalogVersion} = follower;
        const value = {number, catalogVersion};
        follower.link.write({body: {$case: 'renewed', value}});
      }
    });
  }

  private renewIn(milliseconds: number): void {
    if (this.isRenewalDue) return;
    this.isRenewalDue = true;
    after(this.signal, milliseconds, () => {
      this.isRenewalDue = false;
      this.renew();
    });
  }

  private sendOn(follower: Follower): void {
    const value = {leaderAddress: this.source.leaderAddress()};
    follower.link.write({body: {$case: 'notLeading', value}});
    this.leave(follower);
  }

  private pushTo(follower: Follower): void {
    if (follower.instance === '') return;
    this.pushCatalog(follower);
    this.pushPoolers(follower);
    // First: the members are shared out among so many.
    this.pushCount(follower);
    this.pushMembers(follower);
    this.pushLeads(follower);
    follower.counting.push();
  }

  private pushCatalog(follower: Follower): void {
    const catalog = this.source.catalog();
    if (!catalog || catalog.version <= follower.catalogVersion) return;
    const {catalogVersion} = follower;
    const frame = this.catalogMessages.frameSince(catalogVersion, catalog);
    follower.catalogVersion = catalog.version;
    follower.link.writeFrame(frame);
  }

  private pushPoolers(follower: Follower): void {
    const {source, poolers} = this;
    const revision = poolers.update(source.poolersRevision(), () => {
      return source.poolers();
    });
    if (follower.poolersRevision === revision) return;
    follower.link.writeFrame(poolers.frameSince(follower.poolersRevision));
    follower.poolersRevision = revision;
  }

  private pushMembers(follower: Follower): void {
    const {source, members} = this;
    const revision = members.update(source.membersRevision(), () => {
      return source.members();
    });
    if (follower.membersRevision === revision) return;
    follower.link.writeFrame(members.frameSince(follower.membersRevision));
    follower.membersRevision = revision;
  }

  /** Apart from the members: it changes with each proxy that comes or goes. */
  private pushCount(follower: Follower): void {
    const proxies = this.proxies || this.source.expectedProxyCount();
    if (follower.toldProxies === proxies) return;
    follower.toldProxies = proxies;
    follower.link.write({body: {$case: 'count', value: {proxies}}});
  }

  /** Who may open how many connections, to whom that changed for. */
  private pushRoom(): void {
    const room = this.source.connectionAllocator();
    if (!room.isActive || !this.source.isLeading()) return;
    const followers = new Map(this.attached.map(one => [one.instance, one]));
    for (const {pooler, value} of room.allocate(
      followers.keys(),
      this.clock.now(),
    )) {
      const link = followers.get(pooler)?.link;
      link?.write({body: {$case: 'connections', value}});
    }
    for (const change of room.takeLargeChanges()) {
      this.log.info('Shares connections anew.', {...change});
    }
  }

  private pushLeads(follower: Follower): void {
    const board = this.source.publishedPrimaries();
    const leads = board.changedSince(follower.leadsRevision);
    if (leads.length === 0) return;
    follower.leadsRevision = board.revision;
    follower.link.write({body: {$case: 'leads', value: {leads}}});
  }

  private leave(follower: Follower): void {
    if (!this.followers.delete(follower)) return;
    follower.link.finish();
    const {instance} = follower;
    this.log.info('A proxy is detached.', {instance});
    if (instance === '') return;
    this.source.connectionAllocator().detach(instance);
    this.pushRoom();
  }

  private endAll(): void {
    for (const follower of [...this.followers]) this.leave(follower);
  }
}

function makeMemberFrames(): ListFrames<Member> {
  return new ListFrames<Member>(
    MEMBER_COMPARER,
    ({complete, changed, gone}) => ({
      $case: 'members',
      value: {complete, changed: [...changed], gone: [...gone]},
    }),
  );
}

function makePoolerFrames(): ListFrames<PoolerEntry> {
  return new ListFrames<PoolerEntry>(
    POOLER_COMPARER,
    ({complete, changed, gone}) => ({
      $case: 'poolers',
      value: {complete, changed: [...changed], gone: [...gone]},
    }),
  );
}
