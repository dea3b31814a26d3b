import type {Clock} from '../../../base/common/clock';
import type {
  ReturnLease,
  PrimaryAssignment,
} from '../../../schema/generated/fleet';
import {TermLease} from './term_lease';

/**
 * How long a proxy may rely on what control last confirmed, in milliseconds.
 * Longer, and a primary that is lost together with a proxy is replaced later;
 * shorter, and each loss of control's leader stops reads of primaries. An
 * election takes 0.4 to 0.7 s, and proxies follow the new leader 0.1 s later.
 */
export const LEASE_MS = 1_200;

/** Leases are renewed this often, in ms: two questions may be lost. */
export const RENEWAL_INTERVAL_MS = 400;

/** Whether a member can have been replaced. */
export interface LeaseChecks {
  /** Whether no order to replace the lead of an epoch can have gone out yet. */
  isHeld(service: string, epoch: number): boolean;
  /**
   * The same, after waiting for a lease that ran out, for a time at most.
   *
   * @param term The term of the member's log when it answered, if it said so.
   */
  waitUntilHeld(
    service: string,
    epoch: number,
    timeMs: number,
    term?: number,
  ): Promise<boolean>;
  /**
   * For how long the lease on an epoch has been over, in milliseconds; below 0
   * while it is held, Infinity where there never was one or another lead is
   * known.
   */
  expiredForMs(service: string, epoch: number): number;
}

interface Lead {
  /** Its term is the newest epoch that this proxy heard of. */
  readonly lease: TermLease;
  /** The leader of control that this proxy follows named that epoch. */
  isTold: boolean;
}

interface Waiter {
  readonly service: string;
  readonly epoch: number;
  settle(isHeld: boolean): void;
}

/**
 * A proxy's leases on the leads of services.
 *
 * Guard: a primary that was replaced goes on answering whoever reaches it. Its
 * reads would miss commits that the new primary acknowledged. So nothing that
 * rests on the lead of a member counts before a lease on its epoch was held
 * after the answer came. Control orders no promotion before every such lease
 * was returned or has run out.
 */
export class PrimaryLeases implements LeaseChecks {
  private readonly leads = new Map<string, Lead>();
  private readonly asked = new Map<number, number>();
  private readonly waiters = new Set<Waiter>();
  private lastNumber = 0;

  constructor(private readonly clock: Clock) {}

  /** Notes a question for leases that goes out now; its number. */
  beginRenewal(): number {
    const number = ++this.lastNumber;
    this.asked.set(number, this.clock.now());
    return number;
  }

  /**
   * Takes the leader's word that a majority confirmed it after a question. Gives
   * the time of the question; undefined for one that counts no more.
   */
  onRenewed(number: number): number | undefined {
    const askedAt = this.asked.get(number);
    if (askedAt === undefined) return undefined;
    this.forgetQuestions(number);
    for (const {lease, isTold} of this.leads.values()) {
      if (isTold) lease.extend(lease.term, askedAt, LEASE_MS);
    }
    this.settleWaiters();
    return askedAt;
  }

  /** Takes changes of leads; the leases that are to be returned for them. */
  onAssignments(leads: readonly PrimaryAssignment[]): ReturnLease[] {
    const returned = leads.filter(lead => !this.take(lead));
    this.settleWaiters();
    return returned.map(({service, epoch}) => ({service, epoch}));
  }

  /**
   * No answer to earlier questions counts any more. Guard: a lead that an old
   * leader named would else be leased by the next one, before its own word
   * that another member leads.
   */
  onDidDetach(): void {
    this.asked.clear();
    for (const lead of this.leads.values()) lead.isTold = false;
  }

  isHeld(service: string, epoch: number): boolean {
    const lead = this.leads.get(service);
    return lead?.lease.isHeld(epoch, this.clock.now()) ?? false;
  }

  expiredForMs(service: string, epoch: number): number {
    const lead = this.leads.get(service);
    return lead?.lease.expiredForMs(epoch, this.clock.now()) ?? Infinity;
  }

  waitUntilHeld(
    service: string,
    epoch: number,
    timeMs: number,
  ): Promise<boolean> {
    if (this.isHeld(service, epoch)) return Promise.resolve(true);
    if (this.isOver(service, epoch)) return Promise.resolve(false);
    return new Promise(resolve => {
      const settle = (isHeld: boolean) => {
        clearTimeout(timer);
        this.waiters.delete(waiter);
        resolve(isHeld);
      };
      const waiter = {service, epoch, settle};
      const timer = setTimeout(() => settle(false), Math.max(0, timeMs));
      this.waiters.add(waiter);
    });
  }

  /** Takes one lead; false where this proxy relies no more on its epoch. */
  private take({service, instance, epoch}: PrimaryAssignment): boolean {
    const lead = this.leads.get(service) ?? this.track(service);
    const {lease} = lead;
    const isNamed = instance !== '' && epoch >= lease.term;
    lease.returnBelow(instance === '' ? epoch + 1 : epoch);
    lead.isTold = isNamed;
    return isNamed;
  }

  private track(service: string): Lead {
    const lead = {lease: new TermLease(this.clock), isTold: false};
    this.leads.set(service, lead);
    return lead;
  }

  private isOver(service: string, epoch: number): boolean {
    return (this.leads.get(service)?.lease.term ?? 0) > epoch;
  }

  private forgetQuestions(upTo: number): void {
    for (const number of this.asked.keys()) {
      if (number <= upTo) this.asked.delete(number);
    }
  }

  private settleWaiters(): void {
    for (const {service, epoch, settle} of [...this.waiters]) {
      if (this.isHeld(service, epoch)) settle(true);
      else if (this.isOver(service, epoch)) settle(false);
    }
  }
}
