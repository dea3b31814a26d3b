import type {Clock} from '../../base/common/clock';
import {instanceId, serviceName} from '../../base/common/ids';
import type {Log} from '../../base/node/log';
import {
  isConnected,
  silenceMsOf,
  type TargetDirectory,
  type TargetObservation,
} from '../../services/announcement/common/target_directory';
import type {AnnouncementObserver} from '../../services/announcement/node/announcement_observer';
import type {ControlMachine} from '../../services/control_state/common/control_machine';
import {decideFailover} from '../../services/failover/common/failover';
import type {
  FailoverAction,
  FailoverView,
  TargetView,
} from '../../services/failover/common/failover_view';
import type {LeaseRegistry} from '../../services/lease/common/lease_registry';
import type {Settings} from '../../services/settings/common/settings';
import type {Order} from '../../schema/generated/announcement';
import type {
  MemberRecord,
  Phase,
  ServiceRecord,
} from '../../schema/generated/control';
import type {ControlLog} from './control_log';

const REPEAT_ORDER_MS = 150;
/** A change that waits this long for members is reported as blocked. */
const BLOCKED_PATIENCE_MS = 1_000;

interface SeenPhase {
  readonly term: number;
  readonly phase: Phase;
  readonly at: number;
}

interface BlockedChange {
  readonly term: number;
  readonly since: number;
  reported: string;
}

/** What the driver asks of its surroundings. */
export interface FailoverSurroundings {
  readonly machine: ControlMachine;
  readonly directory: TargetDirectory;
  readonly observer: AnnouncementObserver;
  readonly leases: LeaseRegistry;
  readonly log: ControlLog;
  readonly clock: Clock;
  settings(): Settings;
}

/** Carries out the failover decisions of one leadership. */
export class FailoverDriver {
  private readonly orderedAt = new Map<string, number>();
  private readonly closedTerms = new Map<string, number>();
  private readonly forcedTerms = new Map<string, number>();
  private readonly phases = new Map<string, SeenPhase>();
  private readonly blocked = new Map<string, BlockedChange>();
  private lastOrderId = 0;

  constructor(
    private readonly around: FailoverSurroundings,
    private readonly leaderSince: number,
    private readonly logger: Log,
  ) {}

  /** Decides and acts for every service. */
  drive(): void {
    for (const record of this.around.machine.state.services) {
      const view = this.viewOf(record);
      if (!view) continue;
      for (const action of decideFailover(view)) this.act(view, action);
    }
  }

  /** Whether nobody can acknowledge a write below the term being begun. */
  isClosed(record: ServiceRecord): boolean {
    return this.closedTerms.get(record.name) === record.term;
  }

  /** Lets the change that is under way pass without the safety rule. */
  force(service: string): boolean {
    const record = this.around.machine.service(service);
    if (!record) return false;
    this.forcedTerms.set(service, record.term);
    return true;
  }

  private viewOf(record: ServiceRecord): FailoverView | undefined {
    const {machine, leases, clock} = this.around;
    const {services, system} = this.around.settings();
    const settings = services.get(serviceName(record.name));
    if (!settings) return undefined;
    const now = clock.now();
    const drift = 1 + system.clockDriftPercent / 100;
    return {
      record,
      memberCount: settings.members,
      requiredConfirmations: settings.confirmations,
      maxSilenceMs: system.silenceMs,
      maxLeaseMs: system.leaseMs * drift,
      now,
      leaderSince: this.leaderSince,
      phaseAgeMs: now - this.phaseSeenAt(record, now),
      targets: this.targetsOf(record, now),
      proxies: machine.state.proxies.map(proxy => {
        return leases.viewOf(proxy, record.name, now);
      }),
      isForced: this.forcedTerms.get(record.name) === record.term,
    };
  }

  private phaseSeenAt(record: ServiceRecord, now: number): number {
    const {name, term, phase} = record;
    const seen = this.phases.get(name);
    if (seen?.term === term && seen.phase === phase) return seen.at;
    this.phases.set(name, {term, phase, at: now});
    return now;
  }

