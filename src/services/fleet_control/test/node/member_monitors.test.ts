import {expect, it} from 'vitest';
import {MonotonicClock} from '../../../../base/node/monotonic_clock';
import {createAbortController} from '../../../../base/node/timers';
import {SimulatedGroup} from '../../../promotion/test/node/simulated_group';
import {MemberMonitors} from '../../node/member_monitors';

// Guards against a connection that nobody ends, over which a task of an ended
// leadership still sends commands.
it('sends nothing to a member that is monitored after the leadership ended', async () => {
  const group = new SimulatedGroup(['a']);
  const [member] = group.members;
  const access = {connector: group, reader: group};
  const leadership = createAbortController();
  const clock = new MonotonicClock();
  const monitors = new MemberMonitors(access, clock, leadership.signal);
  leadership.abort();
  const monitor = monitors.of(member!.record);
  await new Promise(resolve => setTimeout(resolve, 20));
  expect(await monitor.sendCommand({kind: 'resume'})).toBeUndefined();
  expect(member!.commands).toEqual([]);
  expect(monitor.connectionNumber).toBe(0);
  monitors.keepOnly(new Set());
});
