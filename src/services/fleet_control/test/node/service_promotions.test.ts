import {afterEach, beforeEach, expect, it} from 'vitest';
import {MonotonicClock} from '../../../../base/node/monotonic_clock';
import {createAbortController} from '../../../../base/node/timers';
import {ok} from '../../../../base/common/result';
import {FleetCommand} from '../../../../schema/generated/fleet';
import {encodeCommand} from '../../../fleet_state/common/fleet_command';
import {FleetStateMachine} from '../../../fleet_state/common/fleet_state_machine';
import {makeLog} from '../../../gateway/test/node/session_fixture';
import {LeaseHolders} from '../../../lease/common/lease_holders';
import {PublishedPrimaries} from '../../../lease/common/published_primaries';
import {SimulatedGroup} from '../../../promotion/test/node/simulated_group';
import {Departures} from '../../../roster/common/departures';
import {Roster} from '../../../roster/common/roster';
import {
  ServicePromotions,
  type ServicePromotionsDependencies,
} from '../../node/service_promotions';

const SERVICE = 'books';
const NO_LOG = {term: 0, offset: 0, leadTerm: 0};
/** After it, a driver decides without further failure reports. */
const REPORT_WAIT_MS = 700;

let stop = createAbortController();
beforeEach(() => (stop = createAbortController()));
afterEach(() => stop.abort());

const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** The promotions of a service whose promotion of "b" was requested before. */
function startPromotions() {
  const group = new SimulatedGroup(['a', 'b', 'c']);
  const machine = new FleetStateMachine();
  const assignment = {holder: 'control-2', instance: 'b', ordered: true};
  const requests = {othersEnded: true, single: false};
  const value = {service: SERVICE, ...assignment, ...requests, ...NO_LOG};
  machine.apply(1, encodeCommand({$case: 'nameLead', value}));
  const clock = new MonotonicClock();
  const roster = new Roster();
  for (const {record: member} of group.members) {
    roster.announce({member, sequence: 1}, clock.now());
  }
  const requested: string[] = [];
  const authority = {
    prepare: () => {},
    promote: ({instance}: {instance: string}) => {
      requested.push(instance);
      return Promise.resolve({outcome: 'refused'});
    },
  };
  const proposed: (string | undefined)[] = [];
  const dependencies = {
    holder: 'control-1',
    node: {
      core: {currentTerm: 2, commitIndex: 1},
      appliedIndex: 1,
      leadershipEndOf: () => undefined,
      propose: (command: Buffer) => {
        proposed.push(FleetCommand.decode(command).body?.$case);
        return Promise.resolve(ok(proposed.length + 1));
      },
      isLeadershipConfirmed: () => Promise.resolve(true),
    },
    machine,
    roster,
    departures: new Departures(),
    publishedPrimaries: new PublishedPrimaries(),
    holders: new LeaseHolders(clock.now()),
    leader: {
      push: () => {},
      failureReportsOf: () => {
        return {proxyCount: 0, reportCount: 0, reportedMs: 0};
      },
    },
    memberAccess: {
      connector: group,
      reader: group,
      promotionAccess: {authority, isFenced: true, clock},
    },
    clock,
    log: makeLog().log,
    confirmationsOf: () => 1,
  } as unknown as ServicePromotionsDependencies;
  new ServicePromotions(dependencies, stop.signal).reconcile();
  return {group, proposed, requested};
}

it('resumes the promotion of an earlier leader', async () => {
  const {proposed, requested} = startPromotions();
  await pause(REPORT_WAIT_MS + 400);
  expect(proposed[0]).toBe('nameLead');
  expect(requested[0]).toBe('b');
});

// Guards against a decision of an ended leadership that is committed once the
// same instance leads again, though another leader decided in between.
it('proposes nothing after the leadership ended', async () => {
  const {group, proposed, requested} = startPromotions();
  const member = group.member('b');
  const run = member.run.bind(member);
  const startedAt = performance.now();
  let proposedBefore: number | undefined;
  member.run = statement => {
    const isDeciding = performance.now() - startedAt > REPORT_WAIT_MS + 50;
    if (statement.kind === 'status' && isDeciding) {
      proposedBefore ??= proposed.length;
      stop.abort();
    }
    return run(statement);
  };
  await pause(REPORT_WAIT_MS + 400);
  expect(proposedBefore).toBeDefined();
  expect(proposed).toHaveLength(proposedBefore!);
  expect(requested).toHaveLength(proposedBefore!);
});
