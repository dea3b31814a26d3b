import {createAbortController} from './timers';

declare const PROGRAM_VERSION: string;

/** The version of the build, printed by --version. */
export const VERSION =
  typeof PROGRAM_VERSION === 'string' ? PROGRAM_VERSION : 'development';

/** Exit codes, as in sysexits.h. */
export const EXIT_USAGE = 64;
export const EXIT_UNAVAILABLE = 69;
export const EXIT_IO_ERROR = 74;
export const EXIT_SETTINGS = 78;

/** Creates a signal that aborts on SIGTERM or SIGINT. */
export function createStopSignal(): AbortSignal {
  const controller = createAbortController();
  for (const name of ['SIGTERM', 'SIGINT'] as const) {
    process.once(name, () => controller.abort());
  }
  return controller.signal;
}

/** Prints lines to standard error and exits. */
export function exit(code: number, lines: readonly string[]): never {
  process.stderr.write(`${lines.join('\n')}\n`);
  process.exit(code);
}
