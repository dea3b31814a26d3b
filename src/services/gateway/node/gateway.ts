import type {CallerName, MemberUser} from '../../../base/common/ids';
import type {Result} from '../../../base/common/result';
import type {Clock} from '../../../base/common/clock';
import {detach} from '../../../base/node/broken_invariant';
import type {Log} from '../../../base/node/log';
import type {
  Catalog,
  DatabaseRoute,
  PrimaryReport,
  ServiceEntry,
  PrimaryAssignment,
} from '../../../schema/generated/fleet';
import {ClassAdmission} from '../../admission/common/class_admission';
import type {CatalogLease} from '../../account/common/catalog_lease';
import type {OperationLimits} from '../../account/node/operation_limits';
import {CatalogIndex} from '../../catalog/common/catalog';
import type {ConnectionPeers} from '../../dispatch/common/connection_share';
import type {CheckoutWait} from '../../dispatch/common/checkout_request';
import type {DispatcherMessage} from '../../dispatch/node/dispatcher_messages';
import {ServiceDispatcher} from '../../dispatch/node/service_dispatcher';
import {EntriesByService} from '../../fleet_link/common/entries_by_service';
import {
  MEMBER_COMPARER,
  POOLER_COMPARER,
  type FleetMembers,
  type FleetPoolers,
} from '../../fleet_link/common/fleet_lists';
import type {LeaseChecks} from '../../lease/common/primary_leases';
import type {ConnectionQuota} from '../../connection_quota/common/connection_quota';
import type {StatusReader} from '../../target_link/common/member_status';
import {
  SHARED_USER,
  type TargetConnector,
} from '../../target_link/common/target_link';
import type {CallerReply} from '../../statement/common/statement';
import type {CallerChannel} from '../common/caller_channel';
import type {AccessDenial, CallerAccess} from '../common/caller_access';
import {GatewaySessionState} from '../common/gateway_session_state';
import {CatalogAuthorizer} from './catalog_authorizer';
import {RateLimitedRunner} from './rate_limited_runner';
import type {GatewayMeter} from './gateway_meter';
import {GatewaySession} from './gateway_session';
import {RequestTelemetry} from './request_telemetry';
import type {SessionContext} from './session_context';
import {MemberVerifiedLeases} from './member_verified_leases';
import {LOCAL_RUNNER, type StatementRunner} from './statement_runner';

/** What a gateway is built on. */
export interface GatewayDependencies {
  readonly region: string;
  regionOf(site: string): string;
  readonly connector: TargetConnector;
  readonly leases: LeaseChecks;
  /** The lease on the catalog, without which no key can be checked. */
  readonly catalogLease: CatalogLease;
  /** Operation limits of the accounts, over all instances. */
  readonly limits: OperationLimits;
  /** The connections to members that control granted to this instance. */
  readonly connectionQuota: ConnectionQuota;
  readonly statusReader: StatusReader;
  readonly clock: Clock;
  readonly log: Log;
  readonly meter: GatewayMeter;
  /** The name of this instance, as in the list of poolers. */
  readonly instance: string;
  /** Runs statements of services whose connections poolers keep. */
  readonly pooledRunner: StatementRunner;
  onDidAssessPrimary(report: PrimaryReport): void;
}

/** The caller of a session and the user its statements run as. */
export interface SessionIdentity {
  readonly caller: CallerName;
  readonly user: MemberUser;
}

/** The part of a proxy that serves callers by the current catalog. */
export class Gateway {
  private index: CatalogIndex | undefined;
  private readonly members = new EntriesByService(MEMBER_COMPARER);
  private siteOf: ReadonlyMap<string, string> = new Map();
  private proxyCount = 1;
  private readonly poolers = new EntriesByService(POOLER_COMPARER);
  private readonly assignments = new Map<string, PrimaryAssignment>();
  private definitions = new Map<string, ServiceEntry>();
  private readonly dispatchers = new Map<string, ServiceDispatcher>();
  private readonly sessions = new Set<GatewaySession>();
  private readonly telemetry: RequestTelemetry;
  private readonly classes: ClassAdmission;
  private readonly leases: LeaseChecks;
  private readonly authorizer: CatalogAuthorizer;
  private catalogListeners: (() => void)[] = [];
  private hasHadUsableCatalog = false;
  private isStopping = false;
  private isDraining = false;

  constructor(
    private readonly dependencies: GatewayDependencies,
    private readonly signal: AbortSignal,
  ) {
    this.telemetry = new RequestTelemetry(dependencies.log, dependencies.meter);
    this.classes = new ClassAdmission(dependencies.clock);
    this.authorizer = new CatalogAuthorizer(
      () => this.index,
      dependencies.catalogLease,
    );
    this.leases = new MemberVerifiedLeases(dependencies.leases, service => {
      return this.dispatcherOf(service);
    });
  }

