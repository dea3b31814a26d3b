import {status, type ServerWritableStream} from '@grpc/grpc-js';
import {every} from '../../base/node/timers';
import type {
  ReplicatedEntry,
  ReplicationBatch,
  ReplicationRequest,
  ReplicationServer,
} from '../../schema/generated/replication';
import type {GroupEntry} from '../common/group_log';
import type {GroupMember} from './group_member';

const MOST_ENTRIES_A_BATCH = 256;
const HEARTBEAT_MS = 50;

type Stream = ServerWritableStream<ReplicationRequest, ReplicationBatch>;

/** The primary's end of replication streams. */
export class ReplicationService {
  private readonly attached = new Set<AttachedReplica>();

  constructor(
    private readonly member: GroupMember,
    signal: AbortSignal,
  ) {
    member.onDidChange(() => this.pushAll());
    every(signal, HEARTBEAT_MS, () => this.heartbeat());
  }

  get handlers(): ReplicationServer {
    return {stream: stream => this.accept(stream)};
  }

  private accept(stream: Stream): void {
    const {term, marks} = stream.request;
    if (!this.leads(term)) {
      stream.emit('error', {
        code: status.FAILED_PRECONDITION,
        details: 'not the primary of this term',
      });
      return;
    }
    const {log} = this.member;
    const replica = new AttachedReplica(stream, term, this.member);
    this.attached.add(replica);
    const onEnd = () => this.attached.delete(replica);
    stream.on('cancelled', onEnd);
    stream.on('error', onEnd);
    stream.on('close', onEnd);
    replica.begin(log.commonOffset(marks));
  }

  private leads(term: number): boolean {
    return this.member.isPrimary && this.member.currentTerm === term;
  }

  private pushAll(): void {
    for (const replica of this.attached) {
      if (this.leads(replica.term)) replica.push();
      else this.detach(replica);
    }
  }

  private heartbeat(): void {
    for (const replica of this.attached) replica.heartbeat();
  }

  private detach(replica: AttachedReplica): void {
    this.attached.delete(replica);
    replica.end();
  }
}

/** One replica's place in the primary's log. */
class AttachedReplica {
  private sent = 0;
  private pushing = false;

  constructor(
    private readonly stream: Stream,
    readonly term: number,
    private readonly member: GroupMember,
  ) {}

  begin(keepOffset: number): void {
    this.sent = keepOffset;
    const endOffset = this.member.log.lastOffset;
    this.write({keepOffset, endOffset, first: true});
    this.push();
  }

  /** Sends what is new; commits at one time make one batch. */
  push(): void {
    if (this.pushing) return;
    this.pushing = true;
    setImmediate(() => {
      this.pushing = false;
      this.sendNew();
    });
  }

  heartbeat(): void {
    this.write({});
  }

  end(): void {
    this.stream.end();
  }

  private sendNew(): void {
    if (this.stream.cancelled || this.stream.destroyed) return;
    const {log, isPrimary, currentTerm} = this.member;
    if (!isPrimary || currentTerm !== this.term) return;
    for (;;) {
      const entries = log.after(this.sent, MOST_ENTRIES_A_BATCH);
      if (entries.length === 0) return;
      this.sent += entries.length;
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

function encodeEntry({offset, term, operations}: GroupEntry): ReplicatedEntry {
  return {offset, term, operations: JSON.stringify(operations)};
}
