import type {
  AccountEntry,
  AccountShare,
  AccountShares,
  AccountUse,
  CounterEntry,
} from '../../../schema/generated/fleet';
import type {RateLimit} from './token_bucket';

/**
 * How long a counter applies its shares without a confirmation by control.
 * Outlasts the loss of control that callers are not to notice; the shares of
 * an unreachable counter are withheld from others for as long.
 */
export const SHARE_LEASE_MS = 6_000;

/**
 * The lease on shares as a fraction of the time in which a withdrawn key has to
 * be out of use. Proxies without control stop serving keys soon after (see
 * `CatalogLease`), and an election fits in.
 */
const SHARE_LEASE_FRACTION = 0.65;

/**
 * Returns how long shares are valid without a confirmation by control, in
 * milliseconds.
 *
 * @param revocationMs How long a key may be in use after its withdrawal; 0
 *     where there is no bound.
 */
export function shareLeaseMs(revocationMs: number): number {
  if (revocationMs === 0) return SHARE_LEASE_MS;
  return Math.min(SHARE_LEASE_MS, revocationMs * SHARE_LEASE_FRACTION);
}

/** An account came close to its limit, or is well below it again. */
export interface NearLimitChange {
  readonly account: string;
  readonly isNearLimit: boolean;
  /** Operations a second that are requested, including refused ones. */
  readonly demand: number;
  /** The limit over all counters. */
  readonly rateLimit: RateLimit;
  /** Number of counters that hold shares of the account. */
  readonly counters: number;
}

/** What the division of limits depends on changed. */
export type AllocationNotice =
  /** Counters that did not attach may hold shares of an earlier leader. */
  | {readonly kind: 'withholding'; readonly unattached: readonly string[]}
  /** No share is withheld for unknown counters any more. */
  | {readonly kind: 'all known'; readonly counters: number}
  /** All counters started without shares and get tokens of their idle time. */
  | {
      readonly kind: 'initial tokens';
      readonly idleMs: number;
      readonly counters: number;
    };

/**
 * Divides the limit of each account among the counters, on the leader of
 * control. The shares that counters may still apply never exceed the limit.
 */
export interface ShareAllocator {
  setAccounts(accounts: readonly AccountEntry[], now: number): void;
  /** Takes the counters that the control log lists. */
  setCounters(counters: readonly CounterEntry[], now: number): void;
  /**
   * A counter attached to this leader.
   *
   * @param shares The shares that it holds; none after its start.
   * @param lastGrantAt When it last granted a permit, on control's clock.
   */
  onDidAttach(
    counter: string,
    shares: readonly AccountShare[],
    lastGrantAt: number,
    now: number,
  ): void;
  /** Takes the use at a counter and the number of the list it applies. */
  report(
    counter: string,
    uses: readonly AccountUse[],
    shareListNumber: number,
    now: number,
  ): void;
  /** A majority confirmed this leader after a request of the counter. */
  renewLease(counter: string, now: number): void;
  /** Returns the next list for a counter; undefined where nothing changed. */
  takeChangedShares(counter: string, now: number): AccountShares | undefined;
  /** Returns the accounts that changed since the last call. */
  updateNearLimit(now: number): NearLimitChange[];
  /** Returns what happened since the last call. */
  takeNotices(): AllocationNotice[];
  /** Whether a retiring counter holds no share any more. */
  canRemove(counter: string, now: number): boolean;
}

/** The longest retry delay of a refused caller. */
export const MAX_RETRY_MS = 5_000;

/** A counter lets operations run. */
export interface GrantedPermits {
  readonly kind: 'granted';
  /** Operations that may run, including the requested one. */
  readonly count: number;
  /** How long after the request they may run, in milliseconds. */
  readonly validMs: number;
  /** How long the operation has to wait before it runs, in milliseconds. */
  readonly waitMs: number;
}

/** A counter has no token for an operation. */
export interface RefusedPermit {
  readonly kind: 'refused';
  /** Time until a token is available; later for each further refusal. */
  readonly retryAfterMs: number;
}

/** A counter's answer to a request for permits. */
export type PermitDecision =
  | GrantedPermits
  | RefusedPermit
  /** The counter has no share of the account. */
  | {readonly kind: 'unknown account'};

/** Counts the operations of accounts for a region, on a proxy. */
export interface PermitCounter {
  setAccounts(accounts: readonly AccountEntry[]): void;
  setShares(shares: AccountShares): void;
  /** A majority confirmed a request that was sent at a time. */
  extendLease(requestedAt: number): void;
  /** The stream to the leader ended; the next one numbers lists from 1. */
  onDidDetach(): void;
  /** The shares in force, which are reported to the next leader. */
  readonly heldShares: AccountShare[];
  /** The number of the newest list of shares in force; 0 for none. */
  readonly shareListNumber: number;
  /** Time since it last granted anything, in milliseconds. */
  readonly idleMs: number;
  /**
   * @param wanted Operations that the requester expects to run while a permit
   *     is valid.
   */
  requestPermits(account: string, wanted: number): PermitDecision;
  /** Takes back permits of operations that did not run. */
  returnPermits(account: string, count: number): void;
  /** Returns what was granted and refused since the last call. */
  takeReport(): AccountUse[];
}

/** What a proxy can decide about an operation without a counter. */
export type PermitLookup =
  /** A cached permit was taken. */
  | {readonly kind: 'taken'}
  /** A recent refusal by the counters still holds. */
  | {readonly kind: 'refused'; readonly retryAfterMs: number}
  /** Permits have to be requested from a counter. */
  | {
      readonly kind: 'request';
      readonly wanted: number;
      /** How many more counters to try after a refusal. */
      readonly maxFurtherCounters: number;
    };

/** Permits and refusals that a proxy got from counters, by account. */
export interface PermitCache {
  tryTake(account: string, now: number): PermitLookup;
  /** Stores the answer to a request: further permits, or a refusal. */
  onDidReceiveDecision(
    account: string,
    requestedAt: number,
    decision: PermitDecision,
    now: number,
  ): void;
  /** Puts a used permit back; whether one was still valid. */
  returnPermit(account: string, now: number): boolean;
}
