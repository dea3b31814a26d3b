import type {Diagnostic} from '../../services/wire/common/backend';
import type {CheckoutRefusal, RefusalReason} from './checkout_refusal';

/**
 * SQLSTATEs of the proxy's own errors. Class RN: the request had no effect and
 * may be sent again. 08007: the outcome is unknown.
 */
export const NOT_RUN_OVERLOADED = 'RN001';
export const NOT_RUN_NO_PRIMARY = 'RN002';
export const NOT_RUN_SHUTTING_DOWN = 'RN003';
export const NOT_RUN_UNSUPPORTED = 'RN004';
export const NOT_RUN_LOST_WITH_TERM = 'RN005';
export const OUTCOME_UNKNOWN = '08007';

const REFUSAL_CODES: Record<RefusalReason, string> = {
  'queue full': NOT_RUN_OVERLOADED,
  'deadline cannot be met': NOT_RUN_OVERLOADED,
  'deadline passed': NOT_RUN_OVERLOADED,
  'no primary': NOT_RUN_NO_PRIMARY,
  'unknown service': '3D000',
  'shutting down': NOT_RUN_SHUTTING_DOWN,
};

/** The error of a request that was refused before it reached a target. */
export function notRunError({
  reason,
  retryAfterMs,
}: CheckoutRefusal): Diagnostic {
  return {
    severity: 'ERROR',
    code: REFUSAL_CODES[reason],
    message: `not run: ${reason}`,
    hint: `retry after ${retryAfterMs} ms`,
  };
}

/** The error of a statement that pooled connections cannot support. */
export function unsupportedError(feature: string): Diagnostic {
  return {
    severity: 'ERROR',
    code: NOT_RUN_UNSUPPORTED,
    message: `not run: ${feature} is not supported through the proxy`,
  };
}

/** The error of a write whose outcome is unknown. */
export function unknownOutcomeError(): Diagnostic {
  return {
    severity: 'ERROR',
    code: OUTCOME_UNKNOWN,
    message: 'unknown: the write may or may not have been done',
    hint: 'repeat it with the same request key, or look before repeating it',
  };
}

/** The error of a commit that was undone by a change of primary. */
export function undoneWriteError(): Diagnostic {
  return {
    severity: 'ERROR',
    code: NOT_RUN_LOST_WITH_TERM,
    message: 'not run: the write was undone by a change of primary',
    hint: 'retry after 0 ms',
  };
}

/** The error of a read whose target was lost in the middle of its reply. */
export function readInterruptedError(): Diagnostic {
  return {
    severity: 'ERROR',
    code: '57P01',
    message: 'the read was interrupted by the loss of its target',
    hint: 'retry after 0 ms',
  };
}

/** A FATAL error: the session ends with it. */
export function fatalError(code: string, message: string): Diagnostic {
  return {severity: 'FATAL', code, message};
}