  get catalogVersion(): number {
    return this.index?.version ?? 0;
  }

  /** Whether it has a usable catalog and members, and accepts traffic. */
  get isReady(): boolean {
    return !this.isStopping && this.hasUsableCatalog && this.siteOf.size > 0;
  }

  /** Whether the catalog is recent enough to authorize callers. */
  get hasUsableCatalog(): boolean {
    if (this.index === undefined) return false;
    return this.index.accounts.isEmpty || this.dependencies.catalogLease.isHeld;
  }

  get sessionCount(): number {
    return this.sessions.size;
  }

  /** Calls back once there is a usable catalog; the result unsubscribes. */
  onceCatalogUsable(listener: () => void): () => void {
    this.catalogListeners.push(listener);
    return () => {
      this.catalogListeners = this.catalogListeners.filter(other => {
        return other !== listener;
      });
    };
  }

  /** Sets the catalog if it is newer than the current one. */
  setCatalog(catalog: Catalog): void {
    const {version} = catalog;
    if (version <= this.catalogVersion) return;
    this.index = new CatalogIndex(catalog);
    this.classes.setRoutes(catalog.routes);
    this.notifyCatalogListeners();
    const {routes, services, accounts} = catalog;
    this.dependencies.log.info('A catalog is in force.', {
      version,
      routes: routes.length,
      accounts: accounts.length,
    });
    for (const session of this.sessions) session.post({kind: 'check access'});
    this.definitions = new Map(services.map(entry => [entry.service, entry]));
    for (const definition of services) {
      const {service} = definition;
      const isServed = this.servesDirectly(service);
      const dispatcher = isServed
        ? this.dispatcherOf(service)
        : this.dispatchers.get(service);
      dispatcher?.post(this.definitionOf(definition));
    }
  }

  /** Called when control has confirmed the current catalog. */
  notifyCatalogConfirmed(): void {
    this.notifyCatalogListeners();
  }

  /** Whether it ever had a usable catalog; then it refuses without a wait. */
  get hadUsableCatalog(): boolean {
    return this.hasHadUsableCatalog;
  }

  private notifyCatalogListeners(): void {
    if (!this.hasUsableCatalog) return;
    this.hasHadUsableCatalog = true;
    for (const listener of this.catalogListeners.splice(0)) listener();
  }

  setMembers({members, proxyCount}: FleetMembers): void {
    const changed = this.members.update(members);
    this.siteOf = new Map(members.map(({instance, site}) => [instance, site]));
    const isNewCount = proxyCount > 0 && proxyCount !== this.proxyCount;
    if (isNewCount) this.proxyCount = proxyCount;
    // Without poolers, a service's connections are divided among all proxies.
    this.sendMembers(service => {
      return changed.has(service) || (isNewCount && !this.isPooled(service));
    });
  }

  /** Updates the primaries of some services. */
  setPrimaryAssignments(assignments: readonly PrimaryAssignment[]): void {
    for (const assignment of assignments) {
      this.assignments.set(assignment.service, assignment);
      this.dispatchers
        .get(assignment.service)
        ?.post({kind: 'primary', assignment});
    }
  }

  /** Sets the list of proxies that keep connections for others. */
  setPoolers({poolers}: FleetPoolers): void {
    const changed = this.poolers.update(poolers);
    for (const service of changed) {
      if (this.isPoolerFor(service)) this.dispatcherOf(service);
    }
    this.sendMembers(service => changed.has(service));
  }

  /** The time on the clock that request ages refer to, in milliseconds. */
  now(): number {
    return this.dependencies.clock.now();
  }

  /** Expected queue waits of a service; empty without admission by class. */
  queueWaitsOf(service: string): CheckoutWait[] {
    if (!this.classes.isEnabled(service)) return [];
    return this.dispatchers.get(service)?.expectedWaits ?? [];
  }

  /** Creates a session's context, also for work sent by other proxies. */
  makeSessionContext(
    {caller, user}: SessionIdentity,
    sessionState: GatewaySessionState,
    route: () => DatabaseRoute | undefined,
    signal: AbortSignal,
    startupWaitMs = () => 0,
    callerGone = signal,
  ): SessionContext {
    return {
      startupWaitMs,
      caller,
      user,
      sessionState,
      clock: this.dependencies.clock,
      leases: this.leases,
      limits: this.dependencies.limits,
      telemetry: this.telemetry,
      classes: this.classes,
      signal,
      callerGone,
      route,
      dispatcherOf: service => this.dispatcherOf(service),
      runnerOf: service => new RateLimitedRunner(this.runnerOf(service, user)),
    };
  }

  /** Authenticates a caller of a database; logs a denial. */
  admit(
    database: string,
    credential: string,
  ): Result<CallerAccess, AccessDenial> {
    return this.authorizer.admit(database, credential).mapErr(denial => {
      this.telemetry.recordRejectedSession(database, denial);
      return denial;
    });
  }

