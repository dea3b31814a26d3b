import type {Clock} from '../../base/common/clock';
import {
  instanceId,
  siteId,
  type InstanceId,
  type ServiceName,
  type SiteId,
} from '../../base/common/ids';
import {createChildController} from '../../base/node/timers';
import {
  isConnected,
  silenceMsOf,
  type TargetDirectory,
  type TargetObservation,
} from '../../services/announcement/common/target_directory';
import {TargetPool} from '../../services/pool/node/target_pool';
import type {
  ReadCandidate,
  SiteLatency,
} from '../../services/routing/common/route_read';
import {OutlierEjection} from '../../services/routing/common/outlier_ejection';
import type {TermHistory} from '../../services/position/common/term_history';
import type {OffsetHistory} from '../../services/routing/common/offset_history';
import type {
  ServiceSettings,
  SystemSettings,
} from '../../services/settings/common/settings';
import {Role} from '../../schema/generated/announcement';
import {Phase, type ServiceRecord} from '../../schema/generated/control';

const MIN_USABLE_COUNT = 1;
const LAG_WEIGHT = 0.1;

/** Dependencies and sources of the data by which targets are rated. */
export interface ServiceTargetsDependencies {
  readonly service: ServiceName;
  readonly site: SiteId;
  readonly directory: TargetDirectory;
  readonly history: OffsetHistory;
  readonly system: SystemSettings;
  readonly clock: Clock;
  readonly siteLatency: SiteLatency;
  onDidFreeConnection(): void;
}

interface PooledTarget {
  readonly pool: TargetPool;
  readonly controller: AbortController;
  /** Moving average of the time by which applying lags the primary. */
  lagMs: number;
}

/** The targets of one service as this proxy observes them, and their pools. */
export class ServiceTargets {
  readonly ejection = new OutlierEjection(MIN_USABLE_COUNT);
  private readonly targets = new Map<InstanceId, PooledTarget>();

  constructor(
    private readonly dependencies: ServiceTargetsDependencies,
    private settings: ServiceSettings,
    private readonly signal: AbortSignal,
  ) {}

  setSettings(settings: ServiceSettings): void {
    this.settings = settings;
    for (const {pool} of this.targets.values()) {
      pool.setMaxConnections(this.connectionQuota);
    }
  }

  /** How many connections this proxy may open to one target. */
  get connectionQuota(): number {
    const {connections, proxies} = this.settings;
    return Math.max(1, Math.floor(connections / proxies));
  }

  /** Replaces the pool of a target if its process or address changed. */
  onTarget(target: TargetObservation): void {
    const {instance} = target.key;
    const {incarnation, address} = target.status;
    const current = this.targets.get(instance);
    const isSameProcess =
      current?.pool.incarnation === incarnation &&
      current.pool.login.address === address;
    if (isSameProcess) return;
    current?.controller.abort();
    const controller = createChildController(this.signal);
    const {service, clock} = this.dependencies;
    const pool = new TargetPool(
      {address, user: 'bulrushstage', database: service},
      incarnation,
      this.connectionQuota,
      clock,
      {
        onDidRelease: () => this.dependencies.onDidFreeConnection(),
        onDidFailToOpen: () => {},
      },
      controller.signal,
    );
    this.targets.set(instance, {pool, controller, lagMs: 0});
  }

  /** Records the staleness of a replica. */
  onAge(instance: InstanceId, ageMs: number): void {
    const target = this.targets.get(instance);
    if (!target || ageMs === Infinity) return;
    target.lagMs += (ageMs - target.lagMs) * LAG_WEIGHT;
  }

  poolOf(instance: InstanceId): TargetPool | undefined {
    return this.targets.get(instance)?.pool;
  }

  /** Closes the checked-out connections to a replaced primary. */
  closeInUse(instance: InstanceId): void {
    this.targets.get(instance)?.pool.destroyInUse();
  }

  /** Whether any target has an idle connection. */
  get hasFreeConnection(): boolean {
    return [...this.targets.values()].some(({pool}) => pool.idleCount > 0);
  }

  maintain(): void {
    for (const {pool} of this.targets.values()) pool.maintain();
  }

  /** All members as candidates for a read, usable or not. */
  candidates(
    record: ServiceRecord,
    termHistory: TermHistory,
    isPrimaryUsable: boolean,
  ): ReadCandidate[] {
    const {directory, service} = this.dependencies;
    const now = this.dependencies.clock.now();
    const draining = new Set(
      record.members
        .filter(member => member.draining)
        .map(({instance}) => instance),
    );
    return directory.targetsOf(service).flatMap(target => {
      const pooled = this.targets.get(target.key.instance);
      if (!pooled) return [];
      const isDrained = draining.has(target.key.instance);
      return this.candidate(
        target,
        pooled,
        record,
        termHistory,
        isPrimaryUsable,
        isDrained,
        now,
      );
    });
  }

  /** The primary as the only candidate; empty if it is not usable. */
  primaryCandidate(record: ServiceRecord, isUsable: boolean): ReadCandidate[] {
    const instance = instanceId(record.primary);
    const pool = this.targets.get(instance)?.pool;
    if (!pool || !isUsable) return [];
    const isPrimary = true;
    const unused = {ageMs: 0, latencyMs: 0, lagMs: 0, appliedOffset: 0};
    const load = {freeCount: pool.idleCount, runningCount: pool.inUseCount};
    return [{instance, isPrimary, isUsable, ...unused, ...load}];
  }

  /** The current primary, if it is connected and reports the same role. */
  primary(record: ServiceRecord): TargetObservation | undefined {
    if (record.phase !== Phase.PHASE_STEADY) return undefined;
    const {directory, service, clock} = this.dependencies;
    const target = directory.targetsOf(service).find(({key}) => {
      return key.instance === record.primary;
    });
    if (!target || !isConnected(target, clock.now())) return undefined;
    const {role, term, incarnation} = target.status;
    const isPrimary = role === Role.ROLE_PRIMARY && term === record.term;
    return isPrimary && incarnation === record.primaryIncarnation
      ? target
      : undefined;
  }

  private candidate(
    target: TargetObservation,
    {pool, lagMs}: PooledTarget,
    record: ServiceRecord,
    termHistory: TermHistory,
    isPrimaryUsable: boolean,
    isDrained: boolean,
    now: number,
  ): ReadCandidate {
    const {status, key} = target;
    const {history, siteLatency, site, system} = this.dependencies;
    const isPrimary = key.instance === record.primary;
    const isResponsive =
      isConnected(target, now) && silenceMsOf(target, now) < system.silenceMs;
    const acceptsWork = !isDrained && !status.leaving;
    const isHealthy = !this.ejection.isEjected(key.instance, now);
    // Beyond the common offset a member may hold writes that were undone.
    const commonOffset = termHistory.commonOffset(status.logTerm);
    const isPrefix = status.appliedOffset <= commonOffset;
    const concurrencyLimit = this.ejection.concurrencyLimitOf(
      key.instance,
      now,
    );
    return {
      instance: key.instance,
      isPrimary,
      isUsable: isPrimary
        ? isPrimaryUsable
        : isResponsive && acceptsWork && isHealthy && isPrefix,
      appliedOffset: status.appliedOffset,
      ageMs: history.ageOf(status.appliedOffset, now),
      freeCount: pool.inUseCount < concurrencyLimit ? pool.idleCount : 0,
      runningCount: pool.inUseCount,
      latencyMs: siteLatency(site, siteId(status.site)),
      lagMs,
    };
  }
}
