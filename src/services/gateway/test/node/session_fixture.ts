import {SuspendAwareClock} from '../../../../base/node/suspend_aware_clock';
import {MonotonicClock} from '../../../../base/node/monotonic_clock';
import {
  ClaimedRole,
  Consistency,
  type Catalog,
  type DatabaseRoute,
  type Member,
} from '../../../../schema/generated/fleet';
import {
  makeAssignment,
  makeRenewedLeases,
  renew,
} from '../../../lease/test/common/lease_fixture';
import type {CallerReply, Statement} from '../../../statement/common/statement';
import {CatalogLease} from '../../../account/common/catalog_lease';
import {NO_LIMITS} from './fake_limits';
import {Gateway, type GatewayDependencies} from '../../node/gateway';
import {ConnectionQuota} from '../../../connection_quota/common/connection_quota';
import {GatewayMeter} from '../../node/gateway_meter';
import {LOCAL_RUNNER} from '../../node/statement_runner';
import type {FakeGroup} from './fake_group';

const REVOCATION_MS = 60_000;

/** Creates a route of the service "books". */
export function makeRoute(
  overrides: Partial<DatabaseRoute> = {},
): DatabaseRoute {
  return {
    name: 'r1',
    database: 'db',
    service: 'books',
    consistency: Consistency.CONSISTENCY_SESSION,
    stalenessMs: 2_000,
    statementMs: 800,
    objectiveMs: 1_000,
    priority: 1,
    keyed: false,
    ...overrides,
  };
}

/** Creates a catalog with one service. */
export function makeCatalog(
  routes: readonly DatabaseRoute[],
  overrides: Partial<Catalog> = {},
): Catalog {
  return {
    version: 1,
    routes: [...routes],
    services: [{service: 'books', connections: 16, confirmations: 1}],
    transactionIdleMs: 0,
    accounts: [],
    ...overrides,
  };
}

/** The members of a group as control sends them. */
export function membersOf(group: FakeGroup): Member[] {
  return group.instances.map(instance => ({
    instance,
    service: 'books',
    address: `${instance}:1`,
    site: `site-${instance}`,
    slots: 2,
    draining: false,
    born: 0,
    recovering: false,
    role: group.member(instance).isPrimary
      ? ClaimedRole.CLAIMED_ROLE_PRIMARY
      : ClaimedRole.CLAIMED_ROLE_REPLICA,
  }));
}

/** Creates a log that keeps its lines. */
export function makeLog() {
  const lines: string[] = [];
  const append = (sentence: string, fields: object = {}) => {
    lines.push(`${sentence} ${JSON.stringify(fields)}`);
  };
  return {
    lines,
    log: {info: append, warn: append, error: append, debug: append},
  };
}

/** A caller with a session at a gateway. */
export class TestCaller {
  private readonly pendingReplies: ((reply: CallerReply) => void)[] = [];
  private readonly abortController = new AbortController();
  private readonly session;
  private requestCount = 0;
  isClosed = false;

  constructor(
    private readonly gateway: TestGateway,
    database: string,
    credential = 'c',
  ) {
    const channel = {
      sendReply: (reply: CallerReply) => this.pendingReplies.shift()?.(reply),
      close: () => {
        this.isClosed = true;
        this.abortController.abort();
      },
    };
    const {signal} = this.abortController;
    const admitted = gateway.gateway.admit(database, credential);
    if (admitted.isErr) throw new Error(admitted.error);
    this.session = gateway.gateway.openSession(
      database,
      admitted.value,
      channel,
      signal,
    );
  }

  /** Sends a statement and resolves with its reply. */
  send(statement: Statement): Promise<CallerReply> {
    const requestId = `q${++this.requestCount}`;
    const receivedAt = this.gateway.clock.now();
    this.session.post({
      kind: 'request',
      request: {requestId, statement},
      receivedAt,
    });
    return new Promise(resolve => this.pendingReplies.push(resolve));
  }

  leave(): void {
    this.abortController.abort();
  }
}

/** A gateway in front of a group of fake members. */
export class TestGateway {
  readonly clock = new SuspendAwareClock(new MonotonicClock(), () =>
    Date.now(),
  );
  readonly stop = new AbortController();
  readonly gateway: Gateway;
  readonly captured = makeLog();
  readonly reports: string[] = [];
  /** Unused unless the catalog has accounts. */
  readonly catalogLease = new CatalogLease(REVOCATION_MS, this.clock);
  readonly room = new ConnectionQuota(this.clock);
  readonly leases = makeRenewedLeases(this.clock, this.stop.signal);
  private epoch = 0;

  constructor(
    readonly group: FakeGroup,
    catalog: Catalog,
    over: Partial<GatewayDependencies> = {},
  ) {
    this.gateway = new Gateway(
      {
        region: 'region-a',
        regionOf: () => 'region-a',
        connector: group,
        statusReader: group,
        leases: this.leases,
        catalogLease: this.catalogLease,
        limits: NO_LIMITS,
        connectionQuota: this.room,
        clock: this.clock,
        log: this.captured.log,
        meter: new GatewayMeter(),
        instance: 'proxy-1',
        pooledRunner: LOCAL_RUNNER,
        onDidAssessPrimary: ({instance, trouble}) => {
          this.reports.push(`${instance} ${trouble}`);
        },
        ...over,
      },
      this.stop.signal,
    );
    this.announceMembers();
    this.gateway.setCatalog(catalog);
  }

  /** Sends the members to the gateway and assigns the current primary. */
  announceMembers(): void {
    this.gateway.setMembers({members: membersOf(this.group), proxyCount: 1});
    const primary = membersOf(this.group).find(({role}) => {
      return role === ClaimedRole.CLAIMED_ROLE_PRIMARY;
    });
    if (primary) this.setPrimary(primary.instance);
  }

  /** Assigns a primary, '' for none, and grants leases on it. */
  setPrimary(instance: string): void {
    const assignment = makeAssignment(
      instance,
      instance === '' ? this.epoch : ++this.epoch,
    );
    this.leases.onAssignments([assignment]);
    this.gateway.setPrimaryAssignments([assignment]);
    renew(this.leases);
  }
}

export const READ: Statement = {kind: 'read', item: 'a'};
export const WRITE: Statement = {kind: 'write', item: 'a', data: 'x'};
export const BEGIN: Statement = {kind: 'begin', readOnly: false};
export const BEGIN_READ: Statement = {kind: 'begin', readOnly: true};
export const COMMIT: Statement = {kind: 'commit'};
export const ROLLBACK: Statement = {kind: 'rollback'};
