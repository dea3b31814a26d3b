import type {MemberUser} from '../../../base/common/ids';
import {SHARED_USER} from '../../target_link/common/target_link';
import type {MemberView} from '../common/choose_member';
import type {ConnectionLimits} from './connection_limits';
import type {MemberPool} from './member_pool';

/** What a member is looked at for. */
export interface ViewNeed {
  readonly user: MemberUser;
  /** Whether a connection may be opened for it. */
  readonly mayOpen: boolean;
  readonly isPrimary: boolean;
}

/** A member as a choice for one request sees it. */
export function viewOf(
  pool: MemberPool,
  {user, mayOpen, isPrimary}: ViewNeed,
  limits: ConnectionLimits,
): MemberView {
  const {member} = pool;
  const hasIdle = pool.hasIdle(user);
  const opens = () => mayOpen && pool.mayOpen(limits.limitOf(member), user);
  return {
    instance: member.instance,
    isPrimary,
    draining: member.draining,
    avoided: pool.isFailing && !hasIdle,
    running: pool.running,
    slots: member.slots,
    latencyMs: pool.latencyMs,
    hasRoom: pool.hasWindow && (hasIdle || opens()),
    needsOpening: !hasIdle && user !== SHARED_USER,
    lagMs: pool.lagMs,
    sameRegion: limits.isNear(member),
  };
}
