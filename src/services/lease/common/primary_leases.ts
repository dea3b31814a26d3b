import type {Clock} from '../../../base/common/clock';
import type {
  ReturnLease,
  PrimaryAssignment,
} from '../../../schema/generated/fleet';
import {TermLease} from './term_lease';

/**
 * Longer leases delay the replacement of a primary that fails together with a
 * proxy; leases shorter than an election interrupt reads of primaries.
 */
export const LEASE_MS = 1_200;

/** A lease outlasts the loss of two requests. */
export const RENEWAL_INTERVAL_MS = 400;

/** Checks whether a primary can have been replaced. */
export interface LeaseChecks {
  /** Whether the primary of an epoch cannot have been replaced yet. */
  isHeld(service: string, epoch: number): boolean;
  /**
   * Like `isHeld`, but waits for the renewal of an expired lease.
   *
   * @param maxWaitMs Longest time to wait; false is returned after it.
   * @param term The term of the member's log when it replied, if known.
   */
  waitUntilHeld(
    service: string,
    epoch: number,
    maxWaitMs: number,
    term?: number,
  ): Promise<boolean>;
  /**
   * Time since the lease on an epoch expired, in milliseconds; negative while
   * it is held, Infinity if there never was one or a later epoch is known.
   */
  expiredForMs(service: string, epoch: number): number;
}

interface PrimaryLease {
  /** Its term is the newest epoch that this proxy knows. */
  readonly lease: TermLease;
  /** Whether the current control leader published that epoch. */
  isPublished: boolean;
}

interface Waiter {
  readonly service: string;
  readonly epoch: number;
  complete(isHeld: boolean): void;
}

/**
 * A proxy's leases on the primaries of services.
 *
 * Guard: reads of a replaced primary would miss commits that the new one
 * acknowledged. A reply of a primary only counts if its lease is still held
 * afterwards, and control promotes no member before all leases have ended.
 */
export class PrimaryLeases implements LeaseChecks {
  private readonly leases = new Map<string, PrimaryLease>();
  private readonly pendingRequests = new Map<number, number>();
  private readonly waiters = new Set<Waiter>();
  private lastRequestNumber = 0;

  constructor(private readonly clock: Clock) {}

  /** Records the time of a renewal request and returns its number. */
  beginRenewal(): number {
    const number = ++this.lastRequestNumber;
    this.pendingRequests.set(number, this.clock.now());
    return number;
  }

  /**
   * Extends the leases after a majority confirmed the leader. Returns when the
   * request was sent; undefined if that request is not valid any more.
   */
  onRenewed(number: number): number | undefined {
    const sentAt = this.pendingRequests.get(number);
    if (sentAt === undefined) return undefined;
    this.removeRequests(number);
    for (const {lease, isPublished} of this.leases.values()) {
      if (isPublished) lease.extend(lease.term, sentAt, LEASE_MS);
    }
    this.resolveWaiters();
    return sentAt;
  }

  /** Applies changed assignments and gives the leases to return. */
  onAssignments(assignments: readonly PrimaryAssignment[]): ReturnLease[] {
    const returned = assignments.filter(assignment => !this.apply(assignment));
    this.resolveWaiters();
    return returned.map(({service, epoch}) => ({service, epoch}));
  }

  /**
   * Invalidates all pending requests. Guard: the next leader would otherwise
   * renew leases on a primary of the old leader, before it sends its own
   * assignment of another member.
   */
  onDidDetach(): void {
    this.pendingRequests.clear();
    for (const held of this.leases.values()) held.isPublished = false;
  }

  isHeld(service: string, epoch: number): boolean {
    const held = this.leases.get(service);
    return held?.lease.isHeld(epoch, this.clock.now()) ?? false;
  }

  expiredForMs(service: string, epoch: number): number {
    const held = this.leases.get(service);
    return held?.lease.expiredForMs(epoch, this.clock.now()) ?? Infinity;
  }

  waitUntilHeld(
    service: string,
    epoch: number,
    maxWaitMs: number,
  ): Promise<boolean> {
    if (this.isHeld(service, epoch)) return Promise.resolve(true);
    if (this.isSuperseded(service, epoch)) return Promise.resolve(false);
    return new Promise(resolve => {
      const complete = (isHeld: boolean) => {
        clearTimeout(timer);
        this.waiters.delete(waiter);
        resolve(isHeld);
      };
      const waiter = {service, epoch, complete};
      const timer = setTimeout(() => complete(false), Math.max(0, maxWaitMs));
      this.waiters.add(waiter);
    });
  }

  /** Applies an assignment; false if no lease on its epoch may be held. */
  private apply({service, instance, epoch}: PrimaryAssignment): boolean {
    const held = this.leases.get(service) ?? this.addLease(service);
    const {lease} = held;
    const isAssigned = instance !== '' && epoch >= lease.term;
    lease.returnBelow(instance === '' ? epoch + 1 : epoch);
    held.isPublished = isAssigned;
    return isAssigned;
  }

  private addLease(service: string): PrimaryLease {
    const held = {lease: new TermLease(this.clock), isPublished: false};
    this.leases.set(service, held);
    return held;
  }

  private isSuperseded(service: string, epoch: number): boolean {
    return (this.leases.get(service)?.lease.term ?? 0) > epoch;
  }

  private removeRequests(upTo: number): void {
    for (const number of this.pendingRequests.keys()) {
      if (number <= upTo) this.pendingRequests.delete(number);
    }
  }

  private resolveWaiters(): void {
    for (const {service, epoch, complete} of [...this.waiters]) {
      if (this.isHeld(service, epoch)) complete(true);
      else if (this.isSuperseded(service, epoch)) complete(false);
    }
  }
}
