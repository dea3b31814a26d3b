import {setMaxListeners} from 'node:events';
import {TICK_MS, processTicker, type PeriodicCallback} from './ticker';

/** Calls back after a time unless the signal aborts; returns a cancel. */
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

/** Calls back periodically until the signal aborts. */
export function every(
  signal: AbortSignal,
  milliseconds: number,
  callback: () => void,
): void {
  if (signal.aborted) return;
  if (milliseconds < TICK_MS) return everyExact(signal, milliseconds, callback);
  scheduleUntilAbort(signal, {
    periodMs: () => milliseconds,
    onDidTick: callback,
  });
}

/** Intervals of a periodic check, in milliseconds. */
export interface Periods {
  /** While there is work. */
  readonly busyMs: number;
  /** While there is none; Infinity for no checks. */
  readonly idleMs: number;
}

/**
 * Calls back periodically until the signal aborts; the callback returns whether
 * there is work, which selects the interval. The returned function announces
 * new work.
 */
export function everyWhileBusy(
  signal: AbortSignal,
  {busyMs, idleMs}: Periods,
  callback: () => boolean,
): () => void {
  if (signal.aborted) return () => {};
  let isBusy = true;
  const periodic = {
    periodMs: () => (isBusy ? busyMs : idleMs),
    onDidTick: () => {
      isBusy = callback();
    },
  };
  scheduleUntilAbort(signal, periodic);
  return () => {
    if (isBusy || signal.aborted) return;
    isBusy = true;
    processTicker.schedule(periodic);
  };
}

function scheduleUntilAbort(
  signal: AbortSignal,
  periodic: PeriodicCallback,
): void {
  processTicker.schedule(periodic);
  const onAbort = () => processTicker.remove(periodic);
  signal.addEventListener('abort', onAbort, {once: true});
}

/** For periods below a tick, which the ticker would round up. */
function everyExact(
  signal: AbortSignal,
  milliseconds: number,
  callback: () => void,
): void {
  const timer = setInterval(callback, milliseconds);
  signal.addEventListener('abort', () => clearInterval(timer), {once: true});
}

const DEFAULT_REASON = new Error('ended');

/**
 * Aborts with a shared default reason: creating an error with a stack for each
 * abort is expensive for short connections.
 */
class DefaultReasonController extends AbortController {
  override abort(reason: unknown = DEFAULT_REASON): void {
    super.abort(reason);
  }
}

/** Creates a controller whose signal allows any number of listeners. */
export function createAbortController(): AbortController {
  const controller = new DefaultReasonController();
  setMaxListeners(0, controller.signal);
  return controller;
}

/** Creates a controller that aborts with its parent or on its own. */
export function createChildController(parent: AbortSignal): AbortController {
  const child = createAbortController();
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
