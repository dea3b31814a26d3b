import type {Clock} from '../../../base/common/clock';
import {RepeatLimit} from '../../../base/common/repeat_limit';
import {detach} from '../../../base/node/broken_invariant';
import type {Log} from '../../../base/node/log';
import {EncodingError} from '../../../base/node/message_frames';
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
  /** The control addresses sent last. */
  sentControls: string;
  /** The proxy count sent last; undefined before the first. */
  sentProxyCount: number | undefined;
  assignmentsRevision: number;
  /** Number of the newest renewal request without a reply; 0 for none. */
  pendingRenewal: number;
  catalogVersion: number;
  membersRevision: number;
  readonly failureReports: Map<string, PrimaryReport>;
  readonly counterSession: CounterSession;
}

/** The state that the leader sends to proxies. */
export interface FleetSource extends CounterSource {
  /** Whether this instance leads and has applied all committed entries. */
  isLeading(): boolean;
  leaderAddress(): string;
  /** Address of this instance for proxies. */
  ownAddress(): string;
  /** Addresses of all control instances for proxies. */
  controlAddresses(): readonly string[];
  catalog(): Catalog | undefined;
  members(): readonly Member[];
  membersRevision(): number;
  poolers(): readonly PoolerEntry[];
  poolersRevision(): number;
  /** The recorded number of proxies; 0 if unknown. */
  expectedProxyCount(): number;
  publishedPrimaries(): PublishedPrimaries;
  holders(): LeaseHolders;
  /** Divides connections among poolers, in this leadership. */
  connectionAllocator(): ConnectionAllocator;
  /** Whether a majority confirms, after the call, that this instance leads. */
  confirm(): Promise<boolean>;
}

/**
 * Interval of updates. Bounds the number of catalogs that a proxy gets in a
 * burst of changes.
 */
const PUSH_INTERVAL_MS = 250;
/**
 * Minimum interval of updates: while a fleet starts, members change often, and
 * each update wakes up all proxies.
 */
const MIN_PUSH_INTERVAL_MS = 50;
/**
 * Renewal requests within this interval share one confirmation. It matches the
 * heartbeat of the control group, which makes the confirmation free.
 */
const CONFIRM_INTERVAL_MS = 100;
const UNSENDABLE_LOG_INTERVAL_MS = 5_000;
/** Interval at which proxies are counted. */
const COUNT_INTERVAL_MS = 1_000;

/** The control side of the links to proxies. */
export class FleetLeader {
  private readonly followers = new Set<Follower>();
  private readonly catalogFrames = new CatalogFrames();
  private memberFrames = makeMemberFrames();
  private poolerFrames = makePoolerFrames();
  private attachedCount = 0;
  /** Undefined before the first count of this leadership. */
  private countedAt: number | undefined;
  private signal = new AbortController().signal;
  private pushedAt = -Infinity;
  private isPushScheduled = false;
  private isConfirming = false;
  /** Whether the reply to early renewal requests is scheduled. */
  private isRenewalScheduled = false;
  private confirmedAt = -Infinity;
  /** Limits the lines about updates that cannot be sent. */
  private readonly unsendable: RepeatLimit;
  /** Since when at least half of the proxies report a failure, by member. */
  private readonly failureReportedSince = new Map<string, number>();

