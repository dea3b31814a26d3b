import type {MemberUser} from '../../../base/common/ids';

/** An open connection that no transaction uses. */
export interface IdleConnection {
  readonly user: MemberUser;
  readonly becameIdleAt: number;
  /** Session settings in effect on it. */
  readonly values: ReadonlyMap<string, string>;
}

/** Which connection a request may use. */
export interface ConnectionRequirement {
  readonly user: MemberUser;
  /** Session settings; a connection that has them is preferred. */
  readonly values: ReadonlyMap<string, string>;
}

/** The connections to a member, and their limit. */
export interface ConnectionCounts {
  readonly open: number;
  readonly connecting: number;
  /** Connects in progress for the user in question. */
  readonly connectingForUser: number;
  readonly limit: number;
  /** Whether control granted the limit, dividing it between instances. */
  readonly isGranted: boolean;
}

/** Which connection to use, which to close, and when to connect. */
export interface ConnectionPolicy {
  /** Returns the idle connection to use; undefined if none fits. */
  choose<C extends IdleConnection>(
    idle: readonly C[],
    requirement: ConnectionRequirement,
  ): C | undefined;
  /** Returns the idle connection to close in favor of a user, if any. */
  chooseVictim<C extends IdleConnection>(
    idle: readonly C[],
    user: MemberUser,
  ): C | undefined;
  /** Whether to connect once more, closing a victim at the limit. */
  canConnect(counts: ConnectionCounts, hasVictim: boolean): boolean;
}

/**
 * Connects use the members' slots; after a common restart, concurrent connects
 * of all instances would keep the members from serving.
 */
const MAX_CONNECTING_PER_USER = 1;
/** Higher, since a grant limits the connects of all instances. */
const MAX_CONNECTING_PER_USER_GRANTED = 2;
/**
 * Accounts cannot use each other's connections, and serial connects would take
 * a round trip each.
 */
const MAX_CONNECTING = 3;

/** Closes the connection that was idle the longest for another user. */
export class LeastRecentlyUsed implements ConnectionPolicy {
  choose<C extends IdleConnection>(
    idle: readonly C[],
    {user, values}: ConnectionRequirement,
  ): C | undefined {
    const own = idle.filter(connection => connection.user === user);
    const matching = own.findLast(connection => {
      return hasSameValues(connection.values, values);
    });
    return matching ?? own.at(-1);
  }

  chooseVictim<C extends IdleConnection>(
    idle: readonly C[],
    user: MemberUser,
  ): C | undefined {
    // The list is in the order in which connections became idle.
    return idle.find(connection => connection.user !== user);
  }

  canConnect(counts: ConnectionCounts, hasVictim: boolean): boolean {
    const {open, connecting, connectingForUser, limit, isGranted} = counts;
    const maxForUser = isGranted
      ? MAX_CONNECTING_PER_USER_GRANTED
      : MAX_CONNECTING_PER_USER;
    if (connectingForUser >= maxForUser) return false;
    if (connecting >= MAX_CONNECTING) return false;
    return open + connecting < limit || hasVictim;
  }
}

function hasSameValues(
  a: ReadonlyMap<string, string>,
  b: ReadonlyMap<string, string>,
): boolean {
  if (a.size !== b.size) return false;
  return [...a].every(([name, value]) => b.get(name) === value);
}
