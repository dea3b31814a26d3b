import {status, type ServerWritableStream} from '@grpc/grpc-js';
import {every} from '../../base/node/timers';
import type {
  ReplicatedEntry,
  ReplicationBatch,
  ReplicationRequest,
  ReplicationServer,
} from '../../schema/generated/replication';
import type {LogEntry} from '../common/group_log';
import type {GroupMember} from './group_member';

const MAX_BATCH_ENTRIES = 256;
const HEARTBEAT_INTERVAL_MS = 50;

type Stream = ServerWritableStream<ReplicationRequest, ReplicationBatch>;

/** Streams the primary's log to its replicas. */
export class ReplicationService {
  private readonly replicas = new Set<AttachedReplica>();

  constructor(
    private readonly member: GroupMember,
    signal: AbortSignal,
  ) {
    member.onDidChange(() => this.scheduleAll());
    every(signal, HEARTBEAT_INTERVAL_MS, () => this.sendHeartbeats());
  }

  get handlers(): ReplicationServer {
    return {stream: stream => this.accept(stream)};
  }

  private accept(stream: Stream): void {
    const {term, marks} = stream.request;
    if (!this.isPrimaryInTerm(term)) {
      stream.emit('error', {
        code: status.FAILED_PRECONDITION,
        details: 'not the primary of this term',
      });
      return;
    }
    const {log} = this.member;
    const replica = new AttachedReplica(stream, term, this.member);
    this.replicas.add(replica);
    const onEnd = () => this.replicas.delete(replica);
    stream.on('cancelled', onEnd);
    stream.on('error', onEnd);
    stream.on('close', onEnd);
    replica.start(log.commonOffset(marks));
  }

  private isPrimaryInTerm(term: number): boolean {
    return this.member.isPrimary && this.member.currentTerm === term;
  }

  private scheduleAll(): void {
    for (const replica of this.replicas) {
      if (this.isPrimaryInTerm(replica.term)) replica.scheduleSend();
      else this.detach(replica);
    }
  }

  private sendHeartbeats(): void {
    for (const replica of this.replicas) replica.sendHeartbeat();
  }

  private detach(replica: AttachedReplica): void {
    this.replicas.delete(replica);
    replica.end();
  }
}

/** The stream to one replica, with the offset sent so far. */
class AttachedReplica {
  private sentOffset = 0;
  private isSendScheduled = false;

  constructor(
    private readonly stream: Stream,
    readonly term: number,
    private readonly member: GroupMember,
  ) {}

  start(keepOffset: number): void {
    this.sentOffset = keepOffset;
    const endOffset = this.member.log.lastOffset;
    this.write({keepOffset, endOffset, first: true});
    this.scheduleSend();
  }

  /** Schedules sending new entries; batches commits of one loop turn. */
  scheduleSend(): void {
    if (this.isSendScheduled) return;
    this.isSendScheduled = true;
    setImmediate(() => {
      this.isSendScheduled = false;
      this.sendNewEntries();
    });
  }

  sendHeartbeat(): void {
    this.write({});
  }

  end(): void {
    this.stream.end();
  }

  private sendNewEntries(): void {
    if (this.stream.cancelled || this.stream.destroyed) return;
    const {log, isPrimary, currentTerm} = this.member;
    if (!isPrimary || currentTerm !== this.term) return;
    for (;;) {
      const entries = log.readAfter(this.sentOffset, MAX_BATCH_ENTRIES);
      if (entries.length === 0) return;
      this.sentOffset += entries.length;
      this.write({entries: entries.map(encodeEntry)});
    }
  }

  private write(batch: Partial<ReplicationBatch>): void {
    this.stream.write({
      term: this.term,
      keepOffset: 0,
      endOffset: 0,
      first: false,
      entries: [],
      ...batch,
    });
  }
}

function encodeEntry({offset, term, operations}: LogEntry): ReplicatedEntry {
  return {offset, term, operations: JSON.stringify(operations)};
}
