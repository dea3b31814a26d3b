import {err, type Result} from '../../../base/common/result';
import type {RefusalReason, RequestId} from '../common/consensus_types';

/** The outcome of a proposal or confirmation. */
export type RequestOutcome = Result<number, RefusalReason>;

/** What a request waits for; a read changes nothing. */
export type RequestKind = 'read' | 'change';

interface OpenRequest {
  readonly kind: RequestKind;
  readonly startedAt: number;
  resolve(outcome: RequestOutcome): void;
}

/** Requests to a consensus node that have no outcome yet. */
export class OpenRequests {
  private readonly requests = new Map<RequestId, OpenRequest>();
  private lastId = 0;

  add(request: OpenRequest): RequestId {
    const id = ++this.lastId;
    this.requests.set(id, request);
    return id;
  }

  /** Ignores requests that were refused before. */
  complete(id: RequestId, outcome: RequestOutcome): void {
    this.requests.get(id)?.resolve(outcome);
    this.requests.delete(id);
  }

  refuseAll(reason: RefusalReason): void {
    for (const id of this.requests.keys()) this.complete(id, err(reason));
  }

  /** Refuses the reads that started at or before a moment. */
  refuseReadsUntil(startedAt: number, reason: RefusalReason): void {
    for (const [id, request] of this.requests) {
      const isOverdue = request.startedAt <= startedAt;
      if (request.kind === 'read' && isOverdue) this.complete(id, err(reason));
    }
  }
}
