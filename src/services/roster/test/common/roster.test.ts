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

it('ignores an announcement that a later one overtook', () => {
  // A member says that it leaves; an older heartbeat was held up by a cut and
  // arrives after it. The member would get new work until it is gone.
  const roster = new Roster();
  roster.announce({member: member(), sequence: 1}, 0);
  roster.announce({member: member({draining: true}), sequence: 3}, 10);
  roster.announce({member: member(), sequence: 2}, 20);
  expect(roster.get('m1')?.draining).toBe(true);
});

it('counts only changes that proxies must hear of', () => {
  const roster = new Roster();
  roster.announce({member: member(), sequence: 1}, 0);
  const {revision} = roster;
  roster.announce({member: member(), sequence: 2}, 10);
  expect(roster.revision).toBe(revision);
  expect(roster.lastHeardAt('m1')).toBe(10);
});

it('takes a member that starts again under its name', () => {
  // A member crashes and starts again under the same name; its count starts
  // anew. Ignored until it passes the old one, it would be a primary to the
  // proxies for as long as its first life had lasted.
  const roster = new Roster();
  const primary = ClaimedRole.CLAIMED_ROLE_PRIMARY;
  const first = member({born: 100, role: primary});
  roster.announce({member: first, sequence: 90}, 0);
  roster.announce({member: member({born: 200}), sequence: 1}, 10);
  expect(roster.get('m1')).toMatchObject({born: 200, role: 2});
});

it('ignores what an earlier life says late', () => {
  // A heartbeat of the first life was held up by a cut. Taken for news, it
  // would make an empty replica the primary again.
  const roster = new Roster();
  roster.announce({member: member({born: 200}), sequence: 1}, 0);
  const late = member({born: 100, draining: true});
  roster.announce({member: late, sequence: 91}, 10);
  const unknown = member({born: 0, draining: true});
  roster.announce({member: unknown, sequence: 92}, 20);
  expect(roster.get('m1')).toMatchObject({born: 200, draining: false});
});
