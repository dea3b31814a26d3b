import type {Clock} from '../../base/common/clock';
import {serviceName} from '../../base/common/ids';
import {createLog} from '../../base/node/log';
import type {TargetDirectory} from '../../services/announcement/common/target_directory';
import type {AnnouncementObserver} from '../../services/announcement/node/announcement_observer';
import type {ConsensusNode} from '../../services/consensus/node/consensus_node';
import type {ControlMachine} from '../../services/control_state/common/control_machine';
import {LeaseRegistry} from '../../services/lease/common/lease_registry';
import {
  planMembership,
  type Joiner,
} from '../../services/membership/common/membership_plan';
import type {Settings} from '../../services/settings/common/settings';
import {Phase} from '../../schema/generated/control';
import type {TargetStatus} from '../../schema/generated/announcement';
import {ControlLog} from './control_log';
import {FailoverDriver} from './failover_driver';
import {forgetPurpose, ProxyAttachments} from './proxy_attachments';

/** A proxy that was away for this long, without a lease, is forgotten. */
const FORGET_PROXY_MS = 30_000;

/** What a leadership is built on. */
export interface LeadershipSurroundings {
  readonly machine: ControlMachine;
  readonly directory: TargetDirectory;
  readonly observer: AnnouncementObserver;
  readonly node: ConsensusNode;
  readonly clock: Clock;
  settings(): Settings;
}

/** Everything that a control instance does only while it leads. */
export class Leadership {
  readonly leases: LeaseRegistry;
  readonly attachments: ProxyAttachments;
  readonly log: ControlLog;
  private readonly driver: FailoverDriver;
  private readonly joiners = new Map<string, Joiner>();
  private changingMembers = false;

  constructor(
    private readonly around: LeadershipSurroundings,
    private readonly since: number,
  ) {
    const {system} = around.settings();
    const logger = createLog('control');
    this.leases = new LeaseRegistry({
      silenceMs: system.silenceMs,
      unconfirmedMs: system.silenceMs * 2,
    });
    this.log = new ControlLog(around.node);
    const shared = {...around, leases: this.leases, log: this.log};
    this.driver = new FailoverDriver(shared, since, logger);
    this.attachments = new ProxyAttachments(
      {
        ...shared,
        leaseMs: system.leaseMs,
        isClosed: record => this.driver.isClosed(record),
        onDidHear: () => this.drive(),
      },
      logger,
    );
  }

  /** Looks at everything again; called on a timer and on news. */
  drive(): void {
    if (!this.around.node.core.isLeaderReady) return;
    this.driver.drive();
    this.attachments.pushChanges();
  }

  /** Work that may wait a little longer. */
  tend(): void {
    if (!this.around.node.core.isLeaderReady) return;
    // Targets that announced themselves before this instance led.
    for (const {status} of this.around.directory.all()) this.onTarget(status);
    this.tendMembership();
    this.forgetProxies();
  }

  onTarget(status: TargetStatus): void {
    const known = this.around.machine.service(status.service);
    const member = known?.members.find(({instance}) => {
      return instance === status.instance;
    });
    if (!this.isOffered(status)) return;
    const {service, instance, site, incarnation} = status;
    const forming = known?.phase === Phase.PHASE_FORMING;
    const isKnown =
      member?.site === site && (!forming || member.incarnation === incarnation);
    if (isKnown) return;
    this.log.proposeOnce(`member ${service}/${instance}`, {
      $case: 'registerMember',
      value: {
        service,
        member: {instance, site, draining: false, incarnation},
      },
    });
  }

  onJoin(joiner: Joiner): void {
    this.joiners.set(joiner.id, joiner);
  }

  /** Lets a blocked change pass; false for an unknown service. */
  force(service: string): boolean {
    return this.driver.force(service);
  }

  end(): void {
    this.attachments.endAll();
  }

  private isOffered({service}: TargetStatus): boolean {
    return this.around.settings().services.has(serviceName(service));
  }

  private tendMembership(): void {
    const {node, settings} = this.around;
    const {core} = node;
    if (this.changingMembers || !core.isConfigurationCommitted) return;
    // An instance that still wants in asks again. Keeping the word of one
    // that is gone would take its lost folder back in for the new one.
    const joiners = [...this.joiners.values()];
    this.joiners.clear();
    const next = planMembership({
      configuration: core.configuration,
      allowedInstances: new Set(
        settings().control.map(({instance}) => instance),
      ),
      joiners,
      commitIndex: core.commitIndex,
      matchIndexOf: id => core.matchIndexOf(id),
    });
    if (!next) return;
    this.changingMembers = true;
    void node.changeConfiguration(next).then(() => {
      this.changingMembers = false;
    });
  }

  private forgetProxies(): void {
    const now = this.around.clock.now();
    for (const proxy of this.around.machine.state.proxies) {
      const seen = Math.max(this.leases.lastHeardAt(proxy), this.since);
      if (now - seen < FORGET_PROXY_MS) continue;
      this.leases.forget(proxy);
      this.log.proposeOnce(forgetPurpose(proxy), {
        $case: 'forgetProxy',
        value: {proxy},
      });
    }
  }
}
