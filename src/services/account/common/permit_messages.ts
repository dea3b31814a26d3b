import type {PermitReply} from '../../../schema/generated/account';
import type {PermitDecision} from './permit_counting';

/** Encodes the decision on the request with a number. */
export function encodeDecision(
  number: number,
  decision: PermitDecision,
): PermitReply {
  const none = {number, granted: 0, validMs: 0, waitMs: 0};
  switch (decision.kind) {
    case 'granted': {
      const {count, validMs, waitMs} = decision;
      return {
        number,
        granted: count,
        // Rounded so that the requester never keeps a permit for longer, and
        // never runs an operation before its token is added.
        validMs: Math.floor(validMs),
        waitMs: Math.ceil(waitMs),
        unknownAccount: false,
      };
    }
    case 'refused': {
      const waitMs = Math.ceil(decision.retryAfterMs);
      return {...none, waitMs, unknownAccount: false};
    }
    case 'unknown account':
      return {...none, unknownAccount: true};
  }
}

/** Decodes the decision of a reply. */
export function decodeDecision({
  granted,
  validMs,
  waitMs,
  unknownAccount,
}: PermitReply): PermitDecision {
  if (unknownAccount) return {kind: 'unknown account'};
  if (granted === 0) return {kind: 'refused', retryAfterMs: waitMs};
  return {kind: 'granted', count: granted, validMs, waitMs};
}
