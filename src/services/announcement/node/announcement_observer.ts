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

/** Receives the events of the targets of an observer. */
export interface TargetListener {
  onDidChangeTarget(key: TargetKey, status: TargetStatus | undefined): void;
  onDidSample(key: TargetKey, sample: PositionSample): void;
  onDidReplyToOrder(key: TargetKey, result: OrderResult): void;
}

interface OpenStream {
  readonly key: TargetKey;
  readonly stream: Stream;
}

/**
 * The observer's end of announcement streams: receives the status of targets,
 * pings them and sends orders to them.
 */
export class AnnouncementObserver {
  private readonly streams = new Map<string, OpenStream>();
  private lastSequence = 0;

  constructor(
    private readonly directory: TargetDirectory,
    private readonly clock: Clock,
    private readonly listener: TargetListener,
  ) {}

  /** Pings every open stream until the signal aborts. */
  start(pingMs: number, signal: AbortSignal): void {
    every(signal, pingMs, () => this.pingAll());
  }

  /** Handlers of the announcement service for a gRPC server. */
  get handlers(): AnnouncementServer {
    return {announce: stream => this.accept(stream)};
  }

  /** Sends an order; false if the target has no open stream. */
  sendOrder(key: TargetKey, order: Order): boolean {
    const entry = this.streams.get(streamName(key));
    if (!entry) return false;
    entry.stream.write({body: {$case: 'order', value: order}});
    return true;
  }

  /** Pings one target now instead of with the next ping of all. */
  ping(key: TargetKey): void {
    const entry = this.streams.get(streamName(key));
    if (entry) this.pingOne(entry, ++this.lastSequence);
  }

  private pingAll(): void {
    const sequence = ++this.lastSequence;
    for (const entry of this.streams.values()) this.pingOne(entry, sequence);
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
    const previous = this.streams.get(streamName(key));
    if (previous?.stream !== stream) {
      this.streams.set(streamName(key), {key, stream});
    }
    this.directory.onStatus(key, status, this.clock.now());
    this.listener.onDidChangeTarget(key, status);
    if (previous?.stream !== stream) this.ping(key);
    return key;
  }

  /** Samples the status at a moment; changes are announced separately. */
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
    this.listener.onDidReplyToOrder(key, result);
  }

  private onClosed(stream: Stream, key: TargetKey | undefined): void {
    if (!key || this.streams.get(streamName(key))?.stream !== stream) return;
    this.streams.delete(streamName(key));
    this.directory.onClosed(key, this.clock.now());
    this.listener.onDidChangeTarget(key, undefined);
  }
}

function keyOf({service, instance}: TargetStatus): TargetKey {
  return {service: serviceName(service), instance: instanceId(instance)};
}

function streamName({service, instance}: TargetKey): string {
  return `${service}/${instance}`;
}
