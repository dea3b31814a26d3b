import {sumOf} from '../../../base/common/numbers';
import {needOf, shareRoom} from './connection_division';

/** What a pooler says of one member. */
export interface ReportedUse {
  readonly open: number;
  readonly wanted: number;
  /** By the newest grant that it keeps to; 0 for none. */
  readonly granted: number;
}

/** Why a grant changed. */
export type GrantReason =
  'new here' | 'wants more' | 'others left' | 'others want more' | 'withdrawn';

/** A grant that changed. */
export interface GrantChange {
  readonly pooler: string;
  readonly before: number;
  readonly after: number;
  readonly wanted: number;
  readonly reason: GrantReason;
}

/** One pooler that has, or may have, connections to the member. */
interface Holder {
  readonly pooler: string;
  open: number;
  wanted: number;
  /** The newest grant that it was told; 0 for none. */
  told: number;
  /** The list that told it. */
  toldBy: number;
  /** The most that it may still go by, until it keeps to that list. */
  most: number;
}

/** Numbers the list of changes that a pooler is told next. */
export type NextList = (pooler: string) => number;

/** This part of a member's connections is kept for poolers that come. */
const KEPT_PART = 1 / 8;
/** A grant that differs by less than this part from what it should be stays. */
const SLACK_PART = 1 / 8;
/** After a member refused connections below its grants none rise, in ms. */
const FULL_MS = 600;

/**
 * The connections of one member, and who may open how many of them.
 *
 * Guard: a pooler counts with the most of what it may go by and what it has
 * open. Counted with its newest grant alone, it would go on by the one before
 * while others open what was taken from it, and the member refuses both.
 */
export class MemberRoom {
  private readonly holders = new Map<string, Holder>();
  /** No grant rises until then: the member refused connections. */
  private fullUntil = -Infinity;
  /** A pooler left since grants were last raised. */
  private lostSome = false;
  private isChanged = true;
  private shared = 1;
  private poolers: ReadonlySet<string> = new Set();

  /**
   * @param shared Connections that all instances together may have.
   * @param poolers Those that connections are handed out to.
   */
  setTerms(shared: number, poolers: ReadonlySet<string>): void {
    this.shared = shared;
    this.poolers = poolers;
    this.isChanged = true;
  }

  /** Whether something changed since they were last shared out. */
  isDue(now: number): boolean {
    return this.isChanged || (this.isFull && now >= this.fullUntil);
  }

  private get isFull(): boolean {
    return this.fullUntil > -Infinity;
  }

  has(pooler: string): boolean {
    return this.holders.has(pooler);
  }

  /** Connections that may be open, as far as is known. */
  get charged(): number {
    return sumOf([...this.holders.values()].map(chargeOf));
  }

  /** Takes what a pooler has and wants, and the newest list it keeps to. */
  report(pooler: string, use: ReportedUse, kept: number, now: number): void {
    const {open, wanted, granted} = use;
    const holder = this.holders.get(pooler);
    this.isChanged = true;
    if (!holder) {
      const told = {told: granted, toldBy: 0, most: granted};
      this.holders.set(pooler, {pooler, open, wanted, ...told});
      return;
    }
    holder.open = open;
    holder.wanted = wanted;
    this.keep(pooler, kept);
    if (kept < holder.toldBy) return;
    // It keeps to less than it was told: the member refused more.
    if (granted < holder.told) this.fullUntil = now + FULL_MS;
    holder.told = granted;
    holder.most = granted;
  }

  /** Takes note of the newest list that a pooler keeps to. */
  keep(pooler: string, kept: number): void {
    const holder = this.holders.get(pooler);
    if (!holder || kept < holder.toldBy || holder.most === holder.told) return;
    holder.most = holder.told;
    this.isChanged = true;
  }

  /** Frees what a pooler had. */
  remove(pooler: string): void {
    if (!this.holders.delete(pooler)) return;
    this.lostSome = true;
    this.isChanged = true;
  }

  /**
   * Shares the connections out anew, as far as somebody lacks some. What is
   * lowered goes to others once it is free.
   *
   * @param awaited Poolers that follow the leader and did not report yet.
   */
  share(next: NextList, awaited: number, now: number): GrantChange[] {
    this.isChanged = false;
    if (now >= this.fullUntil) this.fullUntil = -Infinity;
    const changes = this.withdraw(next);
    const holders = [...this.holders.values()].filter(({pooler}) => {
      return this.poolers.has(pooler);
    });
    const others = this.charged - sumOf(holders.map(chargeOf));
    const kept = Math.ceil(this.shared * KEPT_PART);
    const room = Math.max(holders.length, this.shared - kept - others);
    const wanted = holders.map(one => Math.min(one.wanted, this.shared));
    const targets = shareRoom(room, [...wanted, ...Array(awaited).fill(0)]);
    const plan = holders.map((holder, at) => ({holder, target: targets[at]!}));
    if (!isShort(plan) && sumOf(holders.map(({told}) => told)) <= room) {
      return changes;
    }
    for (const {holder, target} of plan) {
      if (holder.told - target <= holder.told * SLACK_PART) continue;
      changes.push(this.tell(holder, target, 'others want more', next));
    }
    if (this.isFull) return changes;
    changes.push(...this.raise(plan, kept, next));
    return changes;
  }

  private withdraw(next: NextList): GrantChange[] {
    const changes: GrantChange[] = [];
    for (const holder of this.holders.values()) {
      if (this.poolers.has(holder.pooler) || holder.told === 0) continue;
      changes.push(this.tell(holder, 0, 'withdrawn', next));
    }
    return changes;
  }

  /** Gives out what is free, first to those that have nothing. */
  private raise(
    plan: readonly {holder: Holder; target: number}[],
    kept: number,
    next: NextList,
  ): GrantChange[] {
    const changes: GrantChange[] = [];
    const order = [...plan].sort((a, b) => partOf(a) - partOf(b));
    for (const {holder, target} of order) {
      const isNew = holder.told === 0;
      const least = isNew ? 0 : holder.told * SLACK_PART;
      if (target - holder.told <= least) continue;
      const free = this.shared - this.charged - (isNew ? 0 : kept);
      // What it is charged with already costs nobody anything.
      const most = chargeOf(holder) + Math.max(0, free);
      const after = Math.min(target, most);
      if (after <= holder.told) continue;
      const reason = isNew ? 'new here' : this.reasonToRaise;
      changes.push(this.tell(holder, after, reason, next));
    }
    this.lostSome = false;
    return changes;
  }

  private get reasonToRaise(): GrantReason {
    return this.lostSome ? 'others left' : 'wants more';
  }

  private tell(
    holder: Holder,
    after: number,
    reason: GrantReason,
    next: NextList,
  ): GrantChange {
    const {pooler, wanted, told: before} = holder;
    holder.most = Math.max(holder.most, after);
    holder.told = after;
    holder.toldBy = next(pooler);
    return {pooler, before, after, wanted, reason};
  }
}

function chargeOf({open, most}: Holder): number {
  return Math.max(open, most);
}

/** Whether somebody has less than it needs and should have. */
function isShort(plan: readonly {holder: Holder; target: number}[]): boolean {
  return plan.some(({holder: {told, wanted}, target}) => {
    return told === 0 || told < Math.min(target, needOf(wanted));
  });
}

function partOf({holder, target}: {holder: Holder; target: number}): number {
  return holder.told / Math.max(1, target);
}
