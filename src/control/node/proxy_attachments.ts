import type {ServerDuplexStream} from '@grpc/grpc-js';
import type {Clock} from '../../base/common/clock';
import type {Log} from '../../base/node/log';
import type {ConsensusNode} from '../../services/consensus/node/consensus_node';
import type {ControlMachine} from '../../services/control_state/common/control_machine';
import {
  proxyName,
  type LeaseRegistry,
} from '../../services/lease/common/lease_registry';
import {
  Phase,
  type ControlMessage,
  type LeaseRequest,
  type LeaseGrant,
  type ProxyMessage,
  type ProxyRecord,
  type ServiceRecord,
} from '../../schema/generated/control';
import type {ControlLog} from './control_log';

type Stream = ServerDuplexStream<ProxyMessage, ControlMessage>;

/** What the attachments need from the leadership that owns them. */
export interface AttachmentDependencies {
  readonly machine: ControlMachine;
  readonly leases: LeaseRegistry;
  readonly log: ControlLog;
  readonly node: ConsensusNode;
  readonly clock: Clock;
  readonly leaseMs: number;
  isClosed(record: ServiceRecord): boolean;
  /** A proxy reported something that failover decisions depend on. */
  onDidReceiveReport(): void;
}

interface Attachment {
  readonly proxy: ProxyRecord;
  readonly stream: Stream;
  /** The state revision up to which changes were sent. */
  sentRevision: number;
  sentVersion: number;
  /** The term in which each service was last sent as closed. */
  readonly closedTerms: Map<string, number>;
}

/** The streams of proxies attached to this instance while it is leader. */
export class ProxyAttachments {
  private readonly attachments = new Map<string, Attachment>();

  constructor(
    private readonly dependencies: AttachmentDependencies,
    private readonly logger: Log,
  ) {}

  /** Registers the stream of a proxy; replaces its earlier stream. */
  attach(proxy: ProxyRecord, stream: Stream): void {
    const name = proxyName(proxy);
    this.attachments.get(name)?.stream.end();
    const attachment: Attachment = {
      proxy,
      stream,
      sentRevision: 0,
      sentVersion: 0,
      closedTerms: new Map(),
    };
    this.attachments.set(name, attachment);
    this.logger.info('A proxy attached to control.', {proxy: name});
    const onEnd = () => this.onEnd(attachment);
    stream.on('end', () => stream.end());
    stream.on('cancelled', onEnd);
    stream.on('error', onEnd);
    stream.on('close', onEnd);
  }

  /** Grants a lease once a majority has confirmed this leader. */
  async onLeaseRequest(
    proxy: ProxyRecord,
    request: LeaseRequest,
  ): Promise<void> {
    const attachment = this.attachments.get(proxyName(proxy));
    if (!attachment) return;
    const {leases, clock, node} = this.dependencies;
    leases.onRequest(proxy, request, clock.now());
    this.dependencies.onDidReceiveReport();
    const confirmed = await node.confirmLeadership();
    if (
      confirmed.isErr ||
      this.attachments.get(proxyName(proxy)) !== attachment
    ) {
      return;
    }
    if (!this.canHoldLease(proxy)) return;
    leases.onGranted(proxy, clock.now());
    this.send(attachment, request.sequence);
  }

  /** Sends changes of the state to the proxies, without a lease. */
  pushChanges(): void {
    const {machine} = this.dependencies;
    const {revision} = machine.state;
    for (const attachment of this.attachments.values()) {
      const hasChanges =
        attachment.sentRevision < revision ||
        this.hasNewClosedServices(attachment);
      if (hasChanges) this.send(attachment, 0);
    }
  }

  /** Ends all streams when this instance stops being leader. */
  endAll(): void {
    for (const {stream} of this.attachments.values()) stream.end();
    this.attachments.clear();
  }

  /**
   * Guard: a later leader would not wait for a lease that it does not know.
   * Only a proxy registered in the log may hold one, and not while its removal
   * is pending.
   */
  private canHoldLease(proxy: ProxyRecord): boolean {
    const name = proxyName(proxy);
    const {log} = this.dependencies;
    if (log.isPending(removalPurpose(proxy))) return false;
    if (this.isRegistered(name)) return true;
    log.proposeOnce(`register ${name}`, {
      $case: 'registerProxy',
      value: {proxy},
    });
    return false;
  }

  private isRegistered(name: string): boolean {
    return this.dependencies.machine.state.proxies.some(other => {
      return proxyName(other) === name;
    });
  }

  private hasNewClosedServices(attachment: Attachment): boolean {
    return this.findClosedServices().some(({name, term}) => {
      return attachment.closedTerms.get(name) !== term;
    });
  }

  private findClosedServices(): ServiceRecord[] {
    return this.dependencies.machine.state.services.filter(record => {
      const isChanging = record.phase === Phase.PHASE_CHANGING;
      return isChanging && this.dependencies.isClosed(record);
    });
  }

  private send(attachment: Attachment, sequence: number): void {
    const {machine, leaseMs} = this.dependencies;
    const {state} = machine;
    const closed = this.findClosedServices();
    const isNewVersion = attachment.sentVersion < state.settingsVersion;
    const grant: LeaseGrant = {
      sequence,
      leaseMs,
      revision: state.revision,
      services: state.services
        .filter(({revision}) => revision > attachment.sentRevision)
        .map(record => ({record, closed: closed.includes(record)})),
      settingsVersion: state.settingsVersion,
      settingsText: isNewVersion ? state.settingsText : '',
      closedServices: closed.map(({name}) => name),
      excludedServices: state.services
        .filter(({phase}) => phase !== Phase.PHASE_STEADY)
        .map(({name}) => name),
    };
    attachment.sentRevision = state.revision;
    attachment.sentVersion = state.settingsVersion;
    for (const {name, term} of closed) attachment.closedTerms.set(name, term);
    attachment.stream.write({body: {$case: 'grant', value: grant}});
  }

  private onEnd(attachment: Attachment): void {
    const name = proxyName(attachment.proxy);
    if (this.attachments.get(name) !== attachment) return;
    this.attachments.delete(name);
    this.dependencies.leases.onDetached(attachment.proxy);
    this.logger.info('A proxy detached from control.', {proxy: name});
  }
}

/** The purpose under which the removal of a proxy is proposed. */
export function removalPurpose(proxy: ProxyRecord): string {
  return `remove ${proxyName(proxy)}`;
}
