import {expect, it} from 'vitest';
import {ClaimedRole, type Member} from '../../../../schema/generated/fleet';
import {Roster} from '../../common/roster';

const member = (over: Partial<Member> = {}): Member => ({
  instance: 'm1',
  service: 's',
  address: 'x:1',
  site: 'z',
  slots: 2,
  draining: false,
  born: 0,
  recovering: false,
  role: ClaimedRole.CLAIMED_ROLE_REPLICA,
  ...over,
});

it('ignores an announcement that arrives out of order', () => {
  // A member starts to drain, and an older heartbeat arrives late. The member
  // would get new work until it stops.
  const roster = new Roster();
  roster.announce({member: member(), sequence: 1}, 0);
  roster.announce({member: member({draining: true}), sequence: 3}, 10);
  roster.announce({member: member(), sequence: 2}, 20);
  expect(roster.get('m1')?.draining).toBe(true);
});

it('counts only changes that are relevant for proxies', () => {
  const roster = new Roster();
  roster.announce({member: member(), sequence: 1}, 0);
  const {revision} = roster;
  roster.announce({member: member(), sequence: 2}, 10);
  expect(roster.revision).toBe(revision);
  expect(roster.lastHeardAt('m1')).toBe(10);
});

it('accepts a restarted member with the same name', () => {
  // A member restarts and its sequence numbers start again. Ignored until they
  // exceed the old ones, it would stay a primary to the proxies.
  const roster = new Roster();
  const primary = ClaimedRole.CLAIMED_ROLE_PRIMARY;
  const first = member({born: 100, role: primary});
  roster.announce({member: first, sequence: 90}, 0);
  roster.announce({member: member({born: 200}), sequence: 1}, 10);
  expect(roster.get('m1')).toMatchObject({born: 200, role: 2});
});

it('ignores a late announcement of an earlier incarnation', () => {
  // A heartbeat of an earlier incarnation arrives late. It would make an empty
  // replica the primary again.
  const roster = new Roster();
  roster.announce({member: member({born: 200}), sequence: 1}, 0);
  const late = member({born: 100, draining: true});
  roster.announce({member: late, sequence: 91}, 10);
  const unknown = member({born: 0, draining: true});
  roster.announce({member: unknown, sequence: 92}, 20);
  expect(roster.get('m1')).toMatchObject({born: 200, draining: false});
});
