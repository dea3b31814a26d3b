import {beforeEach, describe, expect, it} from 'vitest';
import {ManualClock} from '../../../../base/common/clock';
import {ConnectionQuota} from '../../../connection_quota/common/connection_quota';

let clock: ManualClock;
let room: ConnectionQuota;

beforeEach(() => {
  clock = new ManualClock();
  clock.advance(100_000);
  room = new ConnectionQuota(clock);
  room.onDidAttach();
  room.extendLease(clock.now());
});

function grant(connections: number, number: number): void {
  const grants = [{service: 'books', instance: 'm1', connections}];
  room.setGrants({grants, number});
}

const note = (open: number, wanted: number) => {
  room.updateUse('books', 'm1', {open, wanted});
};
const limit = () => room.limitOf('books', 'm1', 7.8);

describe('a proxy that control did not ask', () => {
  it('says nothing and keeps to its own shares', () => {
    // Deployments whose connections are not handed out pay no byte for it.
    note(3, 200);
    clock.advance(5_000);
    expect(room.isReportUrgent).toBe(false);
    expect(room.takeReport()).toEqual({connections: [], grantsNumber: 0});
    expect(limit()).toBeUndefined();
  });
});

describe('a proxy that control asked', () => {
  it('tells what it has at once, and then only what changed', () => {
    note(3, 4);
    room.setGrants({grants: [], number: 1});
    expect(room.isReportUrgent).toBe(true);
    const [use] = room.takeReport().connections;
    expect(use).toMatchObject({open: 3, wanted: 4, granted: 0});
    expect(room.takeReport().connections).toEqual([]);
    note(3, 9);
    expect(room.takeReport().connections).toHaveLength(1);
  });

  it('cannot wait while it wants twice what it may have', () => {
    note(3, 4);
    grant(5, 1);
    room.takeReport();
    note(5, 10);
    expect(room.isReportUrgent).toBe(false);
    clock.advance(100);
    expect(room.isReportUrgent).toBe(true);
  });

  it('keeps to no list that is older than the one in force', () => {
    // Control lowered a grant, and a list of before comes late. Kept to, it
    // would have the member refuse connections that others opened meanwhile.
    grant(5, 2);
    grant(40, 1);
    expect(limit()).toBe(5);
  });

  it('wants less only over seconds', () => {
    note(0, 16);
    clock.advance(500);
    note(0, 0);
    expect(room.views[0]!.wanted).toBeGreaterThan(10);
    clock.advance(6_000);
    note(0, 0);
    expect(room.views[0]!.wanted).toBeLessThanOrEqual(1);
  });

  it('takes the word of a member that is full', () => {
    // A member refuses a connection below the grant: its own count is another.
    // Each further try would cost a caller its time, for nothing.
    grant(12, 1);
    room.onDidRefuseConnection('books', 'm1', 8);
    expect(limit()).toBe(8);
    expect(room.takeReport().connections[0]!.granted).toBe(8);
  });
});

describe('a proxy that lost control', () => {
  it('falls back to its equal share after the lease', () => {
    // Control frees the part of whoever it does not hear for 3 s. A pooler
    // that was cut off and kept its 20 connections would share them with the
    // ones that they went to, and the member resets both.
    grant(20, 1);
    clock.advance(2_900);
    expect(limit()).toBe(20);
    clock.advance(100);
    expect(limit()).toBe(7);
  });

  it('counts the lease from its question, not from the answer', () => {
    // An answer is long under way. Control counts the lease from when it heard
    // the question, then gives the connections to others: both would open them.
    grant(20, 1);
    const askedAt = clock.now();
    clock.advance(2_000);
    room.extendLease(askedAt);
    clock.advance(1_000);
    expect(limit()).toBe(7);
  });

  it('tells the next leader what it goes by', () => {
    // The leader of control changes. If the next one knew only what is open, it
    // would lower all grants to that, and callers wait after each election.
    grant(20, 3);
    note(12, 12);
    clock.advance(800);
    room.onDidAttach();
    expect(limit()).toBe(20);
    room.setGrants({grants: [], number: 1});
    const {connections, grantsNumber} = room.takeReport();
    expect(connections[0]).toMatchObject({open: 12, granted: 20});
    expect(grantsNumber).toBe(1);
  });

  it('forgets grants where the next leader hands out none', () => {
    // An operator takes all limits away while the leader changes. Kept to, the
    // last grants would bound the proxy for good, and callers wait.
    grant(20, 1);
    room.onDidAttach();
    for (let asked = 0; asked < 8; asked++) {
      clock.advance(400);
      room.extendLease(clock.now());
    }
    expect(limit()).toBeUndefined();
  });
});
