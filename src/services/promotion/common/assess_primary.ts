/** Observations of a primary by control and the proxies. */
export interface PrimaryObservations {
  /** Time since its last reply to control, in milliseconds. */
  readonly silentMs: number;
  /** Whether it refuses connections, as when its process has exited. */
  readonly isRefusing: boolean;
  readonly draining: boolean;
  /** Whether it just reported itself as a replica. */
  readonly isReplica: boolean;
  /** Number of proxies that are attached to control. */
  readonly proxyCount: number;
  /** Number of proxies that report that they cannot use it. */
  readonly reportCount: number;
  /** For how long at least half of the proxies have reported it, in ms. */
  readonly reportedMs: number;
  /** Whether its leases were revoked; proxies then report no failures of it. */
  readonly isRevoked: boolean;
  /** Whether control reaches a replica that is not draining. */
  readonly hasStayingReplica: boolean;
}

/** Whether a primary has to be replaced, and why. */
export type Assessment =
  {readonly kind: 'keep'} | {readonly kind: 'replace'; readonly reason: string};

/** The reason for a primary that came back as a replica. */
export const REPLICA_REASON = 'it is a replica';

/** Shorter than the restart of a process. */
const REFUSING_TIMEOUT_MS = 150;
/** Longer than a ping interval and a retransmission between regions. */
const SILENCE_TIMEOUT_MS = 500;
/** A shorter network partition costs less than a change of primary. */
const FAILURE_REPORT_TIMEOUT_MS = 1_000;

/**
 * Decides from the observations of control and of the proxies whether to
 * replace a primary. Either alone may be partitioned from a primary that still
 * serves, and a change would interrupt writes.
 */
export function assessPrimary(observed: PrimaryObservations): Assessment {
  const {proxyCount, reportCount, isRefusing, silentMs} = observed;
  // Guard: a restarted primary comes back as a replica that replies and is not
  // draining. No other check would replace it, and writes would stay refused.
  if (observed.isReplica) return {kind: 'replace', reason: REPLICA_REASON};
  // Guard: a successor that leaves as well gives nothing. It would be replaced
  // in turn, and each change interrupts those whom the primary serves.
  const {hasStayingReplica} = observed;
  if (observed.draining && hasStayingReplica) {
    return {kind: 'replace', reason: 'it is drained'};
  }
  // Guard: if the first search found no successor, a silent primary whose
  // leases were revoked would be kept for lack of failure reports, and the
  // service would have no primary until it replied again.
  const isReportedByHalf = observed.isRevoked || reportCount * 2 >= proxyCount;
  const hasExited = isRefusing && silentMs >= REFUSING_TIMEOUT_MS;
  if ((hasExited || silentMs >= SILENCE_TIMEOUT_MS) && isReportedByHalf) {
    const reason = isRefusing ? 'it refuses connections' : 'it is silent';
    return {kind: 'replace', reason};
  }
  const isUnreachable =
    hasStayingReplica &&
    reportCount > 0 &&
    isReportedByHalf &&
    observed.reportedMs >= FAILURE_REPORT_TIMEOUT_MS;
  if (isUnreachable) return {kind: 'replace', reason: 'proxies cannot use it'};
  return {kind: 'keep'};
}
