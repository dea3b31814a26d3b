import type {MemberUser} from '../../../base/common/ids';

/** A connection that nobody uses at present. */
export interface IdleConnection {
  readonly user: MemberUser;
  readonly idleSince: number;
  /** Session values that are set on it. */
  readonly values: ReadonlyMap<string, string>;
}

/** What a connection is wanted for. */
export interface ConnectionRequirement {
  readonly user: MemberUser;
  /** Values of the session, to prefer a connection that has them. */
  readonly values: ReadonlyMap<string, string>;
}

/** How many connections to a member there are, and may be. */
export interface ConnectionCounts {
  readonly open: number;
  readonly connecting: number;
  /** Being opened for the user in question. */
  readonly connectingForUser: number;
  readonly limit: number;
  /** Control handed the limit out: others do not open beyond it. */
  readonly isGranted: boolean;
}

/** Whose connection to give, whom to close for whom, and when to open. */
export interface ConnectionPolicy {
  /** The connection for a need; undefined where none fits. */
  choose<C extends IdleConnection>(
    idle: readonly C[],
    need: ConnectionRequirement,
  ): C | undefined;
  /** The connection to close for another user; undefined where none should. */
  chooseVictim<C extends IdleConnection>(
    idle: readonly C[],
    user: MemberUser,
  ): C | undefined;
  /** Whether one more may be opened, closing a victim where it has to. */
  canConnect(counts: ConnectionCounts, hasVictim: boolean): boolean;
}

/**
 * Connections that are opened at once for one user. Each takes 12 to 27 ms of
 * one of a member's few slots: after a common restart, openings side by side by
 * all instances kept the members busy with nothing else for most of a second.
 */
const MOST_OPENING_FOR_USER = 1;
/** The same where control sees to it that not all instances do so at once. */
const MOST_GRANTED_FOR_USER = 2;
/**
 * The same for all users together: connections of different accounts cannot
 * stand in for each other, and one after the other they would come at the rate
 * of ways between regions.
 */
const MOST_OPENING = 3;

/** Closes the connection that rested longest for a user who has none. */
export class LeastRecentlyUsed implements ConnectionPolicy {
  choose<C extends IdleConnection>(
    idle: readonly C[],
    {user, values}: ConnectionRequirement,
  ): C | undefined {
    const own = idle.filter(connection => connection.user === user);
    const fitting = own.findLast(connection => {
      return hasSameValues(connection.values, values);
    });
    return fitting ?? own.at(-1);
  }

  chooseVictim<C extends IdleConnection>(
    idle: readonly C[],
    user: MemberUser,
  ): C | undefined {
    // Kept in the order in which they became idle.
    return idle.find(connection => connection.user !== user);
  }

  canConnect(counts: ConnectionCounts, hasVictim: boolean): boolean {
    const {open, connecting, connectingForUser, limit, isGranted} = counts;
    const mostForUser = isGranted
      ? MOST_GRANTED_FOR_USER
      : MOST_OPENING_FOR_USER;
    if (connectingForUser >= mostForUser) return false;
    if (connecting >= MOST_OPENING) return false;
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
