import {expect, it} from 'vitest';
import {CountedPromotionAuthority} from '../../node/counted_promotion_authority';
import type {PromotionOutcome} from '../../common/promotion_outcome';

it('counts requests by service and outcome, and passes replies on', async () => {
  const outcomes: PromotionOutcome[] = ['unknown', 'accepted', 'unknown'];
  const counted = new CountedPromotionAuthority({
    prepare: () => {},
    promote: () => Promise.resolve({outcome: outcomes.shift()!, status: 500}),
  });
  const {signal} = new AbortController();
  const promote = (service: string) => {
    const request = {service, instance: 'a', holder: 'control-1', token: 1};
    return counted.promote(request, () => true, signal);
  };
  expect(await promote('books')).toEqual({outcome: 'unknown', status: 500});
  await promote('books');
  await promote('films');
  expect(counted.counts).toEqual([
    {service: 'books', outcome: 'unknown', count: 1},
    {service: 'books', outcome: 'accepted', count: 1},
    {service: 'films', outcome: 'unknown', count: 1},
  ]);
});
