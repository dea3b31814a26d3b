import type {Clock} from '../../base/common/clock';
import {instanceId, serviceName} from '../../base/common/ids';
import {detach} from '../../base/node/broken_invariant';
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

const ORDER_RETRY_INTERVAL_MS = 150;
/** Changes are often blocked for a moment, until members reply. */
const BLOCKED_REPORT_DELAY_MS = 1_000;

interface ObservedPhase {
  readonly term: number;
  readonly phase: Phase;
  readonly firstSeenAt: number;
}

interface BlockedChange {
  readonly term: number;
  readonly blockedAt: number;
  reportedReason: string;
}

/** What the failover driver needs from its leadership. */
export interface FailoverDependencies {
  readonly machine: ControlMachine;
  readonly directory: TargetDirectory;
  readonly observer: AnnouncementObserver;
  readonly leases: LeaseRegistry;
  readonly log: ControlLog;
  readonly clock: Clock;
  settings(): Settings;
}

/** Makes and carries out failover decisions during one leadership. */
export class FailoverDriver {
  private readonly orderSentAt = new Map<string, number>();
  private readonly closedTerms = new Map<string, number>();
  private readonly forcedTerms = new Map<string, number>();
  private readonly phases = new Map<string, ObservedPhase>();
  private readonly blockedChanges = new Map<string, BlockedChange>();
  private lastOrderId = 0;

  constructor(
    private readonly dependencies: FailoverDependencies,
    private readonly becameLeaderAt: number,
    private readonly logger: Log,
  ) {}

  /** Decides for each service and performs the resulting actions. */
  drive(): void {
    for (const record of this.dependencies.machine.state.services) {
      const view = this.makeView(record);
      if (!view) continue;
      for (const action of decideFailover(view)) this.perform(view, action);
    }
  }

  /** Whether no write of an earlier term can be acknowledged any more. */
  isClosed(record: ServiceRecord): boolean {
    return this.closedTerms.get(record.name) === record.term;
  }

  /** Lets the pending change complete without the safety checks. */
  force(service: string): boolean {
    const record = this.dependencies.machine.service(service);
    if (!record) return false;
    this.forcedTerms.set(service, record.term);
    return true;
  }

  private makeView(record: ServiceRecord): FailoverView | undefined {
    const {machine, leases, clock} = this.dependencies;
    const {services, system} = this.dependencies.settings();
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
      leaderSince: this.becameLeaderAt,
      phaseAgeMs: now - this.phaseFirstSeenAt(record, now),
      targets: this.targetsOf(record, now),
      proxies: machine.state.proxies.map(proxy => {
        return leases.viewOf(proxy, record.name, now);
      }),
      isForced: this.forcedTerms.get(record.name) === record.term,
    };
  }

  private phaseFirstSeenAt(record: ServiceRecord, now: number): number {
    const {name, term, phase} = record;
    const seen = this.phases.get(name);
    if (seen?.term === term && seen.phase === phase) return seen.firstSeenAt;
    this.phases.set(name, {term, phase, firstSeenAt: now});
    return now;
  }

  private targetsOf(record: ServiceRecord, now: number): TargetView[] {
    const {directory} = this.dependencies;
    const observed = directory.targetsOf(serviceName(record.name));
    const byInstance = new Map(
      observed.map(target => [String(target.key.instance), target]),
    );
    return record.members.map(member => {
      return makeTargetView(member, byInstance.get(member.instance), now);
    });
  }

  private perform(view: FailoverView, action: FailoverAction): void {
    const {name: service, term} = view.record;
    switch (action.kind) {
      case 'begin':
        return this.beginChange(view.record, action);
      case 'complete':
        return this.completeChange(view.record, action);
      case 'closed':
        this.closedTerms.set(service, term);
        return;
      case 'blocked':
        return this.onBlocked(view.record, action.reason);
      case 'fence':
      case 'promote': {
        const {instance} = action;
        const value = {term};
        return this.sendOrder(view.record, instance, {
          $case: action.kind,
          value,
        });
      }
      case 'follow': {
        const {instance, replicationAddress} = action;
        const value = {term, replicationAddress};
        return this.sendOrder(view.record, instance, {$case: 'follow', value});
      }
    }
  }

  private beginChange(
    record: ServiceRecord,
    action: FailoverAction & {kind: 'begin'},
  ): void {
    const {cause, inputs, planned, term} = action;
    const service = record.name;
    const fromTerm = record.term;
    const value = {service, fromTerm, cause, inputs, planned, term};
    const isNew = this.dependencies.log.proposeOnce(`change ${service}`, {
      $case: 'beginChange',
      value,
    });
    if (!isNew) return;
    this.logger.info('Began a change of primary.', {service, term, cause});
  }

  private completeChange(
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
    const isNew = this.dependencies.log.proposeOnce(`change ${service}`, {
      $case: 'completeChange',
      value,
    });
    if (!isNew) return;
    this.logger.info('Chose a primary.', {service, term, primary});
  }

  private onBlocked(record: ServiceRecord, reason: string): void {
    const {term, name: service} = record;
    const now = this.dependencies.clock.now();
    const change = this.blockedChanges.get(service);
    if (change?.term !== term) {
      this.blockedChanges.set(service, {
        term,
        blockedAt: now,
        reportedReason: '',
      });
      return;
    }
    if (now - change.blockedAt < BLOCKED_REPORT_DELAY_MS) return;
    if (change.reportedReason === reason) return;
    change.reportedReason = reason;
    this.logger.warn('Cannot promote safely.', {service, reason});
    const value = {
      subject: `service ${service}`,
      event: `term ${term} blocked`,
      cause: reason,
      inputs: '',
    };
    detach(
      'record of a failover',
      this.dependencies.log.propose({$case: 'record', value}),
    );
  }

  private sendOrder(
    record: ServiceRecord,
    instance: string,
    action: NonNullable<Order['action']>,
  ): void {
    const {clock, observer} = this.dependencies;
    const name = `${record.name}/${instance} ${action.$case} ${record.term}`;
    const now = clock.now();
    const lastSentAt = this.orderSentAt.get(name) ?? -Infinity;
    if (now - lastSentAt < ORDER_RETRY_INTERVAL_MS) return;
    this.orderSentAt.set(name, now);
    const key = {
      service: serviceName(record.name),
      instance: instanceId(instance),
    };
    observer.sendOrder(key, {orderId: ++this.lastOrderId, action});
  }
}

function makeTargetView(
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
