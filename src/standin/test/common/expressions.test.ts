import {expect, it} from 'vitest';
import {evaluate, type EvaluationScope} from '../../common/expressions';

it('has no columns that every object of JavaScript has', () => {
  // Guards against a stand-in that answers with a function of the language.
  const scope: EvaluationScope = {row: {a: 1}, parameters: [], wallTimeMs: 0};
  const column = (sval: string) => {
    return {ColumnRef: {fields: [{String: {sval}}]}};
  };
  expect(evaluate(column('a'), scope)).toBe(1);
  expect(() => evaluate(column('constructor'), scope)).toThrow(
    'column "constructor" does not exist',
  );
});
