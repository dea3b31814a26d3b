import {sumOf} from '../../../base/common/numbers';
import {divideConnections, neededFor} from './connection_division';

/** The report of a pooler on one member. */
export interface ReportedUse {
  readonly open: number;
  readonly wanted: number;
  /** By the newest grant that it applies; 0 for none. */
  readonly granted: number;
}

/** Why a grant changed, for the log. */
export type GrantReason =
  | 'new pooler'
  | 'higher demand'
  | 'pooler left'
  | 'higher demand elsewhere'
  | 'not a pooler any more';

/** A change of a grant, for the log. */
export interface GrantChange {
  readonly pooler: string;
  readonly before: number;
  readonly after: number;
  readonly wanted: number;
  readonly reason: GrantReason;
}

/** A pooler that has, or may have, connections to the member. */
interface Holder {
  readonly pooler: string;
  open: number;
  wanted: number;
  /** The newest grant that was sent; 0 for none. */
  sent: number;
  /** The number of the list that carried it. */
  sentIn: number;
  /** The largest grant that it may apply until it acknowledges that list. */
  inUse: number;
}

/** Returns the number of the list that is sent to a pooler next. */
export type NextListNumber = (pooler: string) => number;

/** The fraction of connections that is kept for poolers that start. */
const KEPT_FRACTION = 1 / 8;
/** A grant within this fraction of its target is not changed. */
const SLACK_FRACTION = 1 / 8;
/** How long no grant is raised after the member refused connections. */
const FULL_MS = 600;

/**
 * Divides the connections of one member among poolers.
 *
 * Guard: a pooler is charged with its open connections, or with the largest
 * grant that it may apply. A lowered grant that counted at once would be in use
 * twice, and the member would refuse connections.
 */
export class MemberConnections {
  private readonly holders = new Map<string, Holder>();
  /** When grants may be raised again; -Infinity where they may. */
  private fullUntil = -Infinity;
  /** Whether a pooler left since grants were last raised. */
  private hasLostPooler = false;
  private isChanged = true;
  private maxOpen = 1;
  private poolers: ReadonlySet<string> = new Set();

  /**
   * @param maxOpen Connections that all instances together may have.
   * @param poolers The poolers that get grants.
   */
  configure(maxOpen: number, poolers: ReadonlySet<string>): void {
    this.maxOpen = maxOpen;
    this.poolers = poolers;
    this.isChanged = true;
  }

  /** Whether grants may have to change. */
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

  /** Takes a report of a pooler that applied the list with a number. */
  report(pooler: string, use: ReportedUse, number: number, now: number): void {
    const {open, wanted, granted} = use;
    const holder = this.holders.get(pooler);
    this.isChanged = true;
    if (!holder) {
      const grant = {sent: granted, sentIn: 0, inUse: granted};
      this.holders.set(pooler, {pooler, open, wanted, ...grant});
      return;
    }
    holder.open = open;
    holder.wanted = wanted;
    this.acknowledge(pooler, number);
    if (number < holder.sentIn) return;
    // The pooler lowered its grant because the member refused a connection.
    if (granted < holder.sent) this.fullUntil = now + FULL_MS;
    holder.sent = granted;
    holder.inUse = granted;
  }

  /** A pooler applied the list with a number. */
  acknowledge(pooler: string, number: number): void {
    const known = this.holders.get(pooler);
    if (!known || number < known.sentIn || known.inUse === known.sent) return;
    known.inUse = known.sent;
    this.isChanged = true;
  }

  /** Frees the connections of a pooler. */
  remove(pooler: string): void {
    if (!this.holders.delete(pooler)) return;
    this.hasLostPooler = true;
    this.isChanged = true;
  }

  /**
   * Changes grants where a pooler lacks connections. What one grant is lowered
   * by goes to others once it is free.
   *
   * @param awaited Number of attached poolers that did not report yet.
   */
  allocate(next: NextListNumber, awaited: number, now: number): GrantChange[] {
    this.isChanged = false;
    if (now >= this.fullUntil) this.fullUntil = -Infinity;
    const changes = this.withdraw(next);
    const holders = [...this.holders.values()].filter(({pooler}) => {
      return this.poolers.has(pooler);
    });
    const others = this.charged - sumOf(holders.map(chargeOf));
    const kept = Math.ceil(this.maxOpen * KEPT_FRACTION);
    const available = Math.max(holders.length, this.maxOpen - kept - others);
    const wanted = holders.map(one => Math.min(one.wanted, this.maxOpen));
    const targets = divideConnections(available, [
      ...wanted,
      ...Array(awaited).fill(0),
    ]);
    const plan = holders.map((holder, index) => ({
      holder,
      target: targets[index]!,
    }));
    if (!isShort(plan) && sumOf(holders.map(({sent}) => sent)) <= available) {
      return changes;
    }
    for (const {holder, target} of plan) {
      if (holder.sent - target <= holder.sent * SLACK_FRACTION) continue;
      changes.push(this.grant(holder, target, 'higher demand elsewhere', next));
    }
    if (this.isFull) return changes;
    changes.push(...this.raise(plan, kept, next));
    return changes;
  }

  private withdraw(next: NextListNumber): GrantChange[] {
    const changes: GrantChange[] = [];
    for (const holder of this.holders.values()) {
      if (this.poolers.has(holder.pooler) || holder.sent === 0) continue;
      changes.push(this.grant(holder, 0, 'not a pooler any more', next));
    }
    return changes;
  }

  /** Grants free connections, first to poolers that have the least. */
  private raise(
    plan: readonly {holder: Holder; target: number}[],
    kept: number,
    next: NextListNumber,
  ): GrantChange[] {
    const changes: GrantChange[] = [];
    const order = [...plan].sort((a, b) => ratioOf(a) - ratioOf(b));
    for (const {holder, target} of order) {
      const isNew = holder.sent === 0;
      const minChange = isNew ? 0 : holder.sent * SLACK_FRACTION;
      if (target - holder.sent <= minChange) continue;
      const free = this.maxOpen - this.charged - (isNew ? 0 : kept);
      // A grant up to its own charge takes nothing from others.
      const maxGrant = chargeOf(holder) + Math.max(0, free);
      const after = Math.min(target, maxGrant);
      if (after <= holder.sent) continue;
      const reason = isNew ? 'new pooler' : this.reasonToRaise;
      changes.push(this.grant(holder, after, reason, next));
    }
    this.hasLostPooler = false;
    return changes;
  }

  private get reasonToRaise(): GrantReason {
    return this.hasLostPooler ? 'pooler left' : 'higher demand';
  }

  private grant(
    holder: Holder,
    after: number,
    reason: GrantReason,
    next: NextListNumber,
  ): GrantChange {
    const {pooler, wanted, sent: before} = holder;
    holder.inUse = Math.max(holder.inUse, after);
    holder.sent = after;
    holder.sentIn = next(pooler);
    return {pooler, before, after, wanted, reason};
  }
}

function chargeOf({open, inUse}: Holder): number {
  return Math.max(open, inUse);
}

/** Whether a pooler has less than it needs and less than its target. */
function isShort(plan: readonly {holder: Holder; target: number}[]): boolean {
  return plan.some(({holder: {sent, wanted}, target}) => {
    return sent === 0 || sent < Math.min(target, neededFor(wanted));
  });
}

function ratioOf({holder, target}: {holder: Holder; target: number}): number {
  return holder.sent / Math.max(1, target);
}
