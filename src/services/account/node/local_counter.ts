import type {Clock} from '../../../base/common/clock';
import type {PermitCounter, PermitDecision} from '../common/permit_counting';
import {PermitTotals} from '../common/permit_totals';

/** The counter in this process, for other proxies and for its own callers. */
export class LocalCounter {
  private readonly totals = new PermitTotals();

  constructor(
    private readonly counter: Pick<
      PermitCounter,
      'requestPermits' | 'returnPermits'
    >,
    private readonly clock: Clock,
  ) {}

  requestPermits(account: string, wanted: number): PermitDecision {
    const decision = this.counter.requestPermits(account, wanted);
    this.totals.onDidDecide(decision, this.clock.now());
    return decision;
  }

  returnPermits(account: string, count: number): void {
    this.counter.returnPermits(account, count);
    this.totals.onDidReturn(count);
  }

  /** Returns its metrics in the Prometheus text format. */
  renderMetrics(): string {
    const {granted, refused, returned, waitedFor} = this.totals;
    const outstanding = this.totals.outstanding(this.clock.now());
    return [
      '# TYPE bulrushstage_permits_granted_total counter',
      `bulrushstage_permits_granted_total ${granted}`,
      '# TYPE bulrushstage_permits_returned_total counter',
      `bulrushstage_permits_returned_total ${returned}`,
      '# TYPE bulrushstage_permits_refused_total counter',
      `bulrushstage_permits_refused_total ${refused}`,
      '# TYPE bulrushstage_permits_waited_for_total counter',
      `bulrushstage_permits_waited_for_total ${waitedFor}`,
      '# TYPE bulrushstage_permits_out gauge',
      `bulrushstage_permits_out ${outstanding}`,
      '',
    ].join('\n');
  }
}
