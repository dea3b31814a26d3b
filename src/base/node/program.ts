import {ownController} from './timers';

declare const PROGRAM_VERSION: string;

/** The version that --version prints. */
export const VERSION =
  typeof PROGRAM_VERSION === 'string' ? PROGRAM_VERSION : 'development';

/** Exit codes, as in the usual table of system exits. */
export const EXIT_USAGE = 64;
export const EXIT_UNAVAILABLE = 69;
export const EXIT_IO_ERROR = 74;
export const EXIT_SETTINGS = 78;

/** A signal that aborts when the program is told to stop. */
export function stopSignal(): AbortSignal {
  const controller = ownController();
  for (const name of ['SIGTERM', 'SIGINT'] as const) {
    process.once(name, () => controller.abort());
  }
  return controller.signal;
}

/** Prints an error and ends the program with an exit code. */
export function fail(code: number, lines: readonly string[]): never {
  process.stderr.write(`${lines.join('\n')}\n`);
  process.exit(code);
}
