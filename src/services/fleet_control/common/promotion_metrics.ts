import {formatLabels} from '../../../base/common/metric_labels';
import type {PromotionCount} from '../../promotion/common/promotion_count';

/** The state of the promotions of one service. */
export interface PromotionView {
  readonly service: string;
  /** For how long it has waited for a new primary, in milliseconds. */
  readonly waitingMs: number;
  /** Whether a promotion request may still take effect. */
  readonly mayTakeEffect: boolean;
  /** For how long it has waited for the end of that, in milliseconds. */
  readonly heldMs: number;
  /** Members that ended, whose confirmed commits no known log accounts for. */
  readonly formerMemberCount: number;
}

/** Renders the promotions as the control leader sees them. */
export function renderPromotionMetrics(
  views: readonly PromotionView[],
): string {
  const gauges = [
    ['promotion_wait_seconds', (view: PromotionView) => view.waitingMs / 1_000],
    ['unaccounted_members', (view: PromotionView) => view.formerMemberCount],
    [
      'promotion_may_take_effect',
      (view: PromotionView) => (view.mayTakeEffect ? 1 : 0),
    ],
    ['promotion_held_seconds', (view: PromotionView) => view.heldMs / 1_000],
  ] as const;
  return gauges
    .map(([name, valueOf]) => {
      const full = `bulrushstage_control_${name}`;
      const lines = views.map(view => {
        const labels = formatLabels({service: view.service});
        return `${full}{${labels}} ${valueOf(view)}\n`;
      });
      return `# TYPE ${full} gauge\n${lines.join('')}`;
    })
    .join('');
}

/** Renders the promotion requests that this instance sent or held back. */
export function renderPromotionRequests(
  counts: readonly PromotionCount[],
): string {
  const full = 'bulrushstage_control_promotion_requests_total';
  const lines = counts.map(({service, outcome, count}) => {
    const labels = formatLabels({service, outcome});
    return `${full}{${labels}} ${count}\n`;
  });
  return `# TYPE ${full} counter\n${lines.join('')}`;
}
