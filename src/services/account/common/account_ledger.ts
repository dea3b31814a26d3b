import type {
  AccountEntry,
  AccountShare,
  AccountUse,
} from '../../../schema/generated/fleet';
import {DecayedRate} from './decayed_rate';
import {enforcedTerms, PLAIN_BUCKETS} from './enforcement';
import {TokenBucket, type BucketTerms} from './token_bucket';

/**
 * An account is limited once this part of its tokens is left. What is left
 * covers what instances still run before they hear of it: a renewal of 0.4 s
 * and a way.
 */
const LIMIT_BELOW_PART = 0.4;
/** It is free again above this part, while it asks for less than its rate. */
const FREE_ABOVE_PART = 0.6;
const FREE_BELOW_RATE = 0.9;
/**
 * What ran while control was lost is reported all at once afterwards: it counts
 * down to this part of the depth below nothing, or an account that kept to its
 * limit all the time would be held for seconds.
 */
const LEAST_LEVEL_PART = -0.5;
/** A share that differs by less than this part is not sent anew. */
const SHARE_CHANGE_PART = 0.2;
/** An instance that reported nothing for so long has no share, in ms. */
const FORGET_MS = 6_000;
/**
 * A new leader limits nobody anew and frees nobody for so long, in milliseconds:
 * instances keep the shares that they have, and it learns meanwhile what they
 * ask for.
 */
const LEARN_MS = 2_000;
/**
 * Small shares lose what comes while no caller asks: with one token at a time a
 * quarter at twice the rate. What the account has left over raises all shares,
 * up to this part, so that it gets what it may.
 */
const MOST_BOOST_PART = 1;
/** Each instance with work of an account gets this part of its rate besides. */
const FLOOR_PART = 0.02;

/** An account that came over its limit, or below it again. */
export interface AccountJudgement {
  readonly account: string;
  readonly isLimited: boolean;
  /** Operations a second that it asks for, refused ones included. */
  readonly demand: number;
  /** What it may run at all proxies together. */
  readonly terms: BucketTerms;
  /** Proxies that run its work. */
  readonly proxies: number;
}

/** What one instance runs for an account. */
interface Runner {
  readonly demand: DecayedRate;
  reportedAt: number;
}

/** What an account asks of all instances together. */
class AccountState {
  readonly runners = new Map<string, Runner>();
  readonly bucket: TokenBucket;
  isLimited = false;

  constructor(terms: BucketTerms, now: number) {
    const level = terms.depth * LIMIT_BELOW_PART;
    this.bucket = new TokenBucket(terms, level, now);
  }

  /** What the account may run at all instances together. */
  get terms(): BucketTerms {
    return this.bucket.terms;
  }

  report(proxy: string, {run, refused}: AccountUse, now: number): void {
    const known = this.runners.get(proxy);
    const runner = known ?? {demand: new DecayedRate(now), reportedAt: now};
    this.runners.set(proxy, runner);
    runner.demand.add(run + refused, now);
    runner.reportedAt = now;
    const least = this.terms.depth * LEAST_LEVEL_PART;
    const room = Math.max(0, this.bucket.level(now) - least);
    this.bucket.drain(Math.min(run, room), now);
  }

  judge(now: number): void {
    const {depth, perSecond} = this.terms;
    const level = this.bucket.level(now);
    if (!this.isLimited) {
      this.isLimited = level < depth * LIMIT_BELOW_PART;
      return;
    }
    const isQuiet = this.demand(now) < perSecond * FREE_BELOW_RATE;
    this.isLimited = !isQuiet || level < depth * FREE_ABOVE_PART;
  }

  demand(now: number): number {
    let sum = 0;
    for (const {demand} of this.runners.values()) sum += demand.perSecond(now);
    return sum;
  }

  /** The part of the limit that an instance gets while it is limited. */
  partOf(proxy: string, now: number): number {
    const own = this.runners.get(proxy);
    if (!own) return 0;
    const floor = this.terms.perSecond * FLOOR_PART;
    const total = this.demand(now) + floor * this.runners.size;
    return (own.demand.perSecond(now) + floor) / total;
  }

  /** What shares are raised by for what was left over. */
  boost(now: number): number {
    const {depth} = this.terms;
    if (depth <= 0) return 1;
    const left = Math.max(0, this.bucket.level(now) / depth);
    return 1 + left * MOST_BOOST_PART;
  }

