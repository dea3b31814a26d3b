import type {MemberUser} from '../../../base/common/ids';
import {SHARED_USER} from '../../target_link/common/target_link';
import type {MemberView} from '../common/choose_member';
import type {ConnectionLimits} from './connection_limits';
import type {MemberPool} from './member_pool';

/** The request that a member is considered for. */
export interface ViewOptions {
  readonly user: MemberUser;
  /** Whether a connection may be opened for the request. */
  readonly mayConnect: boolean;
  readonly isPrimary: boolean;
}

/** Returns a member's state for the choice of one request's member. */
export function makeMemberView(
  pool: MemberPool,
  {user, mayConnect, isPrimary}: ViewOptions,
  limits: ConnectionLimits,
): MemberView {
  const {member} = pool;
  const hasIdle = pool.hasIdle(user);
  const canConnect = () =>
    mayConnect && pool.canConnect(limits.limitOf(member), user);
  return {
    instance: member.instance,
    isPrimary,
    isDraining: member.draining,
    isFailing: pool.isFailing && !hasIdle,
    runningCount: pool.runningCount,
    slots: member.slots,
    latencyMs: pool.latencyMs,
    isAvailable: pool.hasWindow && (hasIdle || canConnect()),
    needsConnect: !hasIdle && user !== SHARED_USER,
    lagMs: pool.lagMs,
    isSameRegion: limits.isSameRegion(member),
  };
}
