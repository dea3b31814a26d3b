import type {ServerDuplexStream} from '@grpc/grpc-js';
import type {Clock} from '../../../base/common/clock';
import {instanceId, serviceName} from '../../../base/common/ids';
import {every} from '../../../base/node/timers';
import type {
  ObserverMessage,
  Order,
  OrderResult,
  Pong,
  TargetMessage,
  TargetStatus,
} from '../../../schema/generated/announcement';
import type {AnnouncementServer} from '../../../schema/generated/announcement_service';
import type {
  PositionSample,
  TargetDirectory,
  TargetKey,
} from '../common/target_directory';

type Stream = ServerDuplexStream<TargetMessage, ObserverMessage>;

/** What an observer's owner hears of targets. */
export interface TargetListener {
  onDidChangeTarget(key: TargetKey, status: TargetStatus | undefined): void;
  onDidSample(key: TargetKey, sample: PositionSample): void;
  onDidAnswerOrder(key: TargetKey, result: OrderResult): void;
}

interface OpenStream {
  readonly key: TargetKey;
  readonly stream: Stream;
}

/**
 * The observer's end of announcement streams: takes in what targets say of
 * themselves, pings them and carries orders to them.
 */
export class AnnouncementObserver {
  private readonly open = new Map<string, OpenStream>();
  private sequence = 0;

  constructor(
    private readonly directory: TargetDirectory,
    private readonly clock: Clock,
    private readonly listener: TargetListener,
  ) {}

  /** Pings every open stream until the signal aborts. */
  start(pingMs: number, signal: AbortSignal): void {
    every(signal, pingMs, () => this.pingAll());
  }

  /** The handlers to add to a gRPC server. */
  get handlers(): AnnouncementServer {
    return {announce: stream => this.accept(stream)};
  }

  /** Sends an order; false where no stream of the target is open. */
  sendOrder(key: TargetKey, order: Order): boolean {
    const entry = this.open.get(nameOf(key));
    if (!entry) return false;
    entry.stream.write({body: {$case: 'order', value: order}});
    return true;
  }

  /** Asks one target for its position now rather than at the next ping. */
  ping(key: TargetKey): void {
    const entry = this.open.get(nameOf(key));
    if (entry) this.pingOne(entry, ++this.sequence);
  }

  private pingAll(): void {
    const sequence = ++this.sequence;
    for (const entry of this.open.values()) this.pingOne(entry, sequence);
  }

  private pingOne({key, stream}: OpenStream, sequence: number): void {
    this.directory.onPing(key, sequence, this.clock.now());
    stream.write({body: {$case: 'ping', value: sequence}});
  }

  private accept(stream: Stream): void {
    let key: TargetKey | undefined;
    stream.on('data', (message: TargetMessage) => {
      const {body} = message;
      if (body?.$case === 'status') key = this.onStatus(stream, body.value);
      if (!key || !body) return;
      if (body.$case === 'pong') this.onPong(key, body.value);
      if (body.$case === 'result') this.onResult(key, body.value);
    });
    const onEnd = () => this.onClosed(stream, key);
    stream.on('end', () => stream.end());
    stream.on('cancelled', onEnd);
    stream.on('error', onEnd);
    stream.on('close', onEnd);
  }

  private onStatus(stream: Stream, status: TargetStatus): TargetKey {
    const key = keyOf(status);
    const previous = this.open.get(nameOf(key));
    if (previous?.stream !== stream) {
      this.open.set(nameOf(key), {key, stream});
    }
    this.directory.onStatus(key, status, this.clock.now());
    this.listener.onDidChangeTarget(key, status);
    if (previous?.stream !== stream) this.ping(key);
    return key;
  }

  /** Changes came with a status of their own; a pong only dates them. */
  private onPong(key: TargetKey, {sequence, status}: Pong): void {
    const now = this.clock.now();
    if (status) this.directory.onStatus(key, status, now);
    const sample = this.directory.onPong(key, sequence, now);
    if (sample) this.listener.onDidSample(key, sample);
  }

  private onResult(key: TargetKey, result: OrderResult): void {
    if (result.status) {
      this.directory.onStatus(key, result.status, this.clock.now());
      this.listener.onDidChangeTarget(key, result.status);
    }
    this.listener.onDidAnswerOrder(key, result);
  }

  private onClosed(stream: Stream, key: TargetKey | undefined): void {
    if (!key || this.open.get(nameOf(key))?.stream !== stream) return;
    this.open.delete(nameOf(key));
    this.directory.onClosed(key, this.clock.now());
    this.listener.onDidChangeTarget(key, undefined);
  }
}

function keyOf({service, instance}: TargetStatus): TargetKey {
  return {service: serviceName(service), instance: instanceId(instance)};
}

function nameOf({service, instance}: TargetKey): string {
  return `${service}/${instance}`;
}
