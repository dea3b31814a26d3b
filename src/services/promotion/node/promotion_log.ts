import {RepeatLimit} from '../../../base/common/repeat_limit';
import type {PrimaryAssignment} from '../../../schema/generated/fleet';
import type {PromotionDependencies} from './promotion_dependencies';

/** Minimum time between equal lines. */
const REPEAT_MS = 2_000;

/** The decision that is about to be executed, for its log line. */
export interface StartedPromotion {
  readonly heir: string;
  readonly token: number;
  /** The assignment that it replaces. */
  readonly previous: PrimaryAssignment | undefined;
  /** When leadership was confirmed, on the clock of `PromotionAccess`. */
  readonly confirmedAt: number;
}

/** Logs the assignments of one service during one leadership. */
export class PromotionLog {
  private readonly repeats: RepeatLimit;
  /** Since when this leader has known of the pending assignment. */
  private pending: {instance: string; since: number} | undefined;

  constructor(
    private readonly dependencies: Pick<
      PromotionDependencies,
      'service' | 'clock' | 'log' | 'access' | 'assignment'
    >,
  ) {
    this.repeats = new RepeatLimit(REPEAT_MS, dependencies.clock);
  }

  /**
   * Logs the assignment with which a leadership begins. Pending ones have a
   * sentence of their own, so that others do not use up its line budget.
   */
  logStart(mayTakeEffectMs: number): void {
    const {service, log, access} = this.dependencies;
    const assignment = this.dependencies.assignment();
    if (!assignment) return;
    const {instance, epoch: token, pending} = assignment;
    const {answered, contested, single} = assignment;
    const fields = {service, instance, token, pending};
    if (!pending) return log.info('Inherited an assignment.', fields);
    log.info('Inherited a pending promotion.', {
      ...fields,
      answered,
      contested,
      single,
      isFenced: access.isFenced,
      mayTakeEffectMs: Math.round(mayTakeEffectMs),
    });
  }

  /** Records the assignment that the driver sees. */
  observe({instance, pending}: PrimaryAssignment): void {
    if (!pending) this.pending = undefined;
    else if (this.pending?.instance !== instance) {
      this.pending = {instance, since: this.dependencies.clock.now()};
    }
  }

  /**
   * Whether the assignment is not the one that a decision is based on, which it
   * logs.
   */
  logIfChanged(read: PrimaryAssignment): boolean {
    const {service, log} = this.dependencies;
    const current = this.dependencies.assignment();
    if (!current || current.epoch === read.epoch) return false;
    const {instance, epoch: token, pending} = current;
    log.warn('The assignment changed before it was confirmed.', {
      service,
      ...describeBefore(read),
      instance,
      token,
      pending,
    });
    return true;
  }

  /** Logs that the requests of a new assignment begin. */
  logPromotion(promotion: StartedPromotion): void {
    const {service, log, access} = this.dependencies;
    const {heir, token, previous, confirmedAt} = promotion;
    const ageMs = access.clock.now() - confirmedAt;
    log.info('Promoting a member.', {
      service,
      heir,
      token,
      ...(previous && describeBefore(previous)),
      confirmedAgeMs: Math.round(ageMs),
    });
  }

  /** Logs that a member leads without a request of this leader that says so. */
  logLeading({instance, epoch: token}: PrimaryAssignment): void {
    const {service, log} = this.dependencies;
    log.info('The assigned member leads.', {service, instance, token});
  }

  /** Logs that an assignment is no longer pending, or could not be settled. */
  logSettled(
    {instance, epoch: token}: PrimaryAssignment,
    mayTakeEffectMs: number,
    done: boolean,
  ): void {
    const {service, clock, log} = this.dependencies;
    const suppressed = this.repeats.take(`settled ${token} ${done}`);
    if (suppressed === undefined) return;
    const now = clock.now();
    const pendingMs = Math.round(now - (this.pending?.since ?? now));
    const fields = {service, instance, token, pendingMs, mayTakeEffectMs};
    log.info('Settled a promotion.', {...fields, done, suppressed});
  }
}

/** The earlier one of two assignments in a line. */
function describeBefore({instance, epoch, pending}: PrimaryAssignment) {
  return {before: instance, beforeToken: epoch, beforePending: pending};
}
