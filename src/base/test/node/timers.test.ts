import {describe, expect, it} from 'vitest';
import {createChildController, createAbortController} from '../../node/timers';

describe('an abort controller', () => {
  it('shares its default reason with its children', () => {
    const parent = createAbortController();
    const child = createChildController(parent.signal);
    parent.abort();
    expect(child.signal.aborted).toBe(true);
    expect(child.signal.reason).toBe(parent.signal.reason);
  });

  it('keeps a given reason', () => {
    const controller = createAbortController();
    const reason = new Error('a reason');
    controller.abort(reason);
    expect(controller.signal.reason).toBe(reason);
  });
});
