import type {ClientReadableStream} from '@grpc/grpc-js';
import {LINK_CREDENTIALS, LINK_OPTIONS} from '../../base/node/grpc';
import {after, childController, every} from '../../base/node/timers';
import {
  ReplicationClient,
  type ReplicationBatch,
} from '../../schema/generated/replication';
import type {GroupMember, UpstreamFactory} from './group_member';

const RECONNECT_MS = 100;
/** A primary that sends nothing for this long counts as gone. */
const SILENCE_MS = 250;

/** A replica's stream from its primary. */
export interface Upstream {
  readonly connected: boolean;
  close(): void;
}

/** Opens streams over gRPC; all end with the signal. */
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
  private heardAt = 0;

  constructor(
    address: string,
    private readonly term: number,
    private readonly member: GroupMember,
    parent: AbortSignal,
  ) {
    this.controller = childController(parent);
    const {signal} = this.controller;
    this.client = new ReplicationClient(
      address,
      LINK_CREDENTIALS,
      LINK_OPTIONS,
    );
    signal.addEventListener('abort', () => this.client.close());
    every(signal, SILENCE_MS / 4, () => this.checkSilence());
    this.open();
  }

  close(): void {
    this.setConnected(false);
    this.stream?.cancel();
    this.controller.abort();
  }

  private open(): void {
    const {signal} = this.controller;
    if (signal.aborted) return;
    const marks = this.member.log.marks();
    const stream = this.client.stream({term: this.term, marks});
    this.stream = stream;
    stream.on('data', (batch: ReplicationBatch) => {
      this.afterDelay(() => this.onBatch(stream, batch));
    });
    let ended = false;
    const onEnd = () => {
      if (ended) return;
      ended = true;
      if (this.stream === stream) this.setConnected(false);
      after(signal, RECONNECT_MS, () => this.open());
    };
    stream.on('error', onEnd);
    stream.on('end', onEnd);
  }

  private afterDelay(callback: () => void): void {
    const {receiveMs} = this.member.delays;
    if (receiveMs > 0) after(this.controller.signal, receiveMs, callback);
    else callback();
  }

  private onBatch(
    stream: ClientReadableStream<ReplicationBatch>,
    batch: ReplicationBatch,
  ): void {
    if (this.controller.signal.aborted || this.stream !== stream) return;
    this.heardAt = Date.now();
    if (batch.first) this.member.onMatched(batch.keepOffset, batch.endOffset);
    if (batch.entries.length > 0) this.member.onEntries(batch);
    this.setConnected(true);
  }

  private checkSilence(): void {
    if (!this.connected || Date.now() - this.heardAt < SILENCE_MS) return;
    this.setConnected(false);
  }

  private setConnected(connected: boolean): void {
    if (this.connected === connected) return;
    this.connected = connected;
    this.member.onUpstreamChange();
  }
}