  forgetSilent(now: number): void {
    for (const [proxy, {reportedAt}] of this.runners) {
      if (now - reportedAt > FORGET_MS) this.runners.delete(proxy);
    }
  }
}

/**
 * What accounts ask of all proxies together, as the leader of control knows it
 * from their reports, and the shares of those that ask for more than they may.
 *
 * An account below its limit is nobody's business: its requests wait for no
 * word of control. One whose tokens run out gets its rate divided among the
 * proxies that run its work, by what each is asked for. Shares add up to the
 * limit, so that an account over it stays there while control is lost.
 */
export class AccountLedger {
  private readonly states = new Map<string, AccountState>();
  private limited: [string, AccountState][] = [];
  private readonly told = new Map<string, Map<string, AccountShare>>();

  /** @param since When this leadership began. */
  constructor(
    private readonly since: number,
    private readonly precision = PLAIN_BUCKETS,
  ) {}

  /** Takes the limits in force. */
  setAccounts(accounts: readonly AccountEntry[], now: number): void {
    const limited = new Map(
      accounts.flatMap(({account, limit}) => {
        return limit ? [[account, limit] as const] : [];
      }),
    );
    for (const account of this.states.keys()) {
      if (!limited.has(account)) this.states.delete(account);
    }
    this.limited = this.limited.filter(([account]) => limited.has(account));
    for (const [account, limit] of limited) {
      const terms = enforcedTerms(limit, this.precision);
      const known = this.states.get(account);
      if (known) known.bucket.setTerms(terms, now);
      else this.states.set(account, new AccountState(terms, now));
    }
  }

  /** Takes what a proxy ran and refused since its last report. */
  report(proxy: string, uses: readonly AccountUse[], now: number): void {
    for (const use of uses) {
      this.states.get(use.account)?.report(proxy, use, now);
    }
  }

  /** Looks which accounts are over their limits; those that changed. */
  judge(now: number): AccountJudgement[] {
    if (this.isLearning(now)) return [];
    const changed: AccountJudgement[] = [];
    for (const [account, state] of this.states) {
      state.forgetSilent(now);
      const {isLimited} = state;
      state.judge(now);
      if (state.isLimited === isLimited) continue;
      const demand = Math.round(state.demand(now));
      const {terms, runners} = state;
      const proxies = runners.size;
      changed.push({account, isLimited: !isLimited, demand, terms, proxies});
    }
    if (changed.length > 0) {
      this.limited = [...this.states].filter(([, state]) => state.isLimited);
    }
    return changed;
  }

  /**
   * The shares of a proxy, all of them, or undefined where it has been told of
   * them already.
   */
  sharesFor(proxy: string, now: number): AccountShare[] | undefined {
    if (this.isLearning(now)) return undefined;
    const told = this.told.get(proxy);
    const shares: AccountShare[] = [];
    for (const [account, state] of this.limited) {
      shares.push(shareOf(account, state, proxy, now));
    }
    // The first list, though empty, ends shares that an earlier leader gave.
    if (told && !isNews(told, shares)) return undefined;
    this.told.set(proxy, new Map(shares.map(one => [one.account, one])));
    return shares;
  }

  /** A proxy came anew: it has to be told again. */
  forgetTold(proxy: string): void {
    this.told.delete(proxy);
  }

  private isLearning(now: number): boolean {
    return now - this.since < LEARN_MS;
  }
}

function shareOf(
  account: string,
  state: AccountState,
  proxy: string,
  now: number,
): AccountShare {
  const part = state.partOf(proxy, now);
  const {perSecond, depth: all} = state.terms;
  // A token must be able to wait, or a small share would never run anything.
  const depth = Math.max(1, all * LIMIT_BELOW_PART * part);
  return {account, perSecond: perSecond * part * state.boost(now), depth};
}

function isNews(
  told: ReadonlyMap<string, AccountShare>,
  shares: readonly AccountShare[],
): boolean {
  if (told.size !== shares.length) return true;
  return shares.some(({account, perSecond}) => {
    const before = told.get(account)?.perSecond;
    if (before === undefined) return true;
    return Math.abs(before - perSecond) > before * SHARE_CHANGE_PART;
  });
}
