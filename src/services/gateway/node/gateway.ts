import type {CallerName, MemberUser} from '../../../base/common/ids';
import type {Result} from '../../../base/common/outcome';
import type {Clock} from '../../../base/common/clock';
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
  /** For how long control's word on keys is good. */
  readonly catalogLease: CatalogLease;
  /** How much accounts may ask of all instances together. */
  readonly limits: OperationLimits;
  /** What control hands out of the members' connections. */
  readonly connectionQuota: ConnectionQuota;
  readonly statusReader: StatusReader;
  readonly clock: Clock;
  readonly log: Log;
  readonly meter: GatewayMeter;
  /** The name of this instance among the poolers. */
  readonly instance: string;
  /** Runs work of services whose connections other proxies keep. */
  readonly pooledRunner: StatementRunner;
  onDidAssessPrimary(report: PrimaryReport): void;
}

/** Who the work of a session is for. */
export interface SessionIdentity {
  readonly caller: CallerName;
  readonly user: MemberUser;
}

/** The part of a proxy that serves callers by the catalog in force. */
export class Gateway {
  private index: CatalogIndex | undefined;
  private readonly members = new EntriesByService(MEMBER_COMPARER);
  private siteOf: ReadonlyMap<string, string> = new Map();
  private proxies = 1;
  private readonly poolers = new EntriesByService(POOLER_COMPARER);
  private readonly leads = new Map<string, PrimaryAssignment>();
  private definitions = new Map<string, ServiceEntry>();
  private readonly dispatchers = new Map<string, ServiceDispatcher>();
  private readonly sessions = new Set<GatewaySession>();
  private readonly journal: RequestTelemetry;
  private readonly classes: ClassAdmission;
  private readonly proofs: LeaseChecks;
  private readonly access: CatalogAuthorizer;
  private waitingToKnow: (() => void)[] = [];
  private informedOnce = false;
  private stopping = false;
  private draining = false;

  constructor(
    private readonly around: GatewayDependencies,
    private readonly signal: AbortSignal,
  ) {
    this.journal = new RequestTelemetry(around.log, around.meter);
    this.classes = new ClassAdmission(around.clock);
    this.access = new CatalogAuthorizer(() => this.index, around.catalogLease);
    this.proofs = new MemberVerifiedLeases(around.leases, service => {
      return this.dispatcherOf(service);
    });
  }

  get catalogVersion(): number {
    return this.index?.version ?? 0;
  }

  /** Whether it knows what to serve, and with whom. */
  get isReady(): boolean {
    return !this.stopping && this.hasUsableCatalog && this.siteOf.size > 0;
  }

  /** Whether it can tell callers what they may do. */
  get hasUsableCatalog(): boolean {
    if (this.index === undefined) return false;
    return this.index.accounts.isEmpty || this.around.catalogLease.isHeld;
  }

  get sessionCount(): number {
    return this.sessions.size;
  }

  /** Calls back once it is informed; the result takes the call back. */
  onceCatalogUsable(listener: () => void): () => void {
    this.waitingToKnow.push(listener);
    return () => {
      this.waitingToKnow = this.waitingToKnow.filter(other => {
        return other !== listener;
      });
    };
  }

  /** Takes a catalog; never one that is older than that in force. */
  setCatalog(catalog: Catalog): void {
    const {version} = catalog;
    if (version <= this.catalogVersion) return;
    this.index = new CatalogIndex(catalog);
    this.classes.setRoutes(catalog.routes);
    this.greetWaiting();
    const {routes, services, accounts} = catalog;
    this.around.log.info('A catalog is in force.', {
      version,
      routes: routes.length,
      accounts: accounts.length,
    });
    for (const session of this.sessions) session.post({kind: 'check'});
    this.definitions = new Map(services.map(one => [one.service, one]));
    for (const definition of services) {
      const {service} = definition;
      const isServed = this.servesItself(service);
      const dispatcher = isServed
        ? this.dispatcherOf(service)
        : this.dispatchers.get(service);
      dispatcher?.post(this.definitionOf(definition));
    }
  }

  /** Takes note that control confirmed the catalog in force. */
  notifyCatalogConfirmed(): void {
    this.greetWaiting();
  }

  /** Whether it could tell callers once; from then on it refuses at once. */
  get hadUsableCatalog(): boolean {
    return this.informedOnce;
  }

  private greetWaiting(): void {
    if (!this.hasUsableCatalog) return;
    this.informedOnce = true;
    for (const listener of this.waitingToKnow.splice(0)) listener();
  }

  setMembers({members, proxyCount}: FleetMembers): void {
    const changed = this.members.update(members);
    this.siteOf = new Map(members.map(({instance, site}) => [instance, site]));
    const isCounted = proxyCount > 0 && proxyCount !== this.proxies;
    if (isCounted) this.proxies = proxyCount;
    // The number of proxies matters where no poolers keep the connections.
    this.tellMembers(service => {
      return changed.has(service) || (isCounted && !this.isPooled(service));
    });
  }

  /** Takes changes of who leads which service. */
  setPrimaryAssignments(leads: readonly PrimaryAssignment[]): void {
    for (const lead of leads) {
      this.leads.set(lead.service, lead);
      this.dispatchers.get(lead.service)?.post({kind: 'primary', lead});
    }
  }

  /** Takes the list of proxies that keep connections for others. */
  setPoolers({poolers}: FleetPoolers): void {
    const changed = this.poolers.update(poolers);
    for (const service of changed) {
      if (this.isPoolerOf(service)) this.dispatcherOf(service);
    }
    this.tellMembers(service => changed.has(service));
  }

  /** Time on the clock that ages of requests are counted by, in ms. */
  now(): number {
    return this.around.clock.now();
  }

