import type {Clock} from '../../base/common/clock';
import {
  instanceId,
  siteId,
  type InstanceId,
  type ServiceName,
  type SiteId,
} from '../../base/common/ids';
import {childController} from '../../base/node/timers';
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

const LEAST_USABLE = 1;
const LAG_WEIGHT = 0.1;

/** What the targets of a service are judged by. */
export interface TargetSurroundings {
  readonly service: ServiceName;
  readonly site: SiteId;
  readonly directory: TargetDirectory;
  readonly history: OffsetHistory;
  readonly system: SystemSettings;
  readonly clock: Clock;
  readonly distance: SiteLatency;
  onDidFree(): void;
}

interface PooledTarget {
  readonly pool: TargetPool;
  readonly controller: AbortController;
  /** Smoothed time from the primary's writing to this one's applying. */
  lagMs: number;
}

/** The targets of one service as this proxy sees them, with their pools. */
export class ServiceTargets {
  readonly ejection = new OutlierEjection(LEAST_USABLE);
  private readonly targets = new Map<InstanceId, PooledTarget>();

  constructor(
    private readonly around: TargetSurroundings,
    private settings: ServiceSettings,
    private readonly signal: AbortSignal,
  ) {}

  setSettings(settings: ServiceSettings): void {
    this.settings = settings;
    for (const {pool} of this.targets.values()) {
      pool.setMaxConnections(this.capacity);
    }
  }

  /** How many connections to one target this proxy may have. */
  get capacity(): number {
    const {connections, proxies} = this.settings;
    return Math.max(1, Math.floor(connections / proxies));
  }

  /** A target said something: keeps a pool for this run of it. */
  onTarget(target: TargetObservation): void {
    const {instance} = target.key;
    const {incarnation, address} = target.status;
    const known = this.targets.get(instance);
    const same =
      known?.pool.incarnation === incarnation &&
      known.pool.login.address === address;
    if (same) return;
    known?.controller.abort();
    const controller = childController(this.signal);
    const {service, clock} = this.around;
    const pool = new TargetPool(
      {address, user: 'bulrushstage', database: service},
      incarnation,
      this.capacity,
      clock,
      {
        onDidRelease: () => this.around.onDidFree(),
        onDidFailToOpen: () => {},
      },
      controller.signal,
    );
    this.targets.set(instance, {pool, controller, lagMs: 0});
  }

  /** Notes how far behind a replica was seen to be. */
  onAge(instance: InstanceId, ageMs: number): void {
    const target = this.targets.get(instance);
    if (!target || ageMs === Infinity) return;
    target.lagMs += (ageMs - target.lagMs) * LAG_WEIGHT;
  }

  poolOf(instance: InstanceId): TargetPool | undefined {
    return this.targets.get(instance)?.pool;
  }

  /** Gives up what still runs on a target that leads no more. */
  abandon(instance: InstanceId): void {
    this.targets.get(instance)?.pool.destroyInUse();
  }

  /** Some connection is free to take a transaction. */
  get hasFree(): boolean {
    return [...this.targets.values()].some(({pool}) => pool.idleCount > 0);
  }

  maintain(): void {
    for (const {pool} of this.targets.values()) pool.maintain();
  }

  /** All members as candidates for a read. */
  candidates(
    record: ServiceRecord,
    lineage: TermHistory,
    primaryUsable: boolean,
  ): ReadCandidate[] {
    const {directory, service} = this.around;
    const now = this.around.clock.now();
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
        lineage,
        primaryUsable,
        isDrained,
        now,
      );
    });
  }

  /** The primary alone, where nothing else will do. */
  primaryCandidate(record: ServiceRecord, usable: boolean): ReadCandidate[] {
    const instance = instanceId(record.primary);
    const pool = this.targets.get(instance)?.pool;
    if (!pool || !usable) return [];
    const isPrimary = true;
    const nearness = {ageMs: 0, latencyMs: 0, lagMs: 0, appliedOffset: 0};
    const load = {freeCount: pool.idleCount, runningCount: pool.inUseCount};
    return [{instance, isPrimary, isUsable: usable, ...nearness, ...load}];
  }

  /** The primary in force, if it says so itself and can be reached. */
  primary(record: ServiceRecord): TargetObservation | undefined {
    if (record.phase !== Phase.PHASE_STEADY) return undefined;
    const {directory, service, clock} = this.around;
    const target = directory.targetsOf(service).find(({key}) => {
      return key.instance === record.primary;
    });
    if (!target || !isConnected(target, clock.now())) return undefined;
    const {role, term, incarnation} = target.status;
    const leads = role === Role.ROLE_PRIMARY && term === record.term;
    return leads && incarnation === record.primaryIncarnation
      ? target
      : undefined;
  }

  private candidate(
    target: TargetObservation,
    {pool, lagMs}: PooledTarget,
    record: ServiceRecord,
    lineage: TermHistory,
    primaryUsable: boolean,
    isDrained: boolean,
    now: number,
  ): ReadCandidate {
    const {status, key} = target;
    const {history, distance, site, system} = this.around;
    const isPrimary = key.instance === record.primary;
    const answers =
      isConnected(target, now) && silenceMsOf(target, now) < system.silenceMs;
    const welcome = !isDrained && !status.leaving;
    const healthy = !this.ejection.isEjected(key.instance, now);
    // Past the common part a member may show writes that were given up.
    const common = lineage.commonOffset(status.logTerm);
    const isPrefix = status.appliedOffset <= common;
    const limit = this.ejection.concurrencyLimitOf(key.instance, now);
    return {
      instance: key.instance,
      isPrimary,
      isUsable: isPrimary
        ? primaryUsable
        : answers && welcome && healthy && isPrefix,
      appliedOffset: status.appliedOffset,
      ageMs: history.ageOf(status.appliedOffset, now),
      freeCount: pool.inUseCount < limit ? pool.idleCount : 0,
      runningCount: pool.inUseCount,
      latencyMs: distance(site, siteId(status.site)),
      lagMs,
    };
  }
}
