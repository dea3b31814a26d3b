/** Connections of a member that are left to control and to handovers. */
const RESERVED_CONNECTIONS = 2;

/** Connections to one member that all instances together may have. */
export function usableConnections(memberTakes: number): number {
  return Math.max(1, memberTakes - RESERVED_CONNECTIONS);
}
