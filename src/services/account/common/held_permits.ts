import {
  MAX_RETRY_MS,
  type PermitCache,
  type PermitDecision,
  type PermitLookup,
} from './permit_counting';
import {DecayedRate} from './decayed_rate';

/** What can be used in this time is asked for, in milliseconds. */
const FORESIGHT_MS = 400;
/** A question without an answer for so long is lost, in milliseconds. */
const ANSWER_MS = 100;
/** Between the times told to callers that are refused here, in milliseconds. */
const LEAST_BETWEEN_MS = 5;
const MOST_BETWEEN_MS = 1_000;

/** Counters that are asked after one without room: those of a small fleet. */
const MOST_FURTHER = 5;
/** The same while the account has no room, so that a flood asks little. */
const MOST_FURTHER_WHILE_SHORT = 1;
/** An account without room is taken to be short of it for so long, in ms. */
const SHORT_MS = 1_000;

/**
 * Counters are asked again after this, in milliseconds: shares change, and what
 * others were promised they may not come for.
 */
const MOST_REMEMBERED_MS = 500;

/** Permits that end at one time. */
interface Permits {
  readonly until: number;
  count: number;
}

/** What this proxy keeps of one account. */
class AccountPermits {
  private readonly demand: DecayedRate;
  private readonly granted: DecayedRate;
  private unused: Permits[] = [];
  private used: Permits[] = [];
  /** Of a question for several permits that has no answer yet. */
  private askedAt = -Infinity;
  /** Before this time no counter has room, by what they said. */
  private roomAt = -Infinity;
  /** The time told to the last one that was refused here. */
  private toldAt = -Infinity;

  constructor(now: number) {
    this.demand = new DecayedRate(now);
    this.granted = new DecayedRate(now);
  }

  look(now: number): PermitLookup {
    this.demand.add(1, now);
    if (this.take(now)) return {kind: 'taken'};
    if (now < this.roomAt) return this.refuse(now);
    const further = this.isShort(now) ? MOST_FURTHER_WHILE_SHORT : MOST_FURTHER;
    return {kind: 'ask', wanted: this.wanted(now), further};
  }

  onGranted(count: number, until: number, now: number): void {
    this.granted.add(count, now);
    this.roomAt = Math.min(this.roomAt, now);
    this.askedAt = -Infinity;
    if (count > 1) add(this.unused, {until, count: count - 1});
  }

  onRefused(roomAt: number, now: number): void {
    this.askedAt = -Infinity;
    const remembered = Math.min(roomAt, now + MOST_REMEMBERED_MS);
    this.roomAt = Math.max(this.roomAt, remembered);
    this.toldAt = Math.max(this.toldAt, roomAt);
  }

  /** Puts the permit back of which least is left. */
  takeBack(now: number): boolean {
    this.used = this.used.filter(({until}) => now < until);
    const first = this.used[0];
    if (!first) return false;
    first.count--;
    if (first.count === 0) this.used.shift();
    add(this.unused, {until: first.until, count: 1});
    return true;
  }

  /** Whether the account was refused at all counters a moment ago. */
  private isShort(now: number): boolean {
    return now < this.roomAt + SHORT_MS;
  }

  private take(now: number): boolean {
    // Guard: counters count a permit as run or gone when its time is over.
    this.unused = this.unused.filter(({until}) => now < until);
    const first = this.unused[0];
    if (!first) return false;
    first.count--;
    if (first.count === 0) this.unused.shift();
    this.used = this.used.filter(({until}) => now < until);
    add(this.used, {until: first.until, count: 1});
    return true;
  }

  /** As many as are used while they are valid, by one question at a time. */
  private wanted(now: number): number {
    const isAsked = now - this.askedAt < ANSWER_MS;
    if (isAsked) return 1;
    this.askedAt = now;
    const expected = (this.demand.perSecond(now) * FORESIGHT_MS) / 1_000;
    return Math.max(1, Math.floor(expected));
  }

  private refuse(now: number): PermitLookup {
    const betweenMs = 1_000 / Math.max(1, this.granted.perSecond(now));
    const step = Math.min(
      MOST_BETWEEN_MS,
      Math.max(LEAST_BETWEEN_MS, betweenMs),
    );
    const at = Math.max(this.roomAt, this.toldAt + step);
    this.toldAt = Math.min(at, now + MAX_RETRY_MS);
    const retryAfterMs = Math.ceil(Math.max(1, this.toldAt - now));
    return {kind: 'refused', retryAfterMs};
  }
}

/** A proxy's memory of what counters granted it and when there is room. */
export class HeldPermits implements PermitCache {
  private readonly accounts = new Map<string, AccountPermits>();

  tryTake(account: string, now: number): PermitLookup {
    return this.permitsOf(account, now).look(now);
  }

  onDidReceiveDecision(
    account: string,
    askedAt: number,
    decision: PermitDecision,
    now: number,
  ): void {
    const permits = this.permitsOf(account, now);
    if (decision.kind === 'granted') {
      const {count, validMs} = decision;
      // The counter counts from a later time on, when it was asked.
      permits.onGranted(count, askedAt + validMs, now);
    }
    if (decision.kind === 'refused') {
      permits.onRefused(askedAt + decision.retryAfterMs, now);
    }
  }

  returnPermit(account: string, now: number): boolean {
    return this.accounts.get(account)?.takeBack(now) ?? false;
  }

  private permitsOf(account: string, now: number): AccountPermits {
    const known = this.accounts.get(account);
    const permits = known ?? new AccountPermits(now);
    this.accounts.set(account, permits);
    return permits;
  }
}

/** Adds permits to some that are sorted by their end. */
function add(all: Permits[], permits: Permits): void {
  const at = all.findIndex(({until}) => until >= permits.until);
  const next = at < 0 ? undefined : all[at];
  if (next?.until === permits.until) next.count += permits.count;
  else all.splice(at < 0 ? all.length : at, 0, permits);
}
