import {expect, it} from 'vitest';
import {SingleFlight} from '../../common/single_flight';

it('begins the same work again only once it ended, well or not', async () => {
  const proposals = new SingleFlight();
  const ends: (() => void)[] = [];
  const begun: string[] = [];
  const begin = (key: string) => {
    proposals.start(key, () => {
      begun.push(key);
      return new Promise(resolve => ends.push(resolve));
    });
  };
  begin('count');
  begin('count');
  begin('poolers');
  expect(begun).toEqual(['count', 'poolers']);
  ends[0]!();
  await new Promise(resolve => setTimeout(resolve, 0));
  expect(proposals.isRunning('count')).toBe(false);
  begin('count');
  expect(begun).toEqual(['count', 'poolers', 'count']);
});
