import {setMaxListeners} from 'node:events';

/** Timers that end with an abort signal. */

/** Calls back after a time, unless the signal aborts first. */
export function after(
  signal: AbortSignal,
  milliseconds: number,
  callback: () => void,
): () => void {
  if (signal.aborted) return () => {};
  const cancel = () => {
    clearTimeout(timer);
    signal.removeEventListener('abort', cancel);
  };
  const timer = setTimeout(() => {
    cancel();
    callback();
  }, milliseconds);
  signal.addEventListener('abort', cancel);
  return cancel;
}

/** Calls back again and again until the signal aborts. */
export function every(
  signal: AbortSignal,
  milliseconds: number,
  callback: () => void,
): void {
  if (signal.aborted) return;
  const timer = setInterval(callback, milliseconds);
  signal.addEventListener('abort', () => clearInterval(timer), {once: true});
}

const ENDED = new Error('ended');

/**
 * Ends with one reason for all: without one, each end makes an error with the
 * stack of its own, which costs more than all else of a short connection's end.
 */
class OwnController extends AbortController {
  override abort(reason: unknown = ENDED): void {
    super.abort(reason);
  }
}

/** A controller whose signal any number of owners may listen to. */
export function ownController(): AbortController {
  const controller = new OwnController();
  setMaxListeners(0, controller.signal);
  return controller;
}

/** A controller that aborts with its parent, and alone when told to. */
export function childController(parent: AbortSignal): AbortController {
  const child = ownController();
  if (parent.aborted) {
    child.abort();
    return child;
  }
  const onParentAbort = () => child.abort();
  parent.addEventListener('abort', onParentAbort, {once: true});
  child.signal.addEventListener(
    'abort',
    () => parent.removeEventListener('abort', onParentAbort),
    {once: true},
  );
  return child;
}
