import type {
  LeaseRequest,
  ProxyRecord,
} from '../../../schema/generated/control';
import type {Position} from '../../position/common/position';
import type {ProxyView} from '../../failover/common/failover_view';

/** A proxy that has been silent for longer counts as detached. */
const ATTACHED_TIMEOUT_MS = 1_000;

interface ReturnedLease {
  readonly belowTerm: number;
  readonly highestAcknowledged: Position | undefined;
}

interface FailureReport {
  readonly unreachableTerm: number;
  readonly unconfirmedTerm: number;
}

interface ProxyState {
  lastGrantedAt: number;
  lastHeardAt: number;
  attached: boolean;
  settingsVersion: number;
  readonly returnedLeases: Map<string, ReturnedLease>;
  reports: Map<string, FailureReport>;
}

/** How long a primary must be silent before a proxy's report of it counts. */
export interface ReportThresholds {
  readonly silenceMs: number;
  readonly unconfirmedMs: number;
}

/**
 * Term leases that the control leader granted to proxies, and those that were
 * returned. Each leader starts with none; leases of earlier leaders expire
 * within the lease time after it was elected.
 */
export class LeaseRegistry {
  private readonly proxies = new Map<string, ProxyState>();

  constructor(private readonly thresholds: ReportThresholds) {}

  /** Records what a proxy reports in its lease request. */
  onRequest(proxy: ProxyRecord, request: LeaseRequest, now: number): void {
    const state = this.stateOf(proxy);
    state.attached = true;
    state.lastHeardAt = now;
    state.settingsVersion = request.settingsVersion;
    for (const {service, belowTerm, highest} of request.handBacks) {
      const earlier = state.returnedLeases.get(service);
      if (earlier && earlier.belowTerm > belowTerm) continue;
      state.returnedLeases.set(service, {
        belowTerm,
        highestAcknowledged: highest,
      });
    }
    state.reports = this.reportsOf(request);
  }

  onGranted(proxy: ProxyRecord, now: number): void {
    this.stateOf(proxy).lastGrantedAt = now;
  }

  onDetached(proxy: ProxyRecord): void {
    this.stateOf(proxy).attached = false;
  }

  isAttached(proxy: ProxyRecord, now: number): boolean {
    const state = this.proxies.get(proxyName(proxy));
    return state !== undefined && this.isFresh(state, now);
  }

  settingsVersionOf(proxy: ProxyRecord): number {
    return this.proxies.get(proxyName(proxy))?.settingsVersion ?? 0;
  }

  /** When the proxy last sent a request; -Infinity if it never did. */
  lastHeardAt(proxy: ProxyRecord): number {
    return this.proxies.get(proxyName(proxy))?.lastHeardAt ?? -Infinity;
  }

  remove(proxy: ProxyRecord): void {
    this.proxies.delete(proxyName(proxy));
  }

  /** The state of a proxy from which failover of a service is decided. */
  viewOf(proxy: ProxyRecord, service: string, now: number): ProxyView {
    const state = this.stateOf(proxy);
    const returned = state.returnedLeases.get(service);
    const report = state.reports.get(service);
    return {
      id: proxyName(proxy),
      attached: this.isFresh(state, now),
      lastGrantedAt: state.lastGrantedAt,
      returnedBelow: returned?.belowTerm ?? 0,
      highestAcknowledged: returned?.highestAcknowledged,
      unreachableTerm: report?.unreachableTerm ?? 0,
      unconfirmedTerm: report?.unconfirmedTerm ?? 0,
    };
  }

  private isFresh(state: ProxyState, now: number): boolean {
    return state.attached && now - state.lastHeardAt < ATTACHED_TIMEOUT_MS;
  }

  private reportsOf(request: LeaseRequest): Map<string, FailureReport> {
    const {silenceMs, unconfirmedMs} = this.thresholds;
    return new Map(
      request.suspicions.map(suspicion => {
        const {service, term, refused} = suspicion;
        const isUnreachable = refused || suspicion.silentMs >= silenceMs;
        const isUnconfirmed = suspicion.unconfirmedMs >= unconfirmedMs;
        return [
          service,
          {
            unreachableTerm: isUnreachable ? term : 0,
            unconfirmedTerm: isUnconfirmed ? term : 0,
          },
        ];
      }),
    );
  }

  private stateOf(proxy: ProxyRecord): ProxyState {
    const name = proxyName(proxy);
    const known = this.proxies.get(name);
    if (known) return known;
    const state: ProxyState = {
      lastGrantedAt: -Infinity,
      lastHeardAt: -Infinity,
      attached: false,
      settingsVersion: 0,
      returnedLeases: new Map(),
      reports: new Map(),
    };
    this.proxies.set(name, state);
    return state;
  }
}

/** Names one incarnation of a proxy. */
export function proxyName({instance, incarnation}: ProxyRecord): string {
  return `${instance}#${incarnation}`;
}
