/** Left to control and to changes of the primary. */
const RESERVED_CONNECTION_COUNT = 2;

/** Returns the connections to a member that all instances may share. */
export function usableConnections(maxConnections: number): number {
  return Math.max(1, maxConnections - RESERVED_CONNECTION_COUNT);
}
