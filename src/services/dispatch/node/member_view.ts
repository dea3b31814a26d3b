import type {MemberUser} from '../../../base/common/ids';
import {SHARED_USER} from '../../target_link/common/target_link';
import type {MemberView} from '../common/choose_member';
import type {ConnectionLimits} from './connection_limits';
import type {MemberPool} from './member_pool';

/** What a member is looked at for. */
export interface ViewOptions {
  readonly user: MemberUser;
  /** Whether a connection may be opened for it. */
  readonly mayOpen: boolean;
  readonly isPrimary: boolean;
}

/** A member as a choice for one request sees it. */
export function makeMemberView(
  pool: MemberPool,
  {user, mayOpen, isPrimary}: ViewOptions,
  limits: ConnectionLimits,
): MemberView {
  const {member} = pool;
  const hasIdle = pool.hasIdle(user);
  const opens = () => mayOpen && pool.canConnect(limits.limitOf(member), user);
  return {
    instance: member.instance,
    isPrimary,
    isDraining: member.draining,
    isFailing: pool.isFailing && !hasIdle,
    runningCount: pool.runningCount,
    slots: member.slots,
    latencyMs: pool.latencyMs,
    isAvailable: pool.hasWindow && (hasIdle || opens()),
    needsConnect: !hasIdle && user !== SHARED_USER,
    lagMs: pool.lagMs,
    isSameRegion: limits.isSameRegion(member),
  };
}
