import {expect, it} from 'vitest';
import {formatLabels} from '../../common/metric_labels';
import {isName, isWord, MAX_NAME_LENGTH} from '../../common/words';

it.each(['i-7f3a91c2', 'books', 'café', 'a"b', 'x'.repeat(MAX_NAME_LENGTH)])(
  'takes %j as a word',
  text => expect(isWord(text)).toBe(true),
);

it.each(['', 'a b', 'a\r\nb', 'a\n', '\0', 'a\u2028b', 'a\u200bb', '\ud800'])(
  'does not take %j as a word',
  // Guards against a name that is read as two wherever it is written.
  text => expect(isWord(text)).toBe(false),
);

it('takes blanks in names, and no line breaks or endless ones', () => {
  expect(isName('Derwent Ledger')).toBe(true);
  expect(isName('a\nb')).toBe(false);
  expect(isName('x'.repeat(MAX_NAME_LENGTH + 1))).toBe(false);
});

it('escapes labels of metrics', () => {
  // Guards against a name that ends its label and adds lines of metrics.
  expect(formatLabels({route: 'a"} 1\nb\\', part: 2})).toBe(
    'route="a\\"} 1\\nb\\\\",part="2"',
  );
});