  /** How long new work of a service would wait here, where it is by class. */
  queueWaitsOf(service: string): CheckoutWait[] {
    if (!this.classes.isEnabled(service)) return [];
    return this.dispatchers.get(service)?.expectedWaits ?? [];
  }

  /** What the work of one session needs, for work of other proxies too. */
  makeSessionContext(
    {caller, user}: SessionIdentity,
    memory: GatewaySessionState,
    route: () => DatabaseRoute | undefined,
    signal: AbortSignal,
    greetingMs = () => 0,
    gone = signal,
  ): SessionContext {
    return {
      startupWaitMs: greetingMs,
      caller,
      user,
      sessionState: memory,
      clock: this.around.clock,
      leases: this.proofs,
      limits: this.around.limits,
      telemetry: this.journal,
      classes: this.classes,
      signal,
      callerGone: gone,
      route,
      dispatcherOf: service => this.dispatcherOf(service),
      runnerOf: service => new RateLimitedRunner(this.runnerOf(service, user)),
    };
  }

  /** Finds out who a caller of a database is. */
  admit(
    database: string,
    credential: string,
  ): Result<CallerAccess, AccessDenial> {
    return this.access.admit(database, credential).mapErr(denial => {
      this.journal.recordRejectedSession(database, denial);
      return denial;
    });
  }

  /**
   * Begins a session; it ends with the signal.
   *
   * @param greetingMs How long the caller waited for it, in milliseconds.
   */
  openSession(
    database: string,
    admission: CallerAccess,
    channel: CallerChannel,
    signal: AbortSignal,
    greetingMs = 0,
  ): GatewaySession {
    let isAnswered = false;
    const context = this.makeSessionContext(
      admission,
      new GatewaySessionState(),
      () => this.index?.route(database),
      signal,
      () => (isAnswered ? 0 : greetingMs),
    );
    const answered = {
      answer: (reply: CallerReply) => {
        isAnswered = true;
        channel.answer(reply);
      },
      close: () => channel.close(),
    };
    const session = new GatewaySession(context, admission, answered, () => {
      return this.index?.catalog.transactionIdleMs ?? 0;
    });
    this.sessions.add(session);
    void session.start().then(() => this.sessions.delete(session));
    if (this.draining) session.post({kind: 'drain'});
    return session;
  }

  /** Takes no more traffic; sessions end where nothing is under way. */
  drain(): void {
    this.stopping = true;
    this.draining = true;
    for (const session of this.sessions) session.post({kind: 'drain'});
  }

  /** Ends open transactions too. */
  abortTransactions(): void {
    for (const session of this.sessions) session.post({kind: 'cut'});
  }

  /** Says that it takes no more traffic, while sessions go on. */
  markNotReady(): void {
    this.stopping = true;
  }

  private dispatcherOf(service: string): ServiceDispatcher {
    const known = this.dispatchers.get(service);
    if (known) return known;
    const {around} = this;
    const dispatcher = new ServiceDispatcher({
      ...around,
      service,
      onDidAssessPrimary: (instance, trouble) => {
        around.onDidAssessPrimary({service, instance, trouble});
      },
    });
    void dispatcher.start(this.signal);
    this.dispatchers.set(service, dispatcher);
    const definition = this.definitions.get(service);
    if (definition) dispatcher.post(this.definitionOf(definition));
    this.tellMembersTo(dispatcher, service);
    const lead = this.leads.get(service);
    if (lead) dispatcher.post({kind: 'primary', lead});
    return dispatcher;
  }

  private definitionOf(definition: ServiceEntry): DispatcherMessage {
    const isByClass = this.classes.isEnabled(definition.service);
    return {kind: 'definition', definition, isByClass};
  }

  /** Work of an account may be another pooler's, even where this is one. */
  private runnerOf(service: string, user: MemberUser): StatementRunner {
    if (!this.isPooled(service)) return LOCAL_RUNNER;
    const isOwn = user === SHARED_USER && this.isPoolerOf(service);
    return isOwn ? LOCAL_RUNNER : this.around.pooledRunner;
  }

  /** Whether some proxies keep the connections of a service for all. */
  private isPooled(service: string): boolean {
    return this.poolers.get(service).length > 0;
  }

  private isPoolerOf(service: string): boolean {
    const poolers = this.poolers.get(service);
    return poolers.some(({instance}) => instance === this.around.instance);
  }

  private servesItself(service: string): boolean {
    return !this.isPooled(service) || this.isPoolerOf(service);
  }

  /** Instances that share the connections of a service with this one. */
  private sharersOf(service: string): ConnectionPeers {
    const poolers = this.poolers.get(service);
    if (!this.isPoolerOf(service)) {
      const elsewhere = this.isPooled(service);
      return {
        instanceCount: this.proxies,
        sameRegionCount: 0,
        isPooledElsewhere: elsewhere,
      };
    }
    const {region, regionOf} = this.around;
    const near = poolers.filter(({site}) => regionOf(site) === region);
    return {
      instanceCount: poolers.length,
      sameRegionCount: near.length,
      isPooledElsewhere: false,
    };
  }

  /** The region of the primary of a service; undefined where none is known. */
  primaryRegionOf(service: string): string | undefined {
    const instance = this.leads.get(service)?.instance;
    const site = this.siteOf.get(instance ?? '');
    return site === undefined ? undefined : this.around.regionOf(site);
  }

  private tellMembers(isNews: (service: string) => boolean): void {
    for (const [service, dispatcher] of this.dispatchers) {
      if (isNews(service)) this.tellMembersTo(dispatcher, service);
    }
  }

  private tellMembersTo(dispatcher: ServiceDispatcher, service: string): void {
    const members = this.members.get(service);
    const sharers = this.sharersOf(service);
    dispatcher.post({kind: 'members', members, sharers});
  }
}
