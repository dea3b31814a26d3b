import type {Clock} from '../../base/common/clock';
import {
  serviceName,
  type ServiceName,
  type SiteId,
} from '../../base/common/ids';
import {createChildController} from '../../base/node/timers';
import {
  TargetDirectory,
  type PositionSample,
  type TargetKey,
} from '../../services/announcement/common/target_directory';
import {
  AnnouncementObserver,
  type TargetListener,
} from '../../services/announcement/node/announcement_observer';
import type {Settings} from '../../services/settings/common/settings';
import type {TargetStatus} from '../../schema/generated/announcement';
import {
  type LeaseReturn,
  type LeaseGrant,
  type FailureReport,
} from '../../schema/generated/control';
import {ServiceRouter} from './service_router';

interface RunningService {
  readonly router: ServiceRouter;
  readonly controller: AbortController;
}

/** The services of this proxy, each with the router task that owns it. */
export class ProxyServices implements TargetListener {
  readonly directory = new TargetDirectory();
  readonly observer: AnnouncementObserver;
  private readonly running = new Map<ServiceName, RunningService>();
  private readonly reportListeners = new Set<() => void>();

  constructor(
    private settings: Settings,
    private readonly site: SiteId,
    readonly clock: Clock,
    private readonly signal: AbortSignal,
  ) {
    this.observer = new AnnouncementObserver(this.directory, clock, this);
    this.applySettings(settings);
  }

  /** Calls the listener when a report should be sent to control soon. */
  onDidHaveReport(listener: () => void): void {
    this.reportListeners.add(listener);
  }

  router(service: ServiceName): ServiceRouter | undefined {
    return this.running.get(service)?.router;
  }

  all(): ReadonlyMap<ServiceName, {readonly router: ServiceRouter}> {
    return this.running;
  }

  /** Applies settings: starts, updates and stops services. */
  applySettings(settings: Settings): void {
    this.settings = settings;
    for (const [service, {controller}] of this.running) {
      if (settings.services.has(service)) continue;
      controller.abort();
      this.running.delete(service);
    }
    for (const [service, updated] of settings.services) {
      const current = this.running.get(service);
      if (current) current.router.post({kind: 'settings', settings: updated});
      else this.startService(service);
    }
  }

  /** Applies a grant of control; without a request time it was pushed. */
  onGrant(
    grant: LeaseGrant,
    requestedAt: number | undefined,
    now: number,
  ): void {
    for (const {record} of grant.services) {
      if (!record) continue;
      const router = this.router(serviceName(record.name));
      router?.post({kind: 'record', record});
    }
    const blocked = new Set(grant.closedServices);
    for (const [service, {router}] of this.running) {
      if (!blocked.has(service)) continue;
      const sentAt = requestedAt ?? -Infinity;
      router.post({kind: 'writesBlocked', requestedAt: sentAt, repliedAt: now});
    }
  }

  /** Extends the leases on the given terms, by the name of the service. */
  extendLeases(
    terms: ReadonlyMap<string, number>,
    requestedAt: number,
    leaseMs: number,
  ): void {
    for (const [service, {router}] of this.running) {
      const term = terms.get(service);
      if (term !== undefined) {
        router.post({kind: 'lease', term, requestedAt, leaseMs});
      }
    }
  }

  /** Reports of primaries that seem to have failed. */
  failureReports(): FailureReport[] {
    return [...this.running.values()].flatMap(({router}) => {
      const report = router.failureReport();
      return report && isReportable(report) ? [report] : [];
    });
  }

  /** The terms whose leases this proxy has returned, by service. */
  leaseReturns(): LeaseReturn[] {
    return [...this.running.values()].flatMap(({router}) => {
      const leaseReturn = router.leaseReturn();
      return leaseReturn ? [leaseReturn] : [];
    });
  }

  onDidChangeTarget(key: TargetKey, status: TargetStatus | undefined): void {
    this.router(key.service)?.post({kind: 'target', key, status});
  }

  onDidSample(key: TargetKey, sample: PositionSample): void {
    this.router(key.service)?.post({kind: 'sample', key, sample});
  }

  /** Only control sends orders to targets. */
  onDidReplyToOrder(): void {}

  private startService(service: ServiceName): void {
    const controller = createChildController(this.signal);
    const router = new ServiceRouter(
      {
        service,
        site: this.site,
        directory: this.directory,
        system: this.settings.system,
        clock: this.clock,
        siteLatency: (from, to) => this.settings.oneWayLatencyMs(from, to),
        ping: key => this.observer.ping(key),
        onDidHaveReport: () => this.notifyReportListeners(),
      },
      this.settings.services.get(service)!,
      controller.signal,
    );
    router.start();
    this.running.set(service, {router, controller});
  }

  private notifyReportListeners(): void {
    for (const listener of this.reportListeners) listener();
  }
}

/** Shortest silence or confirmation delay that is reported. */
const MIN_REPORTED_MS = 100;

/** Healthy services are left out, to keep requests small. */
function isReportable({
  silentMs,
  refused,
  unconfirmedMs,
}: FailureReport): boolean {
  const isSilent = silentMs >= MIN_REPORTED_MS;
  return refused || isSilent || unconfirmedMs >= MIN_REPORTED_MS;
}
