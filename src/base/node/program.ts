import type {Result} from '../common/result';
import {logsWritten, type Log} from './log';
import {after, createAbortController} from './timers';

declare const PROGRAM_VERSION: string;

/** The version of the build, printed by --version. */
export const VERSION =
  typeof PROGRAM_VERSION === 'string' ? PROGRAM_VERSION : 'development';

/** Exit codes, as in sysexits.h. */
export const EXIT_USAGE = 64;
export const EXIT_UNAVAILABLE = 69;
export const EXIT_IO_ERROR = 74;
export const EXIT_SETTINGS = 78;

/** A reader of the log that is stalled delays an exit for this time at most. */
const MAX_LOG_WAIT_MS = 200;

/** Creates a signal that aborts on SIGTERM or SIGINT. */
export function createStopSignal(): AbortSignal {
  const controller = createAbortController();
  for (const name of ['SIGTERM', 'SIGINT'] as const) {
    process.once(name, () => controller.abort());
  }
  return controller.signal;
}

/** An address that a program serves. */
export interface ServedAddress {
  readonly address: string;
  /** Who connects to it. */
  readonly clients: string;
}

/**
 * Returns the listener of an address. If the program cannot listen, logs why
 * and exits with `EXIT_UNAVAILABLE`.
 */
export async function listenOrExit<T>(
  log: Log,
  served: ServedAddress,
  pending: Promise<Result<T, Error>>,
): Promise<T> {
  const listening = await pending;
  if (listening.isOk) return listening.value;
  const reason = listening.error.message;
  const code = EXIT_UNAVAILABLE;
  log.error('Cannot listen, exiting.', {...served, reason, code});
  return exitAfterLogging(code);
}

async function exitAfterLogging(code: number): Promise<never> {
  const cancellation = createAbortController();
  const timedOut = new Promise<void>(resolve => {
    after(cancellation.signal, MAX_LOG_WAIT_MS, resolve);
  });
  await Promise.race([logsWritten(), timedOut]);
  process.exit(code);
}

/** Prints lines to standard error and exits. */
export function exit(code: number, lines: readonly string[]): never {
  process.stderr.write(`${lines.join('\n')}\n`);
  process.exit(code);
}
