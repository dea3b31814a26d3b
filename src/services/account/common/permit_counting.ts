import type {
  AccountEntry,
  AccountShare,
  AccountShares,
  AccountUse,
  CounterEntry,
} from '../../../schema/generated/fleet';
import type {RateLimit} from './token_bucket';

/**
 * How long a counter keeps to its shares without a confirmed word of control,
 * in milliseconds. Longer than the loss of control that callers are not to
 * notice; what an unreachable counter holds is withheld from others as long.
 */
export const SHARE_LEASE_MS = 6_000;

/**
 * The part of the time in which a withdrawn key has to be out of use for which
 * shares hold. Proxies that hear nothing serve no keyed work soon after (see
 * `CatalogLease`), so that what their counters still hold is of no use to
 * anybody; two thirds outlast an election and the way to the next leader.
 */
const REVOCATION_PART = 0.65;

/**
 * How long shares hold without a confirmed word of control, in milliseconds.
 *
 * @param revocationMs How long after its withdrawal a key may be in use; 0
 *     where that is not promised.
 */
export function shareLeaseMs(revocationMs: number): number {
  if (revocationMs === 0) return SHARE_LEASE_MS;
  return Math.min(SHARE_LEASE_MS, revocationMs * REVOCATION_PART);
}

/** An account that came close to its limit, or has room again. */
export interface NearLimitChange {
  readonly account: string;
  readonly isNearLimit: boolean;
  /** Operations a second that it asks for, refused ones included. */
  readonly demand: number;
  /** What it may run at all counters together. */
  readonly rateLimit: RateLimit;
  /** Counters that hold shares of it. */
  readonly counters: number;
}

/**
 * The leader of control's side: divides the limit of each account among the
 * counters. What they hold together, counted as the most that each may still
 * keep to, never exceeds the limit.
 */
export interface ShareAllocator {
  setAccounts(accounts: readonly AccountEntry[], now: number): void;
  /** Takes the counters that the control log names. */
  setCounters(counters: readonly CounterEntry[], now: number): void;
  /**
   * A counter came, with the shares that it holds: none where it is new.
   *
   * @param idleSince Since when it has granted nothing, on control's clock.
   */
  onDidAttach(
    counter: string,
    shares: readonly AccountShare[],
    idleSince: number,
    now: number,
  ): void;
  /** Takes what a counter counted and the newest list that is in force there. */
  report(
    counter: string,
    uses: readonly AccountUse[],
    sharesNumber: number,
    now: number,
  ): void;
  /** A majority confirmed this leader after a question of a counter. */
  renewLease(counter: string, now: number): void;
  /** What changed for a counter since it was told; undefined for nothing. */
  takeChangedShares(counter: string, now: number): AccountShares | undefined;
  /** Looks which accounts are close to their limits; those that changed. */
  updateNearLimit(now: number): NearLimitChange[];
  /** Whether a counter that is retiring can hold no share any more. */
  canRemove(counter: string, now: number): boolean;
}

/** A retry is never asked for later than this, in milliseconds. */
export const MAX_RETRY_MS = 5_000;

/** A counter lets operations run. */
export interface GrantedPermits {
  readonly kind: 'granted';
  /** Operations that may run, the one asked for included. */
  readonly count: number;
  /** How long after the question they may be used, in milliseconds. */
  readonly validMs: number;
  /** How long the operation waits before it runs, in milliseconds. */
  readonly waitMs: number;
}

/** A counter has no room for an operation. */
export interface RefusedPermit {
  readonly kind: 'refused';
  /** When there is room, in milliseconds; each one told so gets a later time. */
  readonly retryAfterMs: number;
}

/** What a counter says to a request for permits. */
export type PermitDecision =
  | GrantedPermits
  | RefusedPermit
  /** It holds no share of the account. */
  | {readonly kind: 'unknown account'};

/** A counter's side: counts the operations of accounts for its region. */
export interface PermitCounter {
  setAccounts(accounts: readonly AccountEntry[]): void;
  setShares(shares: AccountShares): void;
  /** Takes a majority's confirmation of a question asked at a time. */
  extendLease(askedAt: number): void;
  /** It follows another leader, whose lists are numbered from 1 again. */
  onDidDetach(): void;
  /** The shares that it keeps to, for a leader that it comes to. */
  readonly heldShares: AccountShare[];
  readonly shareListNumber: number;
  /** For how long it has granted nothing, in milliseconds. */
  readonly idleMs: number;
  /**
   * @param wanted Operations that the asker could use while a permit is valid.
   */
  requestPermits(account: string, wanted: number): PermitDecision;
  /** Operations that were granted did not run. */
  returnPermits(account: string, count: number): void;
  /** What was granted and refused since the last report. */
  takeReport(): AccountUse[];
}

/** What a proxy knows before it asks a counter. */
export type PermitLookup =
  /** It held a permit, which is taken now. */
  | {readonly kind: 'taken'}
  /** A counter said a moment ago that there is no room before then. */
  | {readonly kind: 'refused'; readonly retryAfterMs: number}
  /** A counter has to be asked, for so many operations. */
  | {
      readonly kind: 'ask';
      readonly wanted: number;
      /** Counters worth asking after one that has no room. */
      readonly further: number;
    };

/** What a proxy keeps of its counters' words, by account. */
export interface PermitCache {
  tryTake(account: string, now: number): PermitLookup;
  /** Takes the answer to a question; permits beyond the first are kept. */
  onDidReceiveDecision(
    account: string,
    askedAt: number,
    decision: PermitDecision,
    now: number,
  ): void;
  /** Whether one that was counted in may be used by the next operation. */
  returnPermit(account: string, now: number): boolean;
}
