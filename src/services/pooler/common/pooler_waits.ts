import type {WorkWait} from '../../../schema/generated/pooler';

/** Older reports say nothing about the next request. */
const MAX_REPORT_AGE_MS = 300;

/** The kind of request whose wait is looked up. */
export interface WaitQuery {
  readonly service: string;
  readonly needsPrimary: boolean;
  readonly priority: number;
}

interface ReportedWait {
  readonly priority: number;
  readonly waitMs: number;
  readonly reportedAt: number;
}

/** Queue waits at one pooler, as reported with its replies. */
export class PoolerWaits {
  /** By service and target, then by priority. */
  private readonly reports = new Map<string, Map<number, ReportedWait>>();

  /** Applies the waits reported with a reply. */
  update(waits: readonly WorkWait[], now: number): void {
    for (const {service, needsPrimary, priority, waitMs} of waits) {
      const key = `${service} ${needsPrimary}`;
      const known = this.reports.get(key) ?? new Map<number, ReportedWait>();
      this.reports.set(key, known);
      if (waitMs > 0) known.set(priority, {priority, waitMs, reportedAt: now});
      else known.delete(priority);
      if (known.size === 0) this.reports.delete(key);
    }
  }

  /**
   * The remaining wait of a new request in milliseconds; 0 without a recent
   * report. A request waits at least as long as the more urgent ones.
   */
  expectedWaitMs({service, needsPrimary, priority}: WaitQuery, now: number) {
    const known = this.reports.get(`${service} ${needsPrimary}`);
    if (!known) return 0;
    let longest = 0;
    for (const report of known.values()) {
      const age = now - report.reportedAt;
      if (age > MAX_REPORT_AGE_MS || report.priority > priority) continue;
      longest = Math.max(longest, report.waitMs - age);
    }
    return longest;
  }
}
