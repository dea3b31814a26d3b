import type {
  LeaseRequest,
  ProxyRecord,
} from '../../../schema/generated/control';
import type {Position} from '../../position/common/position';
import type {ProxyView} from '../../failover/common/failover_view';

/** A proxy that says nothing for this long counts as detached. */
const DETACHED_MS = 1_000;

interface HandedBack {
  readonly belowTerm: number;
  readonly highest: Position | undefined;
}

interface Reported {
  readonly lostTerm: number;
  readonly unconfirmedTerm: number;
}

interface ProxyState {
  lastGrantAt: number;
  heardAt: number;
  attached: boolean;
  settingsVersion: number;
  readonly handBacks: Map<string, HandedBack>;
  reports: Map<string, Reported>;
}

/** How long a primary must give no sign before a proxy's report counts. */
export interface ReportThresholds {
  readonly silenceMs: number;
  readonly unconfirmedMs: number;
}

/**
 * The control leader's side of term leases: what it granted to each proxy and
 * what each proxy handed back. It starts empty with each leader; what an
 * earlier leader granted is bounded by when this one began.
 */
export class LeaseRegistry {
  private readonly proxies = new Map<string, ProxyState>();

  constructor(private readonly limits: ReportThresholds) {}

  /** Takes in what a proxy says with its question for a lease. */
  onRequest(proxy: ProxyRecord, ask: LeaseRequest, now: number): void {
    const state = this.stateOf(proxy);
    state.attached = true;
    state.heardAt = now;
    state.settingsVersion = ask.settingsVersion;
    for (const {service, belowTerm, highest} of ask.handBacks) {
      const earlier = state.handBacks.get(service);
      if (earlier && earlier.belowTerm > belowTerm) continue;
      state.handBacks.set(service, {belowTerm, highest});
    }
    state.reports = this.reportsOf(ask);
  }

  onGranted(proxy: ProxyRecord, now: number): void {
    this.stateOf(proxy).lastGrantAt = now;
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

  /** When a proxy was last heard of, -Infinity for never. */
  lastHeardAt(proxy: ProxyRecord): number {
    return this.proxies.get(proxyName(proxy))?.heardAt ?? -Infinity;
  }

  forget(proxy: ProxyRecord): void {
    this.proxies.delete(proxyName(proxy));
  }

  /** What a decision about a service needs to know of a proxy. */
  viewOf(proxy: ProxyRecord, service: string, now: number): ProxyView {
    const state = this.stateOf(proxy);
    const handedBack = state.handBacks.get(service);
    const reported = state.reports.get(service);
    return {
      id: proxyName(proxy),
      attached: this.isFresh(state, now),
      lastGrantAt: state.lastGrantAt,
      handedBackBelow: handedBack?.belowTerm ?? 0,
      highestAcknowledged: handedBack?.highest,
      reportsLostTerm: reported?.lostTerm ?? 0,
      reportsUnconfirmedTerm: reported?.unconfirmedTerm ?? 0,
    };
  }

  private isFresh(state: ProxyState, now: number): boolean {
    return state.attached && now - state.heardAt < DETACHED_MS;
  }

  private reportsOf(ask: LeaseRequest): Map<string, Reported> {
    const {silenceMs, unconfirmedMs} = this.limits;
    return new Map(
      ask.suspicions.map(suspicion => {
        const {service, term, refused} = suspicion;
        const lost = refused || suspicion.silentMs >= silenceMs;
        const unconfirmed = suspicion.unconfirmedMs >= unconfirmedMs;
        return [
          service,
          {
            lostTerm: lost ? term : 0,
            unconfirmedTerm: unconfirmed ? term : 0,
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
      lastGrantAt: -Infinity,
      heardAt: -Infinity,
      attached: false,
      settingsVersion: 0,
      handBacks: new Map(),
      reports: new Map(),
    };
    this.proxies.set(name, state);
    return state;
  }
}

/** A proxy's instance and run, as one name. */
export function proxyName({instance, incarnation}: ProxyRecord): string {
  return `${instance}#${incarnation}`;
}
