import type {Diagnostic} from '../../services/wire/common/backend';
import type {NotRun, NotRunReason} from './checkout_refusal';

/**
 * What a caller is told apart by SQLSTATE. Class RN: the request was not run,
 * provably; it may be sent again. 08007: whether it ran is unknown.
 */
export const NOT_RUN_OVERLOADED = 'RN001';
export const NOT_RUN_NO_PRIMARY = 'RN002';
export const NOT_RUN_SHUTTING_DOWN = 'RN003';
export const NOT_RUN_UNSUPPORTED = 'RN004';
export const NOT_RUN_LOST_WITH_TERM = 'RN005';
export const OUTCOME_UNKNOWN = '08007';

const CODES: Record<NotRunReason, string> = {
  'queue full': NOT_RUN_OVERLOADED,
  'deadline cannot be met': NOT_RUN_OVERLOADED,
  'deadline passed': NOT_RUN_OVERLOADED,
  'no primary': NOT_RUN_NO_PRIMARY,
  'unknown service': '3D000',
  'shutting down': NOT_RUN_SHUTTING_DOWN,
};

/** The error of a request that was refused before it ran. */
export function notRunError({reason, retryAfterMs}: NotRun): Diagnostic {
  return {
    severity: 'ERROR',
    code: CODES[reason],
    message: `not run: ${reason}`,
    hint: `retry after ${retryAfterMs} ms`,
  };
}

/** The error of a statement that a shared connection cannot serve. */
export function unsupportedError(what: string): Diagnostic {
  return {
    severity: 'ERROR',
    code: NOT_RUN_UNSUPPORTED,
    message: `not run: ${what} is not supported through the proxy`,
  };
}

/** The error of a write whose end is not known. */
export function unknownError(): Diagnostic {
  return {
    severity: 'ERROR',
    code: OUTCOME_UNKNOWN,
    message: 'unknown: the write may or may not have been done',
    hint: 'repeat it with the same request key, or look before repeating it',
  };
}

/** The error of a commit that went down with its primary. */
export function lostError(): Diagnostic {
  return {
    severity: 'ERROR',
    code: NOT_RUN_LOST_WITH_TERM,
    message: 'not run: the write was undone by a change of primary',
    hint: 'retry after 0 ms',
  };
}

/** The error of a statement whose read was cut off. */
export function readInterrupted(): Diagnostic {
  return {
    severity: 'ERROR',
    code: '57P01',
    message: 'the read was interrupted by the loss of its target',
    hint: 'retry after 0 ms',
  };
}

/** The error that ends a session. */
export function fatal(code: string, message: string): Diagnostic {
  return {severity: 'FATAL', code, message};
}
