import {expect, it} from 'vitest';
import {ManualClock} from '../../../../base/common/clock';
import type {JoinReply} from '../../../../schema/generated/consensus';
import {makeLog} from '../../../gateway/test/node/session_fixture';
import {JoinAnswerLog, LoggedJoinTransport} from '../../node/join_answer_log';

const ACCEPTED = {accepted: true, leaderAddress: 'a:1'};
const REFERRED = {accepted: false, leaderAddress: 'b:1'};

function setUp() {
  const {lines, log} = makeLog();
  const clock = new ManualClock();
  const answers = new JoinAnswerLog('Answered.', clock, log);
  return {lines, log, clock, answers};
}

it('logs an answer once until it changes', () => {
  const {lines, clock, answers} = setUp();
  for (let request = 0; request < 10; request++) {
    answers.record('c#1', REFERRED);
    clock.advance(500);
  }
  expect(lines).toHaveLength(1);
  expect(lines[0]).toContain('"accepted":false,"leaderAddress":"b:1"');
  answers.record('c#1', ACCEPTED);
  expect(lines[1]).toContain('"accepted":true');
});

it('limits the lines of an answer that alternates', () => {
  // Guards against a line for each request while the group has no stable leader.
  const {lines, clock, answers} = setUp();
  for (let request = 0; request < 40; request++) {
    answers.record('c#1', request % 2 === 0 ? ACCEPTED : REFERRED);
    clock.advance(100);
  }
  expect(lines.length).toBeLessThanOrEqual(4);
});

it('logs the replies of each instance and passes them on', () => {
  const {lines, log, clock} = setUp();
  const transport = {
    join: (
      ...[, , onDidReply]: [string, unknown, (reply: JoinReply) => void]
    ) => onDidReply(REFERRED),
  };
  const received: JoinReply[] = [];
  const logged = new LoggedJoinTransport(transport, clock, log);
  logged.join('b:1', {id: 'c#1', address: 'c:1', leaving: false}, reply => {
    received.push(reply);
  });
  expect(received).toEqual([REFERRED]);
  expect(lines[0]).toContain('"instance":"b:1"');
});
