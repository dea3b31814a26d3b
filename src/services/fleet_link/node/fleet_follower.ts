import {Metadata, type ClientDuplexStream} from '@grpc/grpc-js';
import {LINK_CREDENTIALS, LINK_OPTIONS} from '../../../base/node/grpc';
import type {Log} from '../../../base/node/log';
import {after} from '../../../base/node/timers';
import {
  FleetClient,
  type Catalog,
  type FollowerMessage,
  type LeaderMessage,
  type MemberList,
  type PoolerList,
  type PrimaryReport,
} from '../../../schema/generated/fleet';

/** What a proxy hears from control. */
export interface FollowerListener {
  onDidReceiveCatalog(catalog: Catalog): void;
  onDidReceiveMembers(members: MemberList): void;
  onDidReceivePoolers(poolers: PoolerList): void;
}

/** Who a proxy is, and where control may be. */
export interface FollowerOptions {
  readonly instance: string;
  readonly site: string;
  /** Where other proxies reach this one. */
  readonly address: string;
  /** Addresses of control instances; asked anew at each try. */
  addresses(): readonly string[];
  catalogVersion(): number;
}

type Stream = ClientDuplexStream<FollowerMessage, LeaderMessage>;

/** Pause before another control instance is tried, in milliseconds. */
const RETRY_MS = 150;
/**
 * A stream that said nothing after this long is given up, in milliseconds: an
 * instance that is cut off from the others never learns who leads.
 */
const FIRST_WORD_MS = 1_500;

/** A proxy's side of the exchange with the leader of control. */
export class FleetFollower {
  private stream: Stream | undefined;
  private readonly reports = new Map<string, PrimaryReport>();
  private leader = '';
  private tries = 0;
  private attached = false;

  constructor(
    private readonly options: FollowerOptions,
    private readonly listener: FollowerListener,
    private readonly log: Log,
    private readonly signal: AbortSignal,
  ) {}

  get isAttached(): boolean {
    return this.attached;
  }

  start(): void {
    this.connect();
  }

  /** Tells control of the primary of a service, now and after reconnects. */
  report(report: PrimaryReport): void {
    this.reports.set(report.service, report);
    this.stream?.write({body: {$case: 'report', value: report}});
  }

  private connect(): void {
    if (this.signal.aborted) return;
    const address = this.nextAddress();
    if (address === undefined) return this.retry();
    const client = new FleetClient(address, LINK_CREDENTIALS, LINK_OPTIONS);
    const stream = client.follow(new Metadata());
    this.stream = stream;
    let ended = false;
    const end = () => {
      if (ended) return;
      ended = true;
      cancelWait();
      cancelStop();
      stream.cancel();
      client.close();
      this.onEnd(address);
    };
    const cancelWait = after(this.signal, FIRST_WORD_MS, end);
    const stop = () => end();
    this.signal.addEventListener('abort', stop, {once: true});
    const cancelStop = () => this.signal.removeEventListener('abort', stop);
    stream.on('data', message => {
      cancelWait();
      this.onMessage(message, address);
    });
    stream.on('error', end);
    stream.on('end', end);
    this.greet(stream);
  }

  private greet(stream: Stream): void {
    const {instance, site, address} = this.options;
    const catalogVersion = this.options.catalogVersion();
    const hello = {instance, site, catalogVersion, address};
    stream.write({body: {$case: 'hello', value: hello}});
    for (const report of this.reports.values()) {
      if (report.trouble === '') continue;
      stream.write({body: {$case: 'report', value: report}});
    }
  }

  private nextAddress(): string | undefined {
    if (this.leader !== '') {
      const {leader} = this;
      this.leader = '';
      return leader;
    }
    const addresses = this.options.addresses();
    return addresses[this.tries++ % Math.max(1, addresses.length)];
  }

  private onMessage({body}: LeaderMessage, address: string): void {
    switch (body?.$case) {
      case 'notLeading':
        this.leader = body.value.leaderAddress;
        return;
      case 'catalog':
        this.noteAttached(address);
        return this.listener.onDidReceiveCatalog(body.value);
      case 'members':
        this.noteAttached(address);
        return this.listener.onDidReceiveMembers(body.value);
      case 'poolers':
        return this.listener.onDidReceivePoolers(body.value);
    }
  }

  private noteAttached(address: string): void {
    if (this.attached) return;
    this.attached = true;
    this.log.info('Follows control.', {address});
  }

  private onEnd(address: string): void {
    this.stream = undefined;
    if (this.attached) this.log.warn('Lost control.', {address});
    this.attached = false;
    this.retry();
  }

  private retry(): void {
    after(this.signal, RETRY_MS, () => this.connect());
  }
}
