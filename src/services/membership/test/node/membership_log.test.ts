import {expect, it} from 'vitest';
import {makeLog} from '../../../gateway/test/node/session_fixture';
import {makeConfiguration} from '../../../consensus/common/configuration';
import {MembershipLog} from '../../node/membership_log';

function makePeer(id: string, voter = true) {
  return {id, address: id, voter};
}

function setUp() {
  const {lines, log} = makeLog();
  const source = {
    id: 'c',
    configuration: makeConfiguration([makePeer('a'), makePeer('c', false)]),
    lastIndex: 4,
    commitIndex: 3,
    currentTerm: 2,
  };
  return {lines, source, membershipLog: new MembershipLog(source, log)};
}

it('logs who votes and what changed', () => {
  const {lines, source, membershipLog} = setUp();
  membershipLog.onDidChangeConfiguration();
  expect(lines[0]).toContain(
    '"voters":"a","learners":"c","lastIndex":4,"commitIndex":3,"term":2',
  );
  expect(lines[0]).toContain('"isVoter":false');
  source.configuration = makeConfiguration([makePeer('a'), makePeer('c')]);
  membershipLog.onDidChangeConfiguration();
  expect(lines[1]).toContain('"isVoter":true,"promoted":"c"');
});

it('logs nothing for an equal configuration of a snapshot', () => {
  const {lines, source, membershipLog} = setUp();
  membershipLog.onDidChangeConfiguration();
  source.configuration = structuredClone(source.configuration);
  source.lastIndex = 200;
  membershipLog.onDidChangeConfiguration();
  expect(lines).toHaveLength(1);
});

it('logs that an instance knows no group yet', () => {
  const {lines, source, membershipLog} = setUp();
  source.configuration = makeConfiguration([]);
  membershipLog.onDidChangeConfiguration();
  expect(lines).toHaveLength(1);
});
