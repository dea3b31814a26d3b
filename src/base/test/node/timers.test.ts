import {describe, expect, it} from 'vitest';
import {childController, ownController} from '../../node/timers';

describe('a controller', () => {
  it('makes no error of its own when it ends', () => {
    const one = ownController();
    const other = childController(one.signal);
    one.abort();
    expect(other.signal.aborted).toBe(true);
    expect(other.signal.reason).toBe(one.signal.reason);
  });

  it('keeps a reason that is given', () => {
    const controller = ownController();
    const reason = new Error('a reason');
    controller.abort(reason);
    expect(controller.signal.reason).toBe(reason);
  });
});
