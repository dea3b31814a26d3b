import {status} from '@grpc/grpc-js';
import type {
  ConsensusMessage,
  JoinRequest,
} from '../../schema/generated/consensus';
import type {ConsensusServer} from '../../schema/generated/consensus_service';
import {findMessageFault} from '../../services/consensus/common/message_faults';

/** Where the requests of peers go. */
export interface ConsensusTarget {
  /** Receives a message without contradictions. */
  receive(message: ConsensusMessage): void;
  /** Handles a request to join; false if another instance leads. */
  join(request: JoinRequest): boolean;
  leaderAddress(): string;
}

/** The gRPC service that control instances offer to each other. */
export function consensusHandlers(target: ConsensusTarget): ConsensusServer {
  return {
    deliver(call, respond) {
      const fault = findMessageFault(call.request);
      if (fault !== undefined) {
        return respond({code: status.INVALID_ARGUMENT, details: fault});
      }
      target.receive(call.request);
      respond(null, {});
    },
    join(call, respond) {
      const accepted = target.join(call.request);
      respond(null, {accepted, leaderAddress: target.leaderAddress()});
    },
  };
}
