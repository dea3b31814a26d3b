import type {Log} from '../../../base/node/log';
import {after, every} from '../../../base/node/timers';
import type {
  Catalog,
  CatalogDelta,
  CounterEntry,
  LeaderMessage,
  LeasesRenewed,
  Member,
  MemberChanges,
  PoolerChanges,
  PoolerEntry,
  PrimaryReport,
  PrimaryAssignment,
} from '../../../schema/generated/fleet';
import type {CatalogLease} from '../../account/common/catalog_lease';
import type {PermitCounter} from '../../account/common/permit_counting';
import {applyCatalogDelta} from '../../catalog/common/catalog_delta';
import {
  RENEWAL_INTERVAL_MS,
  type PrimaryLeases,
} from '../../lease/common/primary_leases';
import {
  MEMBER_COMPARER,
  POOLER_COMPARER,
  type FleetMembers,
  type FleetPoolers,
} from '../common/fleet_lists';
import type {InstanceCapacity} from '../../connection_quota/common/capacity';
import {
  EMPTY_REPORT,
  type ConnectionQuota,
} from '../../connection_quota/common/connection_quota';
import {applyListDelta} from '../common/revisioned_list';
import {FollowerStream} from './follower_stream';

/** What a proxy hears from control. */
export interface FollowerListener {
  onDidReceiveCatalog(catalog: Catalog): void;
  onDidReceiveMembers(members: FleetMembers): void;
  onDidReceivePoolers(poolers: FleetPoolers): void;
  onDidReceiveAssignments(leads: readonly PrimaryAssignment[]): void;
  onDidReceiveCounters(counters: readonly CounterEntry[]): void;
  /** A majority confirmed that the newest catalog of all is known here. */
  onDidConfirmCatalog(): void;
}

/** Who a proxy is, and where control may be. */
export interface FollowerOptions {
  readonly instance: string;
  readonly site: string;
  /** Where other proxies reach this one. */
  readonly address: string;
  /** Addresses of control instances; asked anew at each try. */
  addresses(): readonly string[];
  readonly leases: PrimaryLeases;
  readonly catalogLease: CatalogLease;
  /** Counts operations of accounts where control names this proxy for it. */
  readonly counter: PermitCounter;
  readonly capacity: InstanceCapacity;
  readonly connectionQuota: ConnectionQuota;
}

/**
 * Pause before another control instance is tried, in milliseconds. Proxies run
 * 0.1 s before control after a common restart and are refused until then.
 */
const RETRY_MS = 60;
/**
 * Without a word from those that were asked, one more control instance is asked
 * after this, in milliseconds. A machine that has no power yet does not answer,
 * and the opening packet is sent again after a second only.
 */
const HEDGE_MS = 300;
/**
 * Words of who leads that are followed at once, in each such time: around an
 * election two instances may each name the other.
 */
const MOST_REDIRECTS = 2;
/** How often something to tell control at once is looked for, in ms. */
const LOOK_MS = 50;
/** Control instances that are asked at once. */
const MOST_ATTEMPTS = 3;

/** A proxy's side of the exchange with the leader of control. */
export class FleetFollower {
  private readonly attempts = new Map<string, FollowerStream>();
  private attached: FollowerStream | undefined;
  /** The newest catalog that came. */
  private catalog: Catalog | undefined;
  /** Undefined before the first list. */
  private members: readonly Member[] | undefined;
  private poolers: readonly PoolerEntry[] = [];
  private proxies = 0;
  private readonly reports = new Map<string, PrimaryReport>();
  private tries = 0;
  private redirects = 0;
  /** Whether something to tell control at once is looked for. */
  private looks = false;

  constructor(
    private readonly options: FollowerOptions,
    private readonly listener: FollowerListener,
    private readonly log: Log,
    private readonly signal: AbortSignal,
  ) {}

  get isAttached(): boolean {
    return this.attached !== undefined;
  }

  start(): void {
    this.tryNext();
    every(this.signal, HEDGE_MS, () => {
      this.redirects = 0;
      this.tryNext();
    });
    every(this.signal, RENEWAL_INTERVAL_MS, () => {
      if (this.attached) this.renewLeases(this.attached);
    });
  }

  /**
   * Tells control of trouble with the primary of a service and of its end, now
   * and after reconnects. Nothing is told where all was well and is: each proxy
   * would tell a leader that just took over so of each service.
   */
  report(report: PrimaryReport): void {
    const {service, trouble} = report;
    const hadTrouble = (this.reports.get(service)?.trouble ?? '') !== '';
    this.reports.set(service, report);
    if (trouble === '' && !hadTrouble) return;
    this.attached?.write({$case: 'report', value: report});
  }

  /** Asks one more control instance who leads, while none told. */
  private tryNext(): void {
    if (this.attached || this.attempts.size >= MOST_ATTEMPTS) return;
    const addresses = this.options.addresses();
    const untried = addresses.filter(address => !this.attempts.has(address));
    const address = untried[this.tries++ % Math.max(1, untried.length)];
    if (address !== undefined) this.open(address);
  }

  private open(address: string): void {
    if (this.signal.aborted || this.attempts.has(address)) return;
    const stream = new FollowerStream(
      address,
      {
        onDidReceive: (from, message) => this.onMessage(from, message),
        onDidEnd: ended => this.onEnd(ended),
      },
      this.signal,
    );
    this.attempts.set(address, stream);
    this.greet(stream);
  }

  private greet(stream: FollowerStream): void {
    const {instance, site, address, capacity, counter} = this.options;
    const value = {
      instance,
      site,
      catalogVersion: this.catalog?.version ?? 0,
      address,
      shares: counter.heldShares,
      counterIdleMs: counter.idleMs,
      capacityCores: capacity.cores,
      capacityLinkMbps: capacity.linkMbps,
    };
    stream.write({$case: 'hello', value});
    // Asked at once: a proxy that starts serves primaries a way sooner.
    this.renewLeases(stream);
  }

