/** Why a request was not run, for the caller. */
export interface NotRun {
  readonly reason: NotRunReason;
  /** When to come back, in milliseconds. */
  readonly retryAfterMs: number;
}

export type NotRunReason =
  | 'queue full'
  | 'deadline cannot be met'
  | 'deadline passed'
  | 'no primary'
  | 'unknown service'
  | 'shutting down';
