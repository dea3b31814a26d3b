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

/** A proxy with two poolers, and a route with an objective of 1,000 ms. */
class TestProxy {
  readonly clock = new ManualClock();
  readonly near = makeLink('near');
  readonly far = makeLink('far');
  readonly refusals: CheckoutRefusal[] = [];
  private readonly classes = new ClassAdmission(this.clock);
  private readonly selector = new PoolerSelector({
    readyLinks: () => [this.near, this.far],
  } as unknown as PoolerDirectory);

  constructor(priorities: readonly number[]) {
    this.classes.setRoutes(
      priorities.map(priority => ({service: 'books', priority})),
    );
  }

  report(link: PoolerLink, waitMs: number): void {
    const wait = {service: 'books', needsPrimary: true, priority: 1, waitMs};
    link.waits.update([wait], this.clock.now());
  }

  select(): PoolerLink | CheckoutRefusal {
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
          this.refusals.push(refusal);
        },
      },
    } as unknown as SessionContext;
    return this.selector.select(context, this.near, {
      route: makeRoute({priority: 1, objectiveMs: 1_000, statementMs: 2_000}),
      requirements: {service: 'books', user: SHARED_USER, needsPrimary: true},
      receivedAt: now,
      deadline: now + 2_000,
      requestId: 'q1',
    });
  }
}

function makeLink(address: string): PoolerLink {
  return {address, waits: new PoolerWaits()} as unknown as PoolerLink;
}

describe('a new request at a proxy with classes', () => {
  const priorities = [0, 1, 2];

  it('is sent to the first pooler while it is in time there', () => {
    const proxy = new TestProxy(priorities);
    expect(proxy.select()).toBe(proxy.near);
    proxy.report(proxy.near, 800);
    expect(proxy.select()).toBe(proxy.near);
  });

  it('is sent to another pooler if it would be late at the first', () => {
    const proxy = new TestProxy(priorities);
    proxy.report(proxy.near, 1_500);
    expect(proxy.select()).toBe(proxy.far);
  });

  it('is refused without a message if it would be late at all poolers', () => {
    const proxy = new TestProxy(priorities);
    proxy.report(proxy.near, 1_500);
    proxy.report(proxy.far, 1_200);
    expect(proxy.select()).toMatchObject({
      reason: 'overloaded',
      retryAfterMs: 1_200,
    });
    expect(proxy.refusals[0]!.detail).toContain('source=far');
  });

  it('is sent once the reports are outdated', () => {
    const proxy = new TestProxy(priorities);
    proxy.report(proxy.near, 1_500);
    proxy.report(proxy.far, 1_500);
    proxy.clock.advance(301);
    expect(proxy.select()).toBe(proxy.near);
  });

  it('is sent to the first pooler without classes', () => {
    const proxy = new TestProxy([1, 2]);
    proxy.report(proxy.near, 1_500);
    proxy.report(proxy.far, 1_500);
    expect(proxy.select()).toBe(proxy.near);
  });
});
