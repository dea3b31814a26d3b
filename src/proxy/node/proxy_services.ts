import type {Clock} from '../../base/common/clock';
import {
  serviceName,
  type ServiceName,
  type SiteId,
} from '../../base/common/ids';
import {childController} from '../../base/node/timers';
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

/** The services of this proxy, each with the task that decides for it. */
export class ProxyServices implements TargetListener {
  readonly directory = new TargetDirectory();
  readonly observer: AnnouncementObserver;
  private readonly running = new Map<ServiceName, RunningService>();
  private readonly newsListeners = new Set<() => void>();

  constructor(
    private settings: Settings,
    private readonly site: SiteId,
    readonly clock: Clock,
    private readonly signal: AbortSignal,
  ) {
    this.observer = new AnnouncementObserver(this.directory, clock, this);
    this.applySettings(settings);
  }

  /** Calls back when control should hear from this proxy soon. */
  onDidHaveNews(listener: () => void): void {
    this.newsListeners.add(listener);
  }

  router(service: ServiceName): ServiceRouter | undefined {
    return this.running.get(service)?.router;
  }

  all(): ReadonlyMap<ServiceName, {readonly router: ServiceRouter}> {
    return this.running;
  }

  /** Puts settings in force: services come, change and go. */
  applySettings(settings: Settings): void {
    this.settings = settings;
    for (const [service, {controller}] of this.running) {
      if (settings.services.has(service)) continue;
      controller.abort();
      this.running.delete(service);
    }
    for (const [service, own] of settings.services) {
      const known = this.running.get(service);
      if (known) known.router.post({kind: 'settings', settings: own});
      else this.startService(service);
    }
  }

  /** Takes in an answer of control. */
  onGrant(grant: LeaseGrant, askedAt: number | undefined, now: number): void {
    for (const {record} of grant.services) {
      if (!record) continue;
      const router = this.router(serviceName(record.name));
      router?.post({kind: 'record', record});
    }
    const closed = new Set(grant.closedServices);
    for (const [service, {router}] of this.running) {
      if (!closed.has(service)) continue;
      const asked = askedAt ?? -Infinity;
      router.post({kind: 'closed', askedAt: asked, answeredAt: now});
    }
  }

  /** Extends the lease on every term that the answer covers. */
  extendLeases(
    terms: ReadonlyMap<string, number>,
    askedAt: number,
    leaseMs: number,
  ): void {
    for (const [service, {router}] of this.running) {
      const term = terms.get(service);
      if (term !== undefined) {
        router.post({kind: 'lease', term, askedAt, leaseMs});
      }
    }
  }

  suspicions(): FailureReport[] {
    return [...this.running.values()].flatMap(({router}) => {
      const suspicion = router.suspicion();
      return suspicion && isSerious(suspicion) ? [suspicion] : [];
    });
  }

  handBacks(): LeaseReturn[] {
    return [...this.running.values()].flatMap(({router}) => {
      const handBack = router.handBack();
      return handBack ? [handBack] : [];
    });
  }

  onDidChangeTarget(key: TargetKey, status: TargetStatus | undefined): void {
    this.router(key.service)?.post({kind: 'target', key, status});
  }

  onDidSample(key: TargetKey, sample: PositionSample): void {
    this.router(key.service)?.post({kind: 'sample', key, sample});
  }

  /** Proxies give no orders. */
  onDidAnswerOrder(): void {}

  private startService(service: ServiceName): void {
    const controller = childController(this.signal);
    const router = new ServiceRouter(
      {
        service,
        site: this.site,
        directory: this.directory,
        system: this.settings.system,
        clock: this.clock,
        distance: (from, to) => this.settings.oneWayLatencyMs(from, to),
        ping: key => this.observer.ping(key),
        onDidHaveNews: () => this.haveNews(),
      },
      this.settings.services.get(service)!,
      controller.signal,
    );
    router.start();
    this.running.set(service, {router, controller});
  }

  private haveNews(): void {
    for (const listener of this.newsListeners) listener();
  }
}

const SERIOUS_SILENCE_MS = 100;

/** Worth a word to control; a steady service costs no bytes. */
function isSerious({silentMs, refused, unconfirmedMs}: FailureReport): boolean {
  const silent = silentMs >= SERIOUS_SILENCE_MS;
  return refused || silent || unconfirmedMs >= SERIOUS_SILENCE_MS;
}
