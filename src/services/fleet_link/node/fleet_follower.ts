import type {Log} from '../../../base/node/log';
import {after, every} from '../../../base/node/timers';
import {sumOf} from '../../../base/common/numbers';
import type {
  AccountShares,
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

/** Receives the updates that control sends to a proxy. */
export interface FollowerListener {
  onDidReceiveCatalog(catalog: Catalog): void;
  onDidReceiveMembers(members: FleetMembers): void;
  onDidReceivePoolers(poolers: FleetPoolers): void;
  onDidReceiveAssignments(assignments: readonly PrimaryAssignment[]): void;
  onDidReceiveCounters(counters: readonly CounterEntry[]): void;
  /** A majority confirmed that this proxy has the newest catalog. */
  onDidConfirmCatalog(): void;
}

/** The identity of a proxy and the ways to reach control. */
export interface FollowerOptions {
  readonly instance: string;
  readonly site: string;
  /** Address for the links of other proxies. */
  readonly address: string;
  /** Addresses of control instances; read again for each attempt. */
  addresses(): readonly string[];
  readonly leases: PrimaryLeases;
  readonly catalogLease: CatalogLease;
  /**
   * Counts operations of accounts if control assigns this proxy as a counter.
   */
  readonly counter: PermitCounter;
  readonly capacity: InstanceCapacity;
  readonly connectionQuota: ConnectionQuota;
}

/**
 * Pause before the next attempt. After a common restart, proxies start before
 * control and are refused at first.
 */
const RETRY_DELAY_MS = 60;
/**
 * Delay before one more control instance is tried in parallel. A machine that
 * is down does not answer, and TCP retransmits its SYN only after a while.
 */
const HEDGE_DELAY_MS = 300;
/**
 * Redirects followed per hedge interval: around an election, two instances may
 * redirect to each other.
 */
const MAX_REDIRECTS = 2;
/** Interval at which urgent connection reports are looked for. */
const URGENT_CHECK_INTERVAL_MS = 50;
/** Parallel attempts. */
const MAX_ATTEMPTS = 3;

/** The proxy side of the link to the control leader. */
export class FleetFollower {
  private readonly attempts = new Map<string, FollowerStream>();
  private attached: FollowerStream | undefined;
  /** The newest catalog received. */
  private catalog: Catalog | undefined;
  /** Undefined before the first list of members. */
  private members: readonly Member[] | undefined;
  private poolers: readonly PoolerEntry[] = [];
  private proxyCount = 0;
  private readonly failureReports = new Map<string, PrimaryReport>();
  /** Addresses of control instances by the newest leader. */
  private controls: readonly string[] = [];
  private attemptCount = 0;
  private redirectCount = 0;
  /** Whether urgent connection reports are being looked for. */
  private isCheckingUrgent = false;

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
    every(this.signal, HEDGE_DELAY_MS, () => {
      this.redirectCount = 0;
      this.tryNext();
    });
    every(this.signal, RENEWAL_INTERVAL_MS, () => {
      if (this.attached) this.renewLeases(this.attached);
    });
  }

  /**
   * Reports a failing primary to control, and its recovery; repeated after
   * reconnects. A primary without problems is not reported: a new leader would
   * otherwise get a message from each proxy for each service.
   */
  report(report: PrimaryReport): void {
    const {service, trouble} = report;
    const hadFailure = (this.failureReports.get(service)?.trouble ?? '') !== '';
    this.failureReports.set(service, report);
    if (trouble === '' && !hadFailure) return;
    this.attached?.write({$case: 'report', value: report});
  }

  /** Tries one more control instance while no leader is known. */
  private tryNext(): void {
    if (this.attached || this.attempts.size >= MAX_ATTEMPTS) return;
    // Those of the settings may all be gone by now.
    const addresses = new Set([...this.options.addresses(), ...this.controls]);
    const untried = [...addresses].filter(
      address => !this.attempts.has(address),
    );
    const address = untried[this.attemptCount++ % Math.max(1, untried.length)];
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
    this.sendHello(stream);
  }

  private sendHello(stream: FollowerStream): void {
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
    // Leases are requested with the greeting, which saves a round trip.
    this.renewLeases(stream);
  }

  private renewLeases(stream: FollowerStream): void {
    const {leases, counter, connectionQuota} = this.options;
    const number = leases.beginRenewal();
    // Usage is reported once, to the leader that this proxy is attached to.
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
        if (this.redirectCount++ >= MAX_REDIRECTS) return;
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
        return this.onAssignments(stream, body.value.leads);
      case 'renewed':
        if (stream !== this.attached) return;
        return this.onRenewed(body.value);
      case 'count':
        this.attach(stream);
        return this.onCount(body.value.proxies);
      case 'shares':
        if (stream !== this.attached) return;
        return this.onShares(body.value);
      case 'controls':
        this.attach(stream);
        this.controls = body.value.addresses;
        return;
      case 'counters':
        this.attach(stream);
        return this.listener.onDidReceiveCounters(body.value.counters);
      case 'connections':
        this.attach(stream);
        this.startUrgentCheck();
        return this.options.connectionQuota.setGrants(body.value);
    }
  }

  /**
   * Started with the first connection grant; proxies without grants need no
   * timer.
   */
  private startUrgentCheck(): void {
    if (this.isCheckingUrgent) return;
    this.isCheckingUrgent = true;
    every(this.signal, URGENT_CHECK_INTERVAL_MS, () => {
      const {connectionQuota} = this.options;
      if (this.attached && connectionQuota.isReportUrgent) {
        this.renewLeases(this.attached);
      }
    });
  }

  private onRenewed({number, catalogVersion}: LeasesRenewed): void {
    const {leases, catalogLease, counter, connectionQuota} = this.options;
    const requestedAt = leases.onRenewed(number);
    if (requestedAt === undefined) return;
    counter.extendLease(requestedAt);
    connectionQuota.extendLease(requestedAt);
    const hasNewest = (this.catalog?.version ?? 0) >= catalogVersion;
    if (!hasNewest) return;
    catalogLease.extendLease(requestedAt);
    this.listener.onDidConfirmCatalog();
  }

  /**
   * The first list of a stream is complete and serves as the base of later
   * changes.
   */
  private onMembers(changes: MemberChanges): void {
    const known = this.members ?? [];
    this.members = applyListDelta(known, changes, MEMBER_COMPARER.keyOf);
    this.notifyMembers();
  }

  private onShares(shares: AccountShares): void {
    this.options.counter.setShares(shares);
    if (shares.number !== 1) return;
    const tokens = sumOf(shares.shares.map(share => share.tokens));
    this.log.info('Takes its first shares from a leader.', {
      accounts: shares.shares.length,
      tokens: Math.round(tokens),
    });
  }

  private onCount(proxyCount: number): void {
    this.proxyCount = proxyCount;
    this.notifyMembers();
  }

  private notifyMembers(): void {
    const {members, proxyCount} = this;
    if (members === undefined) return;
    this.listener.onDidReceiveMembers({members, proxyCount});
  }

  private onPoolers(changes: PoolerChanges): void {
    this.poolers = applyListDelta(this.poolers, changes, POOLER_COMPARER.keyOf);
    this.listener.onDidReceivePoolers({poolers: this.poolers});
  }

  /** Older versions are ignored. */
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
    this.log.warn('Cannot apply a catalog delta; reconnecting.', {
      base,
      version,
      known,
    });
    // A new stream starts from the version of this proxy.
    this.drop(stream);
    this.tryNext();
  }

  private onAssignments(
    stream: FollowerStream,
    assignments: readonly PrimaryAssignment[],
  ): void {
    for (const returned of this.options.leases.onAssignments(assignments)) {
      stream.write({$case: 'returned', value: returned});
    }
    this.listener.onDidReceiveAssignments(assignments);
  }

  private attach(stream: FollowerStream): void {
    if (this.attached === stream) return;
    this.attached = stream;
    this.options.connectionQuota.onDidAttach();
    for (const other of [...this.attempts.values()]) {
      if (other !== stream) this.drop(other);
    }
    this.log.info('Follows a control leader.', {address: stream.address});
    for (const report of this.failureReports.values()) {
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
    this.log.warn('Lost the connection to the control leader.', {
      address: stream.address,
    });
  }

  private onEnd(stream: FollowerStream): void {
    this.drop(stream);
    after(this.signal, RETRY_DELAY_MS, () => this.tryNext());
  }
}