  constructor(
    private readonly source: FleetSource,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {
    this.unsendable = new RepeatLimit(UNSENDABLE_LOG_INTERVAL_MS, clock);
  }

  /** Accepts the links of proxies. */
  serve(server: MessageServer): void {
    server.serve(FLEET_PROTOCOL, link => this.onDidConnect(link));
  }

  start(signal: AbortSignal): void {
    this.signal = signal;
    every(signal, PUSH_INTERVAL_MS, () => this.push());
    signal.addEventListener('abort', () => this.detachAll(), {once: true});
  }

  /**
   * Sends pending updates to all proxies. Proxies that wait for an election are
   * redirected as soon as another leader is known, which is faster than letting
   * them search.
   */
  push(): void {
    this.pushedAt = this.clock.now();
    if (this.source.isLeading()) {
      this.countProxies();
      logLimitChanges(this.source.shares(), this.clock, this.log);
      for (const follower of this.followers) this.pushTo(follower);
      this.pushConnectionGrants();
      // Answers renewal requests from before the election.
      this.answerRenewals();
    } else if (this.isAnotherLeading) {
      for (const follower of [...this.followers]) this.redirect(follower);
    }
  }

  /**
   * Whether another instance leads.
   *
   * Guard: a newly elected instance that has not applied all committed entries
   * is not ready. Redirecting its proxies to itself would make them reconnect
   * over and over.
   */
  private get isAnotherLeading(): boolean {
    const {source} = this;
    const leader = source.leaderAddress();
    return leader !== '' && leader !== source.ownAddress();
  }

  /** Sends updates now, or together with others after a short delay. */
  schedulePush(): void {
    if (this.isPushScheduled) return;
    const waitMs = this.pushedAt + MIN_PUSH_INTERVAL_MS - this.clock.now();
    if (waitMs <= 0) return this.push();
    this.isPushScheduled = true;
    after(this.signal, waitMs, () => {
      this.isPushScheduled = false;
      this.push();
    });
  }

  /**
   * Detaches all proxies when this instance stops leading.
   *
   * Guard: a former leader that is partitioned from the control group but not
   * from its proxies would keep them, and they would miss all changes until the
   * partition heals.
   */
  onDidLoseLeadership(): void {
    this.countedAt = undefined;
    this.attachedCount = 0;
    // List revisions start again with each leadership.
    this.memberFrames = makeMemberFrames();
    this.poolerFrames = makePoolerFrames();
    for (const follower of [...this.followers]) {
      if (follower.instance !== '') this.detach(follower);
    }
  }

  /**
   * Counts the proxies that report a failure of a member, and how long at least
   * half of them have done so.
   */
  failureReportsOf(service: string, instance: string) {
    const observers = this.observersOf(service);
    const reporting = observers.filter(({failureReports}) => {
      return failureReports.get(service)?.instance === instance;
    });
    const isReportedByHalf =
      reporting.length > 0 && reporting.length * 2 >= observers.length;
    const now = this.clock.now();
    if (!isReportedByHalf) this.failureReportedSince.delete(instance);
    else if (!this.failureReportedSince.has(instance)) {
      this.failureReportedSince.set(instance, now);
    }
    return {
      proxyCount: observers.length,
      reportCount: reporting.length,
      reportedMs: now - (this.failureReportedSince.get(instance) ?? now),
    };
  }

  /** The proxies that have connections to the members of a service. */
  private observersOf(service: string): Follower[] {
    const servicePoolers = this.source.poolers().filter(entry => {
      return entry.service === service;
    });
    if (servicePoolers.length === 0) return this.attached;
    const poolerInstances = new Set(
      servicePoolers.map(({instance}) => instance),
    );
    return this.attached.filter(({instance}) => poolerInstances.has(instance));
  }

  /** The attached proxies. */
  get attached(): Follower[] {
    return [...this.followers].filter(({instance}) => instance !== '');
  }

  /**
   * Counts the proxies at a limited rate, since each change is sent to all of
   * them. A new leader uses the recorded number until proxies had time to
   * connect: with a number that is too low, each would open the connections of
   * all.
   */
  private countProxies(): void {
    const now = this.clock.now();
    this.countedAt ??= now;
    if (now - this.countedAt < COUNT_INTERVAL_MS) return;
    this.countedAt = now;
    this.attachedCount = Math.max(1, this.attached.length);
  }

  private onDidConnect(link: Link): void {
    const follower: Follower = {
      link,
      instance: '',
      site: '',
      address: '',
      capacity: UNKNOWN_CAPACITY,
      poolersRevision: 0,
      assignmentsRevision: 0,
      pendingRenewal: 0,
      catalogVersion: 0,
      membersRevision: 0,
      sentControls: '',
      sentProxyCount: undefined,
      failureReports: new Map(),
      counterSession: new CounterSession(this.source, this.clock, message => {
        link.write(message);
      }),
    };
    this.followers.add(follower);
    link.start({
      onDidReceive: message => this.onMessage(follower, message),
      onDidEnd: () => this.detach(follower),
    });
  }

  private onMessage(follower: Follower, {body}: FollowerMessage): void {
    if (body?.$case === 'hello') {
      const {instance, catalogVersion, site, address} = body.value;
      for (const other of this.followers) {
        // A reconnected proxy replaces its old stream, which may be half-open.
        if (other.instance === instance) this.detach(other);
      }
      follower.instance = instance;
      follower.site = site;
      follower.address = address;
      follower.capacity = capacityOf(body.value);
      follower.catalogVersion = catalogVersion;
      follower.counterSession.onHello(body.value);
      this.log.info('A proxy attached.', {instance, catalogVersion});
      if (this.source.isLeading()) this.pushTo(follower);
      else this.push();
    } else if (body?.$case === 'report') {
      const {service, instance, trouble} = body.value;
      if (trouble === '') follower.failureReports.delete(service);
      else follower.failureReports.set(service, body.value);
      const {instance: proxy} = follower;
      this.log.info('A proxy reported on a primary.', {
        proxy,
        service,
        instance,
        trouble,
      });
    } else if (body?.$case === 'renew') {
      follower.pendingRenewal = body.value.number;
      // A proxy that waits for an election has counted nothing.
      if (this.source.isLeading()) follower.counterSession.onReport(body.value);
      this.source
        .connectionAllocator()
        .report(follower.instance, body.value, this.clock.now());
      this.pushConnectionGrants();
      this.answerRenewals();
    } else if (body?.$case === 'returned') {
      const {service, epoch} = body.value;
      const {instance: proxy} = follower;
      this.source.holders().onReturned(proxy, service, epoch);
      this.log.info('A proxy returned a lease.', {proxy, service, epoch});
    }
  }

  /** Answers the pending renewal requests with one confirmation. */
  private answerRenewals(): void {
    const now = this.clock.now();
    if (this.isConfirming || !this.source.isLeading()) return;
    const requesting = this.attached.filter(
      ({pendingRenewal}) => pendingRenewal !== 0,
    );
    if (requesting.length === 0) return;
    const waitMs = this.confirmedAt + CONFIRM_INTERVAL_MS - now;
    if (waitMs > 0) return this.scheduleRenewals(waitMs);
    const holders = this.source.holders();
    const requests = requesting.map(follower => {
      return {follower, number: follower.pendingRenewal};
    });
    for (const follower of requesting) follower.pendingRenewal = 0;
    this.isConfirming = true;
    this.confirmedAt = now;
    detach(
      'confirmation of leadership',
      this.source.confirm().then(isConfirmed => {
        this.isConfirming = false;
        this.answerRenewals();
        // Leases of an earlier leadership are tracked by its own holders.
        if (!isConfirmed || holders !== this.source.holders()) return;
        for (const {follower, number} of requests) {
          if (!this.followers.has(follower)) continue;
          // Recorded before the reply is sent: a lease must never be longer than
          // control knows.
          holders.onRenewed(follower.instance, this.clock.now());
          follower.counterSession.onRenewed();
          // The lease on the catalog requires the newest version.
          this.pushCatalog(follower);
          const {catalogVersion} = follower;
          const value = {number, catalogVersion};
          follower.link.write({body: {$case: 'renewed', value}});
        }
      }),
    );
  }

  private scheduleRenewals(milliseconds: number): void {
    if (this.isRenewalScheduled) return;
    this.isRenewalScheduled = true;
    after(this.signal, milliseconds, () => {
      this.isRenewalScheduled = false;
      this.answerRenewals();
    });
  }

  private redirect(follower: Follower): void {
    const value = {leaderAddress: this.source.leaderAddress()};
    follower.link.write({body: {$case: 'notLeading', value}});
    this.detach(follower);
  }

  private pushTo(follower: Follower): void {
    if (follower.instance === '') return;
    this.pushControls(follower);
    this.pushCatalog(follower);
    this.skipUnsendable('poolers', () => this.pushPoolers(follower));
    // Before the members, whose connections are divided by this count.
    this.pushCount(follower);
    this.skipUnsendable('members', () => this.pushMembers(follower));
    this.skipUnsendable('primaries', () => this.pushAssignments(follower));
    this.skipUnsendable('limits', () => follower.counterSession.push());
  }

  /**
   * Guard: what cannot be sent is part of the replicated state, so it would end
   * one leader after the other. Proxies keep what they have.
   */
  private skipUnsendable(update: string, push: () => void): void {
    try {
      push();
    } catch (thrown) {
      if (!(thrown instanceof EncodingError)) throw thrown;
      const suppressed = this.unsendable.take(update);
      if (suppressed === undefined) return;
      const reason = thrown.message;
      const fields = {update, reason, suppressed};
      this.log.error('An update cannot be sent to proxies.', fields);
    }
  }

  private pushControls(follower: Follower): void {
    const addresses = [...this.source.controlAddresses()];
    const controls = addresses.join(' ');
    if (follower.sentControls === controls) return;
    follower.sentControls = controls;
    follower.link.write({body: {$case: 'controls', value: {addresses}}});
  }

  private pushCatalog(follower: Follower): void {
    this.skipUnsendable('catalog', () => this.sendCatalog(follower));
  }

  private sendCatalog(follower: Follower): void {
    const catalog = this.source.catalog();
    if (!catalog || catalog.version <= follower.catalogVersion) return;
    const {catalogVersion} = follower;
    const frame = this.catalogFrames.frameSince(catalogVersion, catalog);
    follower.catalogVersion = catalog.version;
    follower.link.writeFrame(frame);
  }

  private pushPoolers(follower: Follower): void {
    const {source, poolerFrames} = this;
    const revision = poolerFrames.update(source.poolersRevision(), () => {
      return source.poolers();
    });
    if (follower.poolersRevision === revision) return;
    follower.link.writeFrame(poolerFrames.frameSince(follower.poolersRevision));
    follower.poolersRevision = revision;
  }

  private pushMembers(follower: Follower): void {
    const {source, memberFrames} = this;
    const revision = memberFrames.update(source.membersRevision(), () => {
      return source.members();
    });
    if (follower.membersRevision === revision) return;
    follower.link.writeFrame(memberFrames.frameSince(follower.membersRevision));
    follower.membersRevision = revision;
  }

  /**
   * Sent apart from the members, since it changes with each proxy that connects
   * or disconnects.
   */
  private pushCount(follower: Follower): void {
    const proxies = this.attachedCount || this.source.expectedProxyCount();
    if (follower.sentProxyCount === proxies) return;
    follower.sentProxyCount = proxies;
    follower.link.write({body: {$case: 'count', value: {proxies}}});
  }

  /** Sends changed connection grants. */
  private pushConnectionGrants(): void {
    const allocator = this.source.connectionAllocator();
    if (!allocator.isActive || !this.source.isLeading()) return;
    const followers = new Map(
      this.attached.map(follower => [follower.instance, follower]),
    );
    for (const {pooler, value} of allocator.allocate(
      followers.keys(),
      this.clock.now(),
    )) {
      const link = followers.get(pooler)?.link;
      link?.write({body: {$case: 'connections', value}});
    }
    for (const change of allocator.takeLargeChanges()) {
      this.log.info('Redistributed connections.', {...change});
    }
  }

  private pushAssignments(follower: Follower): void {
    const primaries = this.source.publishedPrimaries();
    const leads = primaries.changedSince(follower.assignmentsRevision);
    if (leads.length === 0) return;
    follower.assignmentsRevision = primaries.revision;
    follower.link.write({body: {$case: 'leads', value: {leads}}});
  }

  private detach(follower: Follower): void {
    if (!this.followers.delete(follower)) return;
    follower.link.endAfterFlush();
    const {instance} = follower;
    this.log.info('A proxy detached.', {instance});
    if (instance === '') return;
    this.source.connectionAllocator().detach(instance);
    this.pushConnectionGrants();
  }

  private detachAll(): void {
    for (const follower of [...this.followers]) this.detach(follower);
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
