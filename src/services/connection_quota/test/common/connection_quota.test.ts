import {beforeEach, describe, expect, it} from 'vitest';
import {ManualClock} from '../../../../base/common/clock';
import {ConnectionQuota} from '../../common/connection_quota';

let clock: ManualClock;
let quota: ConnectionQuota;

beforeEach(() => {
  clock = new ManualClock();
  clock.advance(100_000);
  quota = new ConnectionQuota(clock);
  quota.onDidAttach();
  quota.extendLease(clock.now());
});

function grant(connections: number, number: number): void {
  const grants = [{service: 'books', instance: 'm1', connections}];
  quota.setGrants({grants, number});
}

const updateUse = (open: number, wanted: number) => {
  quota.updateUse('books', 'm1', {open, wanted});
};
const limit = () => quota.limitOf('books', 'm1', 7.8);

describe('a proxy without a request for reports', () => {
  it('reports nothing and applies its equal shares', () => {
    // Deployments without grants must not pay for reports.
    updateUse(3, 200);
    clock.advance(5_000);
    expect(quota.isReportUrgent).toBe(false);
    expect(quota.takeReport()).toEqual({connections: [], grantsNumber: 0});
    expect(limit()).toBeUndefined();
  });
});

describe('a proxy with a request for reports', () => {
  it('reports all connections at once, and then only changes', () => {
    updateUse(3, 4);
    quota.setGrants({grants: [], number: 1});
    expect(quota.isReportUrgent).toBe(true);
    const [use] = quota.takeReport().connections;
    expect(use).toMatchObject({open: 3, wanted: 4, granted: 0});
    expect(quota.takeReport().connections).toEqual([]);
    updateUse(3, 9);
    expect(quota.takeReport().connections).toHaveLength(1);
  });

  it('reports urgently when it wants twice its grant', () => {
    updateUse(3, 4);
    grant(5, 1);
    quota.takeReport();
    updateUse(5, 10);
    expect(quota.isReportUrgent).toBe(false);
    clock.advance(100);
    expect(quota.isReportUrgent).toBe(true);
  });

  it('ignores a list that is older than the one in force', () => {
    // Guards against connections that a late list grants again, though others
    // have opened them since.
    grant(5, 2);
    grant(40, 1);
    expect(limit()).toBe(5);
  });

  it('lowers the wanted connections over seconds', () => {
    updateUse(0, 16);
    clock.advance(500);
    updateUse(0, 0);
    expect(quota.views[0]!.wanted).toBeGreaterThan(10);
    clock.advance(6_000);
    updateUse(0, 0);
    expect(quota.views[0]!.wanted).toBeLessThanOrEqual(1);
  });

  it('lowers a grant when the member refuses a connection', () => {
    // Guards against further attempts, which would only delay callers.
    grant(12, 1);
    quota.onDidRefuseConnection('books', 'm1', 8);
    expect(limit()).toBe(8);
    expect(quota.takeReport().connections[0]!.granted).toBe(8);
  });
});

describe('a proxy without control', () => {
  it('uses its equal share after the lease', () => {
    // Guards against connections that are in use twice: control grants those of
    // an unresponsive pooler to others.
    grant(20, 1);
    clock.advance(2_900);
    expect(limit()).toBe(20);
    clock.advance(100);
    expect(limit()).toBe(7);
  });

  it('starts the lease at its request, not at the answer', () => {
    // Guards against connections that are in use twice where the answer is
    // late: the lease at control starts with the request.
    grant(20, 1);
    const requestedAt = clock.now();
    clock.advance(2_000);
    quota.extendLease(requestedAt);
    clock.advance(1_000);
    expect(limit()).toBe(7);
  });

  it('reports its grants to the next leader', () => {
    // Guards against grants that are lowered to the open connections at each
    // change of leader.
    grant(20, 3);
    updateUse(12, 12);
    clock.advance(800);
    quota.onDidAttach();
    expect(limit()).toBe(20);
    quota.setGrants({grants: [], number: 1});
    const {connections, grantsNumber} = quota.takeReport();
    expect(connections[0]).toMatchObject({open: 12, granted: 20});
    expect(grantsNumber).toBe(1);
  });

  it('drops grants where the next leader sends none', () => {
    // Guards against old grants that stay in force after all limits were
    // removed during a change of leader.
    grant(20, 1);
    quota.onDidAttach();
    for (let count = 0; count < 8; count++) {
      clock.advance(400);
      quota.extendLease(clock.now());
    }
    expect(limit()).toBeUndefined();
  });
});
