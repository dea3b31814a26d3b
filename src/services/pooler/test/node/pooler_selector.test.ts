import {describe, expect, it} from 'vitest';
import {ManualClock} from '../../../../base/common/clock';
import {callerName} from '../../../../base/common/ids';
import {ClassAdmission} from '../../../admission/common/class_admission';
import type {CheckoutRefusal} from '../../../dispatch/common/checkout_request';
import type {SessionContext} from '../../../gateway/node/session_context';
import {makeRoute} from '../../../gateway/test/node/session_fixture';
import {SHARED_USER} from '../../../target_link/common/target_link';
import {PoolerWaits} from '../../common/pooler_waits';
import type {PoolerDirectory} from '../../node/pooler_directory';
import type {PoolerLink} from '../../node/pooler_link';
import {PoolerSelector} from '../../node/pooler_selector';

/** A proxy with two poolers, and a route that expects 1,000 ms. */
class Proxy {
  readonly clock = new ManualClock();
  readonly near = makeLink('near');
  readonly far = makeLink('far');
  readonly refused: CheckoutRefusal[] = [];
  private readonly classes = new ClassAdmission(this.clock);
  private readonly decision = new PoolerSelector({
    readyLinks: () => [this.near, this.far],
  } as unknown as PoolerDirectory);

  constructor(priorities: readonly number[]) {
    this.classes.setRoutes(
      priorities.map(priority => ({service: 'books', priority})),
    );
  }

  tell(link: PoolerLink, waitMs: number): void {
    const word = {service: 'books', needsPrimary: true, priority: 1, waitMs};
    link.waits.update([word], this.clock.now());
  }

  decide(): PoolerLink | CheckoutRefusal {
    const now = this.clock.now();
    const context = {
      classes: this.classes,
      clock: this.clock,
      caller: callerName('c'),
      startupWaitMs: () => 0,
      telemetry: {
        recordRefusal: (
          ...[, , refusal]: [unknown, unknown, CheckoutRefusal]
        ) => {
          this.refused.push(refusal);
        },
      },
    } as unknown as SessionContext;
    return this.decision.select(context, this.near, {
      route: makeRoute({priority: 1, objectiveMs: 1_000, statementMs: 2_000}),
      wish: {service: 'books', user: SHARED_USER, needsPrimary: true},
      since: now,
      deadline: now + 2_000,
      requestId: 'q1',
    });
  }
}

function makeLink(address: string): PoolerLink {
  return {address, waits: new PoolerWaits()} as unknown as PoolerLink;
}

describe('new work at a proxy, by class', () => {
  const priorities = [0, 1, 2];

  it('goes to the first pooler while it is in time there', () => {
    const proxy = new Proxy(priorities);
    expect(proxy.decide()).toBe(proxy.near);
    proxy.tell(proxy.near, 800);
    expect(proxy.decide()).toBe(proxy.near);
  });

  it('goes to another one where the first has no time for it', () => {
    const proxy = new Proxy(priorities);
    proxy.tell(proxy.near, 1_500);
    expect(proxy.decide()).toBe(proxy.far);
  });

  it('is refused before any message where all are too busy', () => {
    const proxy = new Proxy(priorities);
    proxy.tell(proxy.near, 1_500);
    proxy.tell(proxy.far, 1_200);
    expect(proxy.decide()).toMatchObject({
      reason: 'overloaded',
      retryAfterMs: 1_200,
    });
    expect(proxy.refused[0]!.detail).toContain('word=far');
  });

  it('is sent again once the words are old', () => {
    const proxy = new Proxy(priorities);
    proxy.tell(proxy.near, 1_500);
    proxy.tell(proxy.far, 1_500);
    proxy.clock.advance(301);
    expect(proxy.decide()).toBe(proxy.near);
  });

  it('goes where it went before without classes', () => {
    const proxy = new Proxy([1, 2]);
    proxy.tell(proxy.near, 1_500);
    proxy.tell(proxy.far, 1_500);
    expect(proxy.decide()).toBe(proxy.near);
  });
});