  private renewLeases(stream: FollowerStream): void {
    const {leases, counter, connectionQuota} = this.options;
    const number = leases.beginRenewal();
    // Counts are told once, to the leader that this proxy follows.
    const isAttached = stream === this.attached;
    const uses = isAttached ? counter.takeReport() : [];
    const sharesNumber = isAttached ? counter.shareListNumber : 0;
    const value = {
      number,
      uses,
      sharesNumber,
      ...(isAttached ? connectionQuota.takeReport() : EMPTY_REPORT),
    };
    stream.write({$case: 'renew', value});
  }

  private onMessage(stream: FollowerStream, {body}: LeaderMessage): void {
    switch (body?.$case) {
      case 'notLeading':
        this.drop(stream);
        if (this.redirects++ >= MOST_REDIRECTS) return;
        return this.open(body.value.leaderAddress);
      case 'catalog':
        this.attach(stream);
        return this.onCatalog(body.value);
      case 'catalogDelta':
        this.attach(stream);
        return this.onCatalogDelta(stream, body.value);
      case 'members':
        this.attach(stream);
        return this.onMembers(body.value);
      case 'poolers':
        this.attach(stream);
        return this.onPoolers(body.value);
      case 'leads':
        this.attach(stream);
        return this.onLeads(stream, body.value.leads);
      case 'renewed':
        if (stream !== this.attached) return;
        return this.onRenewed(body.value);
      case 'count':
        this.attach(stream);
        return this.onCount(body.value.proxies);
      case 'shares':
        if (stream !== this.attached) return;
        return this.options.counter.setShares(body.value);
      case 'counters':
        this.attach(stream);
        return this.listener.onDidReceiveCounters(body.value.counters);
      case 'connections':
        this.attach(stream);
        this.lookForUrgent();
        return this.options.connectionQuota.setGrants(body.value);
    }
  }

  /** From the first word on connections: others do without this timer. */
  private lookForUrgent(): void {
    if (this.looks) return;
    this.looks = true;
    every(this.signal, LOOK_MS, () => {
      const {connectionQuota} = this.options;
      if (this.attached && connectionQuota.isReportUrgent) {
        this.renewLeases(this.attached);
      }
    });
  }

  private onRenewed({number, catalogVersion}: LeasesRenewed): void {
    const {leases, catalogLease, counter, connectionQuota} = this.options;
    const askedAt = leases.onRenewed(number);
    if (askedAt === undefined) return;
    counter.extendLease(askedAt);
    connectionQuota.extendLease(askedAt);
    const holdsNewest = (this.catalog?.version ?? 0) >= catalogVersion;
    if (!holdsNewest) return;
    catalogLease.extendLease(askedAt);
    this.listener.onDidConfirmCatalog();
  }

  /** The first list of a stream is complete, so that changes have their base. */
  private onMembers(changes: MemberChanges): void {
    const known = this.members ?? [];
    this.members = applyListDelta(known, changes, MEMBER_COMPARER.keyOf);
    this.tellMembers();
  }

  private onCount(proxies: number): void {
    this.proxies = proxies;
    this.tellMembers();
  }

  private tellMembers(): void {
    const {members, proxies} = this;
    if (members === undefined) return;
    this.listener.onDidReceiveMembers({members, proxyCount: proxies});
  }

  private onPoolers(changes: PoolerChanges): void {
    this.poolers = applyListDelta(this.poolers, changes, POOLER_COMPARER.keyOf);
    this.listener.onDidReceivePoolers({poolers: this.poolers});
  }

  /** One that is older than what is known changes nothing. */
  private onCatalog(catalog: Catalog): void {
    if (catalog.version <= (this.catalog?.version ?? 0)) return;
    this.catalog = catalog;
    this.listener.onDidReceiveCatalog(catalog);
  }

  private onCatalogDelta(stream: FollowerStream, delta: CatalogDelta): void {
    const next = this.catalog && applyCatalogDelta(this.catalog, delta);
    if (next) return this.onCatalog(next);
    const known = this.catalog?.version ?? 0;
    const {baseVersion: base, version} = delta;
    this.log.warn('Cannot apply a change of the catalog.', {
      base,
      version,
      known,
    });
    // A new stream begins with what this proxy has.
    this.drop(stream);
    this.tryNext();
  }

  private onLeads(
    stream: FollowerStream,
    leads: readonly PrimaryAssignment[],
  ): void {
    for (const returned of this.options.leases.onAssignments(leads)) {
      stream.write({$case: 'returned', value: returned});
    }
    this.listener.onDidReceiveAssignments(leads);
  }

  private attach(stream: FollowerStream): void {
    if (this.attached === stream) return;
    this.attached = stream;
    this.options.connectionQuota.onDidAttach();
    for (const other of [...this.attempts.values()]) {
      if (other !== stream) this.drop(other);
    }
    this.log.info('Follows control.', {address: stream.address});
    for (const report of this.reports.values()) {
      if (report.trouble === '') continue;
      stream.write({$case: 'report', value: report});
    }
  }

  private drop(stream: FollowerStream): void {
    stream.end();
    this.attempts.delete(stream.address);
    if (this.attached !== stream) return;
    this.attached = undefined;
    this.options.leases.onDidDetach();
    this.options.counter.onDidDetach();
    this.log.warn('Lost control.', {address: stream.address});
  }

  private onEnd(stream: FollowerStream): void {
    this.drop(stream);
    after(this.signal, RETRY_MS, () => this.tryNext());
  }
}
