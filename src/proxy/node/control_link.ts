import type {ClientDuplexStream} from '@grpc/grpc-js';
import type {Clock} from '../../base/common/clock';
import {CHANNEL_CREDENTIALS, CHANNEL_OPTIONS} from '../../base/node/grpc';
import type {Log} from '../../base/node/log';
import {after, every} from '../../base/node/timers';
import {
  ControlClient,
  Phase,
  type ControlMessage,
  type LeaseGrant,
  type ProxyMessage,
  type ProxyRecord,
  type ServiceRecord,
} from '../../schema/generated/control';
import type {ProxyServices} from './proxy_services';

const RECONNECT_DELAY_MS = 50;
/** A leader without a reply for this many renewals is disconnected. */
const MAX_UNANSWERED_RENEWALS = 6;
const MAX_PENDING_REQUESTS = 64;
/** Reports within this time share one request. */
const REPORT_DELAY_MS = 2;

type Stream = ClientDuplexStream<ProxyMessage, ControlMessage>;

/** Dependencies of the link; leaseMs is an upper bound for leases. */
export interface ControlLinkDependencies {
  readonly proxy: ProxyRecord;
  readonly site: string;
  readonly addresses: readonly string[];
  readonly services: ProxyServices;
  readonly clock: Clock;
  readonly log: Log;
  readonly renewalMs: number;
  readonly leaseMs: number;
  settingsVersion(): number;
  /** Applies the text of a newer version of the settings. */
  onSettings(version: number, text: string): void;
}

/** The stream to the control leader: renews leases, reports failures. */
export class ControlLink {
  private readonly clients = new Map<string, ControlClient>();
  private stream: Stream | undefined;
  private sequence = 0;
  private knownRevision = 0;
  private lastReplyAt = 0;
  private addressIndex = 0;
  private isReportPending = false;
  /** When requests were sent, by sequence number. */
  private readonly pendingRequests = new Map<number, number>();
  private readonly records = new Map<string, ServiceRecord>();

  constructor(
    private readonly dependencies: ControlLinkDependencies,
    private readonly signal: AbortSignal,
  ) {}

  get isAttached(): boolean {
    return this.stream !== undefined;
  }

  start(): void {
    const {renewalMs, services} = this.dependencies;
    this.signal.addEventListener('abort', () => {
      for (const client of this.clients.values()) client.close();
    });
    services.onDidHaveReport(() => this.scheduleReport());
    every(this.signal, renewalMs, () => this.renew());
    this.connect(this.dependencies.addresses[0]!);
  }

  private connect(address: string): void {
    if (this.signal.aborted) return;
    const stream = this.clientOf(address).attach();
    this.stream = stream;
    this.pendingRequests.clear();
    this.lastReplyAt = this.dependencies.clock.now();
    let hasEnded = false;
    const onEnd = (leaderAddress?: string) => {
      if (hasEnded) return;
      hasEnded = true;
      stream.cancel();
      if (this.stream === stream) this.stream = undefined;
      const nextAddress = leaderAddress ?? this.nextAddress();
      after(this.signal, RECONNECT_DELAY_MS, () => this.connect(nextAddress));
    };
    stream.on('data', (message: ControlMessage) => {
      if (this.stream !== stream || hasEnded) return;
      const {body} = message;
      if (body?.$case === 'notLeader') {
        onEnd(body.value.leaderAddress || undefined);
      }
      if (body?.$case === 'grant') this.onGrant(body.value);
    });
    stream.on('error', () => onEnd());
    stream.on('end', () => onEnd());
    const {proxy, site} = this.dependencies;
    stream.write({body: {$case: 'hello', value: {proxy, site}}});
    this.sendRequest();
  }

  private nextAddress(): string {
    const {addresses} = this.dependencies;
    this.addressIndex = (this.addressIndex + 1) % addresses.length;
    return addresses[this.addressIndex]!;
  }

  private clientOf(address: string): ControlClient {
    const existing = this.clients.get(address);
    if (existing) return existing;
    const client = new ControlClient(
      address,
      CHANNEL_CREDENTIALS,
      CHANNEL_OPTIONS,
    );
    this.clients.set(address, client);
    return client;
  }

  private renew(): void {
    const {clock, renewalMs} = this.dependencies;
    const isSilent =
      clock.now() - this.lastReplyAt > renewalMs * MAX_UNANSWERED_RENEWALS;
    if (this.stream && isSilent) {
      // A partitioned leader may never close the stream.
      this.stream.cancel();
      return;
    }
    this.sendRequest();
  }

  private scheduleReport(): void {
    if (this.isReportPending) return;
    this.isReportPending = true;
    after(this.signal, REPORT_DELAY_MS, () => {
      this.isReportPending = false;
      this.sendRequest();
    });
  }

  private sendRequest(): void {
    const {stream} = this;
    if (!stream) return;
    const {services, clock} = this.dependencies;
    const sequence = ++this.sequence;
    this.pendingRequests.set(sequence, clock.now());
    if (this.pendingRequests.size > MAX_PENDING_REQUESTS) {
      this.pendingRequests.delete(this.pendingRequests.keys().next().value!);
    }
    const value = {
      sequence,
      knownRevision: this.knownRevision,
      suspicions: services.failureReports(),
      handBacks: services.leaseReturns(),
      settingsVersion: this.dependencies.settingsVersion(),
    };
    stream.write({body: {$case: 'ask', value}});
  }

  private onGrant(grant: LeaseGrant): void {
    const {services, clock} = this.dependencies;
    const now = clock.now();
    this.lastReplyAt = now;
    const requestedAt = this.pendingRequests.get(grant.sequence);
    this.pendingRequests.delete(grant.sequence);
    for (const {record} of grant.services) {
      if (record) this.updateRecord(record);
    }
    this.knownRevision = Math.max(this.knownRevision, grant.revision);
    this.applySettings(grant);
    services.onGrant(grant, requestedAt, now);
    if (requestedAt === undefined) return;
    const leaseMs = Math.min(grant.leaseMs, this.dependencies.leaseMs);
    services.extendLeases(this.coveredTerms(grant), requestedAt, leaseMs);
  }

  private updateRecord(record: ServiceRecord): void {
    const current = this.records.get(record.name);
    if (current && current.revision > record.revision) return;
    this.records.set(record.name, record);
  }

  /**
   * Guard: settings never go back to an older version. A lower version is
   * ignored, whoever sends it; a pushed change was committed by a majority.
   */
  private applySettings({settingsVersion, settingsText}: LeaseGrant): void {
    if (settingsVersion <= this.dependencies.settingsVersion()) return;
    if (settingsText === '') return;
    this.dependencies.onSettings(settingsVersion, settingsText);
  }

  private coveredTerms(grant: LeaseGrant): Map<string, number> {
    const excluded = new Set(grant.excludedServices);
    const covered = new Map<string, number>();
    for (const {name, term, phase, revision} of this.records.values()) {
      if (phase !== Phase.PHASE_STEADY || excluded.has(name)) continue;
      if (revision > grant.revision) continue;
      covered.set(name, term);
    }
    return covered;
  }
}
