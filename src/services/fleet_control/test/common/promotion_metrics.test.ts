import {expect, it} from 'vitest';
import {
  renderPromotionMetrics,
  renderPromotionRequests,
} from '../../common/promotion_metrics';

it('renders how long services wait, and for how many members', () => {
  const text = renderPromotionMetrics([
    {
      service: 's1',
      waitingMs: 6_240,
      mayTakeEffect: true,
      heldMs: 1_500,
      formerMemberCount: 2,
    },
    {
      service: 's2',
      waitingMs: 0,
      mayTakeEffect: false,
      heldMs: 0,
      formerMemberCount: 0,
    },
  ]);
  expect(text.split('\n')).toEqual([
    '# TYPE bulrushstage_control_promotion_wait_seconds gauge',
    'bulrushstage_control_promotion_wait_seconds{service="s1"} 6.24',
    'bulrushstage_control_promotion_wait_seconds{service="s2"} 0',
    '# TYPE bulrushstage_control_unaccounted_members gauge',
    'bulrushstage_control_unaccounted_members{service="s1"} 2',
    'bulrushstage_control_unaccounted_members{service="s2"} 0',
    '# TYPE bulrushstage_control_promotion_may_take_effect gauge',
    'bulrushstage_control_promotion_may_take_effect{service="s1"} 1',
    'bulrushstage_control_promotion_may_take_effect{service="s2"} 0',
    '# TYPE bulrushstage_control_promotion_held_seconds gauge',
    'bulrushstage_control_promotion_held_seconds{service="s1"} 1.5',
    'bulrushstage_control_promotion_held_seconds{service="s2"} 0',
    '',
  ]);
});

it('renders promotion requests by service and outcome', () => {
  const text = renderPromotionRequests([
    {service: 's1', outcome: 'accepted', count: 2},
    {service: 's1', outcome: 'unknown', count: 1},
  ]);
  const name = 'bulrushstage_control_promotion_requests_total';
  expect(text.split('\n')).toEqual([
    `# TYPE ${name} counter`,
    `${name}{service="s1",outcome="accepted"} 2`,
    `${name}{service="s1",outcome="unknown"} 1`,
    '',
  ]);
});
