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
  expect(roster.heardAt('m1')).toBe(10);
});
