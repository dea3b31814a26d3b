import type {ClientDuplexStream} from '@grpc/grpc-js';
import type {Clock} from '../../base/common/clock';
import {LINK_CREDENTIALS, LINK_OPTIONS} from '../../base/node/grpc';
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

const RECONNECT_MS = 50;
/** A leader that answers nothing for this many renewals is left. */
const DEAF_RENEWALS = 6;
const MOST_OPEN_ASKS = 64;
/** News within this time make one message, in milliseconds. */
const NEWS_MS = 2;

type Stream = ClientDuplexStream<ProxyMessage, ControlMessage>;

/** What the link is built on. */
export interface ControlLinkSurroundings {
  readonly proxy: ProxyRecord;
  readonly site: string;
  readonly addresses: readonly string[];
  readonly services: ProxyServices;
  readonly clock: Clock;
  readonly log: Log;
  readonly renewalMs: number;
  readonly leaseMs: number;
  settingsVersion(): number;
  /** Settings of a newer version were accepted. */
  onSettings(version: number, text: string): void;
}

/** This proxy's link to the control leader: leases, reports, changes. */
export class ControlLink {
  private readonly clients = new Map<string, ControlClient>();
  private stream: Stream | undefined;
  private sequence = 0;
  private knownRevision = 0;
  private heardAt = 0;
  private nextAddress = 0;
  private newsPending = false;
  private readonly asks = new Map<number, number>();
  private readonly records = new Map<string, ServiceRecord>();

  constructor(
    private readonly around: ControlLinkSurroundings,
    private readonly signal: AbortSignal,
  ) {}

  get isAttached(): boolean {
    return this.stream !== undefined;
  }

  start(): void {
    const {renewalMs, services} = this.around;
    this.signal.addEventListener('abort', () => {
      for (const client of this.clients.values()) client.close();
    });
    services.onDidHaveNews(() => this.onNews());
    every(this.signal, renewalMs, () => this.renew());
    this.connect(this.around.addresses[0]!);
  }

  private connect(address: string): void {
    if (this.signal.aborted) return;
    const stream = this.clientOf(address).attach();
    this.stream = stream;
    this.asks.clear();
    this.heardAt = this.around.clock.now();
    let ended = false;
    const onEnd = (next?: string) => {
      if (ended) return;
      ended = true;
      stream.cancel();
      if (this.stream === stream) this.stream = undefined;
      const target = next ?? this.rotate();
      after(this.signal, RECONNECT_MS, () => this.connect(target));
    };
    stream.on('data', (message: ControlMessage) => {
      if (this.stream !== stream || ended) return;
      const {body} = message;
      if (body?.$case === 'notLeader') {
        onEnd(body.value.leaderAddress || undefined);
      }
      if (body?.$case === 'grant') this.onGrant(body.value);
    });
    stream.on('error', () => onEnd());
    stream.on('end', () => onEnd());
    const {proxy, site} = this.around;
    stream.write({body: {$case: 'hello', value: {proxy, site}}});
    this.ask();
  }

  private rotate(): string {
    const {addresses} = this.around;
    this.nextAddress = (this.nextAddress + 1) % addresses.length;
    return addresses[this.nextAddress]!;
  }

  private clientOf(address: string): ControlClient {
    const known = this.clients.get(address);
    if (known) return known;
    const client = new ControlClient(address, LINK_CREDENTIALS, LINK_OPTIONS);
    this.clients.set(address, client);
    return client;
  }

  private renew(): void {
    const {clock, renewalMs} = this.around;
    const isDeaf = clock.now() - this.heardAt > renewalMs * DEAF_RENEWALS;
    if (this.stream && isDeaf) {
      // A leader that was cut off in silence would be waited for in vain.
      this.stream.cancel();
      return;
    }
    this.ask();
  }

  private onNews(): void {
    if (this.newsPending) return;
    this.newsPending = true;
    after(this.signal, NEWS_MS, () => {
      this.newsPending = false;
      this.ask();
    });
  }

  private ask(): void {
    const {stream} = this;
    if (!stream) return;
    const {services, clock} = this.around;
    const sequence = ++this.sequence;
    this.asks.set(sequence, clock.now());
    if (this.asks.size > MOST_OPEN_ASKS) {
      this.asks.delete(this.asks.keys().next().value!);
    }
    const value = {
      sequence,
      knownRevision: this.knownRevision,
      suspicions: services.suspicions(),
      handBacks: services.handBacks(),
      settingsVersion: this.around.settingsVersion(),
    };
    stream.write({body: {$case: 'ask', value}});
  }

  private onGrant(grant: LeaseGrant): void {
    const {services, clock} = this.around;
    const now = clock.now();
    this.heardAt = now;
    const askedAt = this.asks.get(grant.sequence);
    this.asks.delete(grant.sequence);
    for (const {record} of grant.services) {
      if (record) this.takeRecord(record);
    }
    this.knownRevision = Math.max(this.knownRevision, grant.revision);
    this.takeSettings(grant);
    services.onGrant(grant, askedAt, now);
    if (askedAt === undefined) return;
    const leaseMs = Math.min(grant.leaseMs, this.around.leaseMs);
    services.extendLeases(this.coveredTerms(grant), askedAt, leaseMs);
  }

  private takeRecord(record: ServiceRecord): void {
    const known = this.records.get(record.name);
    if (known && known.revision > record.revision) return;
    this.records.set(record.name, record);
  }

  /**
   * Guard against going back to older settings: a lower version is never
   * taken, whoever sends it. What is not answered to an ask is not confirmed
   * by a majority, but a change that was pushed was committed by one.
   */
  private takeSettings({settingsVersion, settingsText}: LeaseGrant): void {
    if (settingsVersion <= this.around.settingsVersion()) return;
    if (settingsText === '') return;
    this.around.onSettings(settingsVersion, settingsText);
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
