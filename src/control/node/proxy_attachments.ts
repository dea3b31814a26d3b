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

/** What attachments ask of the leadership they belong to. */
export interface AttachmentSurroundings {
  readonly machine: ControlMachine;
  readonly leases: LeaseRegistry;
  readonly log: ControlLog;
  readonly node: ConsensusNode;
  readonly clock: Clock;
  readonly leaseMs: number;
  isClosed(record: ServiceRecord): boolean;
  /** Something that a decision depends on was reported. */
  onDidHear(): void;
}

interface Attachment {
  readonly proxy: ProxyRecord;
  readonly stream: Stream;
  /** Changes up to here were sent. */
  sentRevision: number;
  sentVersion: number;
  readonly sentClosed: Map<string, number>;
}

/** The proxies that are attached to this instance while it leads. */
export class ProxyAttachments {
  private readonly open = new Map<string, Attachment>();

  constructor(
    private readonly around: AttachmentSurroundings,
    private readonly logger: Log,
  ) {}

  /** Takes a stream whose proxy has said who it is. */
  attach(proxy: ProxyRecord, stream: Stream): void {
    const name = proxyName(proxy);
    this.open.get(name)?.stream.end();
    const attachment: Attachment = {
      proxy,
      stream,
      sentRevision: 0,
      sentVersion: 0,
      sentClosed: new Map(),
    };
    this.open.set(name, attachment);
    this.logger.info('A proxy attached.', {proxy: name});
    const onEnd = () => this.onEnd(attachment);
    stream.on('end', () => stream.end());
    stream.on('cancelled', onEnd);
    stream.on('error', onEnd);
    stream.on('close', onEnd);
  }

  /** Answers a question for a lease once a majority confirms this leader. */
  async onAsk(proxy: ProxyRecord, ask: LeaseRequest): Promise<void> {
    const attachment = this.open.get(proxyName(proxy));
    if (!attachment) return;
    const {leases, clock, node} = this.around;
    leases.onRequest(proxy, ask, clock.now());
    this.around.onDidHear();
    const confirmed = await node.confirmLeadership();
    if (confirmed.isErr || this.open.get(proxyName(proxy)) !== attachment) {
      return;
    }
    if (!this.mayHoldLease(proxy)) return;
    leases.onGranted(proxy, clock.now());
    this.send(attachment, ask.sequence);
  }

  /** Tells proxies what changed, without a lease. */
  pushChanges(): void {
    const {machine} = this.around;
    const {revision} = machine.state;
    for (const attachment of this.open.values()) {
      const news =
        attachment.sentRevision < revision || this.hasNewClosed(attachment);
      if (news) this.send(attachment, 0);
    }
  }

  /** Ends all streams: this instance leads no more. */
  endAll(): void {
    for (const {stream} of this.open.values()) stream.end();
    this.open.clear();
  }

  /**
   * Guard against a lease that a later leader does not know of: only a proxy
   * in the log may hold one, and not while it is being taken out of the log.
   */
  private mayHoldLease(proxy: ProxyRecord): boolean {
    const name = proxyName(proxy);
    const {log} = this.around;
    if (log.isPending(forgetPurpose(proxy))) return false;
    if (this.isRegistered(name)) return true;
    log.proposeOnce(`register ${name}`, {
      $case: 'registerProxy',
      value: {proxy},
    });
    return false;
  }

  private isRegistered(name: string): boolean {
    return this.around.machine.state.proxies.some(other => {
      return proxyName(other) === name;
    });
  }

  private hasNewClosed(attachment: Attachment): boolean {
    return this.closedServices().some(({name, term}) => {
      return attachment.sentClosed.get(name) !== term;
    });
  }

  private closedServices(): ServiceRecord[] {
    return this.around.machine.state.services.filter(record => {
      const changing = record.phase === Phase.PHASE_CHANGING;
      return changing && this.around.isClosed(record);
    });
  }

  private send(attachment: Attachment, sequence: number): void {
    const {machine, leaseMs} = this.around;
    const {state} = machine;
    const closed = this.closedServices();
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
    for (const {name, term} of closed) attachment.sentClosed.set(name, term);
    attachment.stream.write({body: {$case: 'grant', value: grant}});
  }

  private onEnd(attachment: Attachment): void {
    const name = proxyName(attachment.proxy);
    if (this.open.get(name) !== attachment) return;
    this.open.delete(name);
    this.around.leases.onDetached(attachment.proxy);
    this.logger.info('A proxy detached.', {proxy: name});
  }
}

/** Names the command that takes a proxy out of the log. */
export function forgetPurpose(proxy: ProxyRecord): string {
  return `forget ${proxyName(proxy)}`;
}
