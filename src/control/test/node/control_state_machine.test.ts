import {expect, it} from 'vitest';
import {Command} from '../../../schema/generated/control';
import {makeLog} from '../../../services/gateway/test/node/session_fixture';
import {ControlStateMachine} from '../../node/control_state_machine';

const encode = (body: Command['body']) => {
  return Buffer.from(Command.encode({wallTimeMs: 1, body}).finish());
};

const RECORD = {subject: 's', event: 'e', cause: 'c', inputs: 'i'};

it.each([
  ['cannot be decoded', Buffer.from([0xff, 0xff, 0xff])],
  [
    'names no proxy',
    encode({$case: 'registerProxy', value: {proxy: undefined}}),
  ],
  [
    'forgets no proxy',
    encode({$case: 'forgetProxy', value: {proxy: undefined}}),
  ],
])('goes on after a committed command that %s', (...[, command]) => {
  // Guards against an entry that ends each instance that applies it.
  const {log} = makeLog();
  const stateMachine = new ControlStateMachine(log);
  stateMachine.apply(1, command);
  stateMachine.apply(2, encode({$case: 'record', value: RECORD}));
  expect(stateMachine.machine.state.proxies).toEqual([]);
  expect(stateMachine.machine.state.journal).toMatchObject([
    {index: 2, ...RECORD},
  ]);
});
