import csp from 'js-csp';
import {MessageBuffer} from './message_buffer';

/**
 * Tasks in the manner of communicating sequential processes, typed.
 *
 * js-csp throws when more than 1,024 puts wait on a channel, and loses an
 * exception that a process throws. Mailboxes are therefore buffered and
 * bounded and never wait on a put, and a task that throws stops the program.
 */
export type Task<T> = Generator<unknown, T, unknown>;

const MAILBOX_CAPACITY = 16_384;

/** The exit code of a program whose invariant broke. */
export const EXIT_BROKEN_INVARIANT = 70;

/** A bounded queue of messages to one task. */
export class Mailbox<M> {
  private readonly channel;

  constructor(capacity = MAILBOX_CAPACITY) {
    this.channel = csp.chan(new MessageBuffer(capacity));
  }

  /** Puts a message in; false when the mailbox is full or closed. */
  post(message: M): boolean {
    return csp.offer(this.channel, message);
  }

  /** Waits for the next message; undefined once closed and empty. */
  *receive(): Task<M | undefined> {
    const message = yield csp.take(this.channel);
    return message === csp.CLOSED ? undefined : (message as M);
  }

  /** The next message if one is there. */
  poll(): M | undefined {
    const message = csp.poll(this.channel);
    const none = message === csp.NO_VALUE || message === csp.CLOSED;
    return none ? undefined : (message as M);
  }

  close(): void {
    this.channel.close();
  }
}

/** Waits inside a task for a promise; a rejection becomes a value. */
export function* settled<T>(
  promise: Promise<T>,
): Task<{readonly value: T} | {readonly error: Error}> {
  const done = csp.chan(new MessageBuffer(1));
  promise.then(
    value => csp.putAsync(done, {value}),
    error => csp.putAsync(done, {error: toError(error)}),
  );
  return (yield csp.take(done)) as {value: T} | {error: Error};
}

/** Waits inside a task for a time, in milliseconds. */
export function* pause(milliseconds: number): Task<void> {
  yield* settled(new Promise(resolve => setTimeout(resolve, milliseconds)));
}

/** One answer that a task waits for; cheaper than a promise. */
export class Reply<T> {
  private readonly channel = csp.chan(new MessageBuffer(1));

  /** Gives the answer; the first one counts. */
  readonly give = (answer: T): void => {
    csp.offer(this.channel, answer);
  };

  *wait(): Task<T> {
    return (yield csp.take(this.channel)) as T;
  }
}

/** Runs a task; the promise resolves when it ends. */
export function startTask(name: string, body: () => Task<void>): Promise<void> {
  return new Promise(resolve => {
    csp.spawn(guarded(name, body, resolve));
  });
}

function* guarded(
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

/** Ends the program: going on with broken state could break a promise. */
export function stopOnBrokenInvariant(name: string, error: Error): never {
  process.stderr.write(`${name}: broken invariant: ${error.stack}\n`);
  process.exit(EXIT_BROKEN_INVARIANT);
}

/** Whatever was thrown, as an Error. */
export function toError(thrown: unknown): Error {
  return thrown instanceof Error ? thrown : new Error(String(thrown));
}
