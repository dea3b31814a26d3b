import {expect, it} from 'vitest';
import type {Configuration} from '../../../../schema/generated/consensus';
import {
  completeReplacement,
  makeConfiguration,
  replaceVoter,
} from '../../../consensus/common/configuration';
import {hasVoteToHandOver} from '../../common/vote_handover';

const [a, b, c, d] = ['a', 'b', 'c', 'd'].map(id => {
  return {id, address: id, voter: id !== 'd'};
});
const BEFORE = makeConfiguration([a!, b!, c!, d!]);
const JOINT = replaceVoter(BEFORE, c!, d!);
const AFTER = completeReplacement(JOINT, id => id === 'c');

function mustWait(
  configuration: Configuration,
  isConfigurationCommitted = true,
): boolean {
  const core = {id: 'c', configuration, isConfigurationCommitted};
  return hasVoteToHandOver(core);
}

// Guards against a voter that ends while the others may still need it to
// complete the change.
it('waits until a learner has its vote and the change is committed', () => {
  expect(mustWait(BEFORE)).toBe(true);
  expect(mustWait(JOINT)).toBe(true);
  expect(mustWait(AFTER, false)).toBe(true);
  expect(mustWait(AFTER)).toBe(false);
});

it('waits for nobody if there is no learner', () => {
  expect(mustWait(makeConfiguration([a!, b!, c!]))).toBe(false);
});
