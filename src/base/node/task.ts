import csp from 'js-csp';
import {toError} from '../common/errors';
import {stopOnBrokenInvariant} from './broken_invariant';
import {MessageBuffer} from './message_buffer';

/**
 * A typed js-csp process.
 *
 * js-csp throws when too many puts wait on a channel and swallows exceptions
 * of a process. Mailboxes are therefore bounded buffers whose puts never wait,
 * and a task that throws stops the program.
 */
export type Task<T> = Generator<unknown, T, unknown>;

const MAILBOX_CAPACITY = 16_384;

/** A bounded queue of messages to one task. */
export class Mailbox<M> {
  private readonly channel;

  constructor(capacity = MAILBOX_CAPACITY) {
    this.channel = csp.chan(new MessageBuffer(capacity));
  }

  /** Adds a message; false if the mailbox is full or closed. */
  post(message: M): boolean {
    return csp.offer(this.channel, message);
  }

  /** Waits for the next message; undefined once it is closed and empty. */
  *receive(): Task<M | undefined> {
    const message = yield csp.take(this.channel);
    return message === csp.CLOSED ? undefined : (message as M);
  }

  /** The next message, or undefined if there is none. */
  poll(): M | undefined {
    const message = csp.poll(this.channel);
    const isEmpty = message === csp.NO_VALUE || message === csp.CLOSED;
    return isEmpty ? undefined : (message as M);
  }

  close(): void {
    this.channel.close();
  }
}

/** Waits in a task for a promise; a rejection is returned as a value. */
export function* settled<T>(
  promise: Promise<T>,
): Task<{readonly value: T} | {readonly error: Error}> {
  const result = csp.chan(new MessageBuffer(1));
  promise.then(
    value => csp.putAsync(result, {value}),
    error => csp.putAsync(result, {error: toError(error)}),
  );
  return (yield csp.take(result)) as {value: T} | {error: Error};
}

/** Waits in a task for a time. */
export function* sleep(milliseconds: number): Task<void> {
  yield* settled(new Promise(resolve => setTimeout(resolve, milliseconds)));
}

/** A value that a task waits for; cheaper than a promise. */
export class PendingReply<T> {
  private readonly channel = csp.chan(new MessageBuffer(1));

  /** Sets the value; further calls have no effect. */
  readonly resolve = (value: T): void => {
    csp.offer(this.channel, value);
  };

  *wait(): Task<T> {
    return (yield csp.take(this.channel)) as T;
  }
}

/** Runs a task; the promise resolves when it ends. */
export function startTask(name: string, body: () => Task<void>): Promise<void> {
  return new Promise(resolve => {
    csp.spawn(runGuarded(name, body, resolve));
  });
}

/** Runs a task that nobody waits for. */
export function spawnTask(name: string, body: () => Task<void>): void {
  csp.spawn(runGuarded(name, body, () => {}));
}

function* runGuarded(
  name: string,
  body: () => Task<void>,
  onDidEnd: () => void,
): Task<void> {
  try {
    yield* body();
  } catch (error) {
    stopOnBrokenInvariant(name, toError(error));
  }
  onDidEnd();
}
