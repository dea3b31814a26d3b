import {setMaxListeners} from 'node:events';
import {GRID_MS, processTicker, type PeriodicCallback} from './ticker';

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
  if (milliseconds < GRID_MS) return everyShort(signal, milliseconds, callback);
  callUntil(signal, {periodMs: () => milliseconds, onDidCome: callback});
}

/** How often something is looked at, in milliseconds. */
export interface Periods {
  /** While there is something to do. */
  readonly busyMs: number;
  /** While there is nothing to do; Infinity for not at all. */
  readonly restMs: number;
}

/**
 * Calls back again and again until the signal aborts, less often while there is
 * nothing to do, as the last call said. The result tells that there is
 * something to do from now on.
 */
export function everyWhileBusy(
  signal: AbortSignal,
  {busyMs, restMs}: Periods,
  callback: () => boolean,
): () => void {
  if (signal.aborted) return () => {};
  let isBusy = true;
  const periodic = {
    periodMs: () => (isBusy ? busyMs : restMs),
    onDidCome: () => {
      isBusy = callback();
    },
  };
  callUntil(signal, periodic);
  return () => {
    if (isBusy || signal.aborted) return;
    isBusy = true;
    processTicker.schedule(periodic);
  };
}

function callUntil(signal: AbortSignal, periodic: PeriodicCallback): void {
  processTicker.schedule(periodic);
  const onAbort = () => processTicker.remove(periodic);
  signal.addEventListener('abort', onAbort, {once: true});
}

function everyShort(
  signal: AbortSignal,
  milliseconds: number,
  callback: () => void,
): void {
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
