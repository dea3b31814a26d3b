import {expect, it} from 'vitest';
import {makeConfiguration} from '../../../consensus/common/configuration';
import {changeFields, describeChange} from '../../common/configuration_change';

function makePeer(id: string, voter = true, address = id) {
  return {id, address, voter};
}

const BEFORE = makeConfiguration([
  makePeer('a'),
  makePeer('b'),
  makePeer('c', false),
]);

it('finds no change between equal configurations', () => {
  const copy = structuredClone(BEFORE);
  expect(describeChange(BEFORE, copy)).toBeUndefined();
});

it('names added, removed, promoted and altered peers', () => {
  const after = makeConfiguration([
    makePeer('a', true, 'x'),
    makePeer('c'),
    makePeer('d', false),
  ]);
  const change = describeChange(BEFORE, after);
  expect(changeFields(change!)).toEqual({
    added: 'd',
    removed: 'b',
    promoted: 'c',
    altered: 'a',
  });
});

it('names a voter that lost its vote', () => {
  const after = makeConfiguration([
    makePeer('a'),
    makePeer('b', false),
    makePeer('c', false),
  ]);
  const change = describeChange(BEFORE, after);
  expect(changeFields(change!)).toEqual({demoted: 'b'});
});

it('names a changed field that it does not know', () => {
  const after = {...BEFORE, leaving: ['a']};
  expect(describeChange(BEFORE, after)?.fields).toEqual(['leaving']);
});