  private targetsOf(record: ServiceRecord, now: number): TargetView[] {
    const {directory} = this.around;
    const observed = directory.targetsOf(serviceName(record.name));
    const byInstance = new Map(
      observed.map(target => [String(target.key.instance), target]),
    );
    return record.members.map(member => {
      return viewOfTarget(member, byInstance.get(member.instance), now);
    });
  }

  private act(view: FailoverView, action: FailoverAction): void {
    const {name: service, term} = view.record;
    switch (action.kind) {
      case 'begin':
        return this.begin(view.record, action);
      case 'complete':
        return this.complete(view.record, action);
      case 'closed':
        this.closedTerms.set(service, term);
        return;
      case 'blocked':
        return this.onBlocked(view.record, action.reason);
      case 'fence':
      case 'promote': {
        const {instance} = action;
        const value = {term};
        return this.order(view.record, instance, {$case: action.kind, value});
      }
      case 'follow': {
        const {instance, replicationAddress} = action;
        const value = {term, replicationAddress};
        return this.order(view.record, instance, {$case: 'follow', value});
      }
    }
  }

  private begin(
    record: ServiceRecord,
    action: FailoverAction & {kind: 'begin'},
  ): void {
    const {cause, inputs, planned, term} = action;
    const service = record.name;
    const fromTerm = record.term;
    const value = {service, fromTerm, cause, inputs, planned, term};
    const isNew = this.around.log.proposeOnce(`change ${service}`, {
      $case: 'beginChange',
      value,
    });
    if (!isNew) return;
    this.logger.info('Begins a change of primary.', {service, term, cause});
  }

  private complete(
    record: ServiceRecord,
    action: FailoverAction & {kind: 'complete'},
  ): void {
    const {primary, incarnation, base, inputs} = action;
    const {term, name: service} = record;
    const value = {
      service,
      term,
      primary,
      incarnation,
      baseOffset: base.offset,
      baseTerm: base.term,
      inputs,
    };
    const isNew = this.around.log.proposeOnce(`change ${service}`, {
      $case: 'completeChange',
      value,
    });
    if (!isNew) return;
    this.logger.info('Chooses a primary.', {service, term, primary});
  }

  private onBlocked(record: ServiceRecord, reason: string): void {
    const {term, name: service} = record;
    const now = this.around.clock.now();
    const known = this.blocked.get(service);
    if (known?.term !== term) {
      this.blocked.set(service, {term, since: now, reported: ''});
      return;
    }
    // A change is blocked for a moment each time, until members answer.
    if (now - known.since < BLOCKED_PATIENCE_MS) return;
    if (known.reported === reason) return;
    known.reported = reason;
    this.logger.warn('Cannot promote safely.', {service, reason});
    const value = {
      subject: `service ${service}`,
      event: `term ${term} blocked`,
      cause: reason,
      inputs: '',
    };
    void this.around.log.propose({$case: 'record', value});
  }

  private order(
    record: ServiceRecord,
    instance: string,
    action: NonNullable<Order['action']>,
  ): void {
    const {clock, observer} = this.around;
    const name = `${record.name}/${instance} ${action.$case} ${record.term}`;
    const now = clock.now();
    const last = this.orderedAt.get(name) ?? -Infinity;
    if (now - last < REPEAT_ORDER_MS) return;
    this.orderedAt.set(name, now);
    const key = {
      service: serviceName(record.name),
      instance: instanceId(instance),
    };
    observer.sendOrder(key, {orderId: ++this.lastOrderId, action});
  }
}

function viewOfTarget(
  {instance, draining, incarnation: firstIncarnation}: MemberRecord,
  target: TargetObservation | undefined,
  now: number,
): TargetView {
  if (!target) {
    return {
      instance,
      draining,
      firstIncarnation,
      connected: false,
      silentMs: Infinity,
      status: undefined,
      upstreamLostMs: 0,
    };
  }
  const {upstreamLostAt, status} = target;
  return {
    instance,
    draining,
    firstIncarnation,
    connected: isConnected(target, now),
    silentMs: silenceMsOf(target, now),
    status,
    upstreamLostMs: upstreamLostAt === undefined ? 0 : now - upstreamLostAt,
  };
}
