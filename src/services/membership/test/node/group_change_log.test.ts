import {expect, it} from 'vitest';
import {ManualClock} from '../../../../base/common/clock';
import {err, ok} from '../../../../base/common/result';
import {makeLog} from '../../../gateway/test/node/session_fixture';
import {makeConfiguration} from '../../../consensus/common/configuration';
import {GroupChangeLog} from '../../node/group_change_log';

function makePeer(id: string, voter = true) {
  return {id, address: id, voter};
}

const CHANGE = {
  before: makeConfiguration([
    makePeer('a'),
    makePeer('b'),
    makePeer('c', false),
  ]),
  after: makeConfiguration([makePeer('a'), makePeer('c', false)]),
  term: 3,
  silenceMsOf: (id: string) => (id === 'b' ? 8_100.4 : 0),
};

function setUp() {
  const {lines, log} = makeLog();
  const clock = new ManualClock();
  return {lines, clock, changes: new GroupChangeLog(clock, log)};
}

it('logs what changes, the silence of each peer, and the outcome', () => {
  const {lines, clock, changes} = setUp();
  const end = changes.begin(CHANGE);
  expect(lines[0]).toContain('"removed":"b","term":3');
  expect(lines[0]).toContain('"voterSilenceMs":"a=0 b=8100"');
  clock.advance(40);
  end(ok(17));
  expect(lines[1]).toContain('Committed');
  expect(lines[1]).toContain('"tookMs":40,"index":17');
});

it('logs why a change failed, and its repetitions seldom', () => {
  const {lines, clock, changes} = setUp();
  for (let attempt = 0; attempt < 15; attempt++) {
    changes.begin(CHANGE)(err('change in progress'));
    clock.advance(200);
  }
  const failed = lines.filter(line => line.includes('"change in progress"'));
  expect(failed).toHaveLength(2);
  expect(lines).toHaveLength(4);
  expect(lines[2]).toContain('"suppressed":9');
});
