import {toError} from '../common/errors';

/** EX_SOFTWARE of sysexits.h. */
const EXIT_BROKEN_INVARIANT = 70;

/** Exits at once, since the state of the program is no longer valid. */
export function stopOnBrokenInvariant(name: string, error: Error): never {
  process.stderr.write(`${name}: broken invariant: ${error.stack}\n`);
  process.exit(EXIT_BROKEN_INVARIANT);
}

/**
 * Lets a promise run that nobody waits for. Its failures are values; so a
 * rejection is a broken invariant, and stops the program under this name.
 */
export function detach(name: string, promise: Promise<unknown>): void {
  promise.catch(thrown => stopOnBrokenInvariant(name, toError(thrown)));
}
