import {callerName} from '../../../base/common/ids';
import type {Clock} from '../../../base/common/clock';
import type {Log} from '../../../base/node/log';
import type {
  Catalog,
  Member,
  MemberList,
  PrimaryReport,
} from '../../../schema/generated/fleet';
import {CatalogIndex} from '../../catalog/common/catalog';
import {ServiceDispatcher} from '../../dispatch/node/service_dispatcher';
import type {TargetConnector} from '../../target_link/common/target_link';
import type {CallerChannel} from '../common/caller_channel';
import {SessionMemory} from '../common/session_memory';
import type {GatewayMeter} from './gateway_meter';
import {GatewaySession} from './gateway_session';
import {RequestJournal} from './request_journal';
import type {SessionContext} from './session_context';

/** What a gateway is built on. */
export interface GatewaySurroundings {
  readonly region: string;
  regionOf(site: string): string;
  readonly connector: TargetConnector;
  readonly clock: Clock;
  readonly log: Log;
  readonly meter: GatewayMeter;
  onDidJudgePrimary(report: PrimaryReport): void;
}

/** The part of a proxy that serves callers by the catalog in force. */
export class Gateway {
  private index: CatalogIndex | undefined;
  private members: readonly Member[] = [];
  private proxies = 1;
  private readonly dispatchers = new Map<string, ServiceDispatcher>();
  private readonly sessions = new Set<GatewaySession>();
  private readonly journal: RequestJournal;
  private waitingForCatalog: (() => void)[] = [];
  private stopping = false;
  private draining = false;

  constructor(
    private readonly around: GatewaySurroundings,
    private readonly signal: AbortSignal,
  ) {
    this.journal = new RequestJournal(around.log, around.meter);
  }

  get catalogVersion(): number {
    return this.index?.version ?? 0;
  }

  /** Whether it knows what to serve, and with whom. */
  get isReady(): boolean {
    return (
      !this.stopping && this.index !== undefined && this.members.length > 0
    );
  }

  get sessionCount(): number {
    return this.sessions.size;
  }

  get openTransactions(): number {
    return [...this.sessions].filter(one => one.isInTransaction).length;
  }

  /** Calls back once a catalog is known; the result takes the call back. */
  onceCatalogKnown(listener: () => void): () => void {
    this.waitingForCatalog.push(listener);
    return () => {
      this.waitingForCatalog = this.waitingForCatalog.filter(other => {
        return other !== listener;
      });
    };
  }

  /** Takes a catalog; never one that is older than that in force. */
  setCatalog(catalog: Catalog): void {
    const {version} = catalog;
    if (version <= this.catalogVersion) return;
    this.index = new CatalogIndex(catalog);
    for (const listener of this.waitingForCatalog.splice(0)) listener();
    const {routes, services} = catalog;
    const count = routes.length;
    this.around.log.info('A catalog is in force.', {version, routes: count});
    for (const definition of services) {
      const dispatcher = this.dispatcherOf(definition.service);
      dispatcher.post({kind: 'definition', definition});
    }
  }

  setMembers({members, proxies}: MemberList): void {
    this.members = members;
    this.proxies = proxies;
    for (const dispatcher of this.dispatchers.values()) {
      dispatcher.post({kind: 'members', members, proxies});
    }
  }

  /** Whether callers may connect to a database. */
  knows(database: string): boolean {
    return this.index?.route(database) !== undefined;
  }

  /** Begins a session; it ends with the signal. */
  openSession(
    database: string,
    caller: string,
    channel: CallerChannel,
    signal: AbortSignal,
  ): GatewaySession {
    const context: SessionContext = {
      caller: callerName(caller),
      memory: new SessionMemory(),
      clock: this.around.clock,
      journal: this.journal,
      signal,
      route: () => this.index?.route(database),
      dispatcherOf: service => this.dispatcherOf(service),
    };
    const session = new GatewaySession(context, channel, () => {
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
  cut(): void {
    for (const session of this.sessions) session.post({kind: 'cut'});
  }

  /** Says that it takes no more traffic, while sessions go on. */
  announceStop(): void {
    this.stopping = true;
  }

  private dispatcherOf(service: string): ServiceDispatcher {
    const known = this.dispatchers.get(service);
    if (known) return known;
    const {around, members, proxies} = this;
    const dispatcher = new ServiceDispatcher({
      ...around,
      service,
      onDidJudgePrimary: (instance, trouble) => {
        around.onDidJudgePrimary({service, instance, trouble});
      },
    });
    void dispatcher.start(this.signal);
    this.dispatchers.set(service, dispatcher);
    dispatcher.post({kind: 'members', members, proxies});
    return dispatcher;
  }
}
