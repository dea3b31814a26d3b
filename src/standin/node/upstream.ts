import type {ClientReadableStream} from '@grpc/grpc-js';
import {CHANNEL_CREDENTIALS, CHANNEL_OPTIONS} from '../../base/node/grpc';
import {after, createChildController, every} from '../../base/node/timers';
import {
  ReplicationClient,
  type ReplicationBatch,
} from '../../schema/generated/replication';
import type {GroupMember, UpstreamFactory} from './group_member';

const RECONNECT_DELAY_MS = 100;
/** A stream without a message for this long counts as disconnected. */
const TIMEOUT_MS = 250;

/** A replica's replication stream from its primary. */
export interface Upstream {
  readonly connected: boolean;
  close(): void;
}

/** Opens replication streams over gRPC; the signal closes them all. */
export class GrpcUpstreams implements UpstreamFactory {
  constructor(private readonly signal: AbortSignal) {}

  connect(address: string, term: number, member: GroupMember): Upstream {
    return new GrpcUpstream(address, term, member, this.signal);
  }
}

class GrpcUpstream implements Upstream {
  connected = false;
  private readonly client;
  private readonly controller;
  private stream: ClientReadableStream<ReplicationBatch> | undefined;
  private receivedAt = 0;

  constructor(
    address: string,
    private readonly term: number,
    private readonly member: GroupMember,
    parent: AbortSignal,
  ) {
    this.controller = createChildController(parent);
    const {signal} = this.controller;
    this.client = new ReplicationClient(
      address,
      CHANNEL_CREDENTIALS,
      CHANNEL_OPTIONS,
    );
    signal.addEventListener('abort', () => this.client.close());
    every(signal, TIMEOUT_MS / 4, () => this.checkTimeout());
    this.openStream();
  }

  close(): void {
    this.setConnected(false);
    this.stream?.cancel();
    this.controller.abort();
  }

  private openStream(): void {
    const {signal} = this.controller;
    if (signal.aborted) return;
    const marks = this.member.log.termMarks();
    const stream = this.client.stream({term: this.term, marks});
    this.stream = stream;
    stream.on('data', (batch: ReplicationBatch) => {
      this.runAfterDelay(() => this.onBatch(stream, batch));
    });
    let ended = false;
    const onEnd = () => {
      if (ended) return;
      ended = true;
      if (this.stream === stream) this.setConnected(false);
      after(signal, RECONNECT_DELAY_MS, () => this.openStream());
    };
    stream.on('error', onEnd);
    stream.on('end', onEnd);
  }

  private runAfterDelay(callback: () => void): void {
    const {receiveMs} = this.member.delays;
    if (receiveMs > 0) after(this.controller.signal, receiveMs, callback);
    else callback();
  }

  private onBatch(
    stream: ClientReadableStream<ReplicationBatch>,
    batch: ReplicationBatch,
  ): void {
    if (this.controller.signal.aborted || this.stream !== stream) return;
    this.receivedAt = Date.now();
    if (batch.first) this.member.onAttached(batch.keepOffset, batch.endOffset);
    if (batch.entries.length > 0) this.member.onEntries(batch);
    this.setConnected(true);
  }

  private checkTimeout(): void {
    if (!this.connected || Date.now() - this.receivedAt < TIMEOUT_MS) return;
    this.setConnected(false);
  }

  private setConnected(connected: boolean): void {
    if (this.connected === connected) return;
    this.connected = connected;
    this.member.notifyChange();
  }
}