  /**
   * Begins a session; it ends with the signal.
   *
   * @param startupWaitMs How long the caller's startup took, in milliseconds.
   */
  openSession(
    database: string,
    access: CallerAccess,
    channel: CallerChannel,
    signal: AbortSignal,
    startupWaitMs = 0,
  ): GatewaySession {
    let isAnswered = false;
    const context = this.makeSessionContext(
      access,
      new GatewaySessionState(),
      () => this.index?.route(database),
      signal,
      () => (isAnswered ? 0 : startupWaitMs),
    );
    const sessionChannel = {
      sendReply: (reply: CallerReply) => {
        isAnswered = true;
        channel.sendReply(reply);
      },
      close: () => channel.close(),
    };
    const session = new GatewaySession(context, access, sessionChannel, () => {
      return this.index?.catalog.transactionIdleMs ?? 0;
    });
    this.sessions.add(session);
    detach(
      'session',
      session.start().then(() => this.sessions.delete(session)),
    );
    if (this.isDraining) session.post({kind: 'drain'});
    return session;
  }

  /** Stops accepting traffic; each session ends once it is idle. */
  drain(): void {
    this.isStopping = true;
    this.isDraining = true;
    for (const session of this.sessions) session.post({kind: 'drain'});
  }

  /** Aborts open transactions and ends all sessions. */
  abortTransactions(): void {
    for (const session of this.sessions) session.post({kind: 'abort'});
  }

  /** Fails the readiness check; sessions continue. */
  markNotReady(): void {
    this.isStopping = true;
  }

  private dispatcherOf(service: string): ServiceDispatcher {
    const existing = this.dispatchers.get(service);
    if (existing) return existing;
    const {dependencies} = this;
    const dispatcher = new ServiceDispatcher({
      ...dependencies,
      service,
      onDidAssessPrimary: (instance, trouble) => {
        dependencies.onDidAssessPrimary({service, instance, trouble});
      },
    });
    detach('dispatcher', dispatcher.start(this.signal));
    this.dispatchers.set(service, dispatcher);
    const definition = this.definitions.get(service);
    if (definition) dispatcher.post(this.definitionOf(definition));
    this.sendMembersTo(dispatcher, service);
    const assignment = this.assignments.get(service);
    if (assignment) dispatcher.post({kind: 'primary', assignment});
    return dispatcher;
  }

  private definitionOf(definition: ServiceEntry): DispatcherMessage {
    const usesClasses = this.classes.isEnabled(definition.service);
    return {kind: 'definition', definition, usesClasses};
  }

  /** A pooler runs only shared work itself; accounts may use another one. */
  private runnerOf(service: string, user: MemberUser): StatementRunner {
    if (!this.isPooled(service)) return LOCAL_RUNNER;
    const isOwn = user === SHARED_USER && this.isPoolerFor(service);
    return isOwn ? LOCAL_RUNNER : this.dependencies.pooledRunner;
  }

  /** Whether poolers keep the connections of a service. */
  private isPooled(service: string): boolean {
    return this.poolers.get(service).length > 0;
  }

  private isPoolerFor(service: string): boolean {
    const poolers = this.poolers.get(service);
    return poolers.some(
      ({instance}) => instance === this.dependencies.instance,
    );
  }

  private servesDirectly(service: string): boolean {
    return !this.isPooled(service) || this.isPoolerFor(service);
  }

  /** The instances that share the connections of a service. */
  private peersOf(service: string): ConnectionPeers {
    const poolers = this.poolers.get(service);
    if (!this.isPoolerFor(service)) {
      const isPooledElsewhere = this.isPooled(service);
      return {
        instanceCount: this.proxyCount,
        sameRegionCount: 0,
        isPooledElsewhere,
      };
    }
    const {region, regionOf} = this.dependencies;
    const sameRegion = poolers.filter(({site}) => regionOf(site) === region);
    return {
      instanceCount: poolers.length,
      sameRegionCount: sameRegion.length,
      isPooledElsewhere: false,
    };
  }

  /** The region of a service's primary; undefined if it is unknown. */
  primaryRegionOf(service: string): string | undefined {
    const instance = this.assignments.get(service)?.instance;
    const site = this.siteOf.get(instance ?? '');
    return site === undefined ? undefined : this.dependencies.regionOf(site);
  }

  private sendMembers(hasChanged: (service: string) => boolean): void {
    for (const [service, dispatcher] of this.dispatchers) {
      if (hasChanged(service)) this.sendMembersTo(dispatcher, service);
    }
  }

  private sendMembersTo(dispatcher: ServiceDispatcher, service: string): void {
    const members = this.members.get(service);
    const peers = this.peersOf(service);
    dispatcher.post({kind: 'members', members, peers});
  }
}
