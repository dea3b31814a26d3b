import {beforeEach, expect, it} from 'vitest';
import {ManualClock} from '../../../../base/common/clock';
import {ok} from '../../../../base/common/outcome';
import type {AccountEntry} from '../../../../schema/generated/fleet';
import {SHARE_LEASE_MS} from '../../../account/common/permit_counting';
import {NO_LIMIT_WINDOW} from '../../../account/common/limit_precision';
import {
  makeCounter,
  makeLimited,
} from '../../../account/test/common/permit_counting_fakes';
import {FleetStateMachine} from '../../../fleet_state/common/fleet_state_machine';
import {
  makeCatalog,
  makeLog,
  makeRoute,
} from '../../../gateway/test/node/session_fixture';
import {SingleFlight} from '../../common/single_flight';
import {LimitCoordinator} from '../../node/limit_coordinator';

let clock: ManualClock;
let machine: FleetStateMachine;
let accounts: AccountEntry[];
let version: number;
let logged: ReturnType<typeof makeLog>;
let proposals: number;
let counting: LimitCoordinator;

const PROXIES = ['p1', 'p2', 'p3'].map(name => makeCounter(name));

beforeEach(() => {
  clock = new ManualClock();
  machine = new FleetStateMachine();
  accounts = [];
  version = 1;
  logged = makeLog();
  proposals = 0;
  counting = makeCounting();
});

/** A coordinator as it is at the start of a leadership. */
function makeCounting(): LimitCoordinator {
  return new LimitCoordinator(
    {
      limitPrecision: NO_LIMIT_WINDOW,
      shareLeaseMs: SHARE_LEASE_MS,
      machine,
      node: {
        propose: command => {
          machine.apply(++proposals, command);
          return Promise.resolve(ok(proposals));
        },
      },
      clock,
      log: logged.log,
      regionOf: site => site,
      catalog: () => makeCatalog([makeRoute()], {version, accounts}),
    },
    new SingleFlight(),
  );
}

async function tendFor(milliseconds: number): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += 200) {
    clock.advance(200);
    counting.reconcile(PROXIES);
    await Promise.resolve();
    await Promise.resolve();
  }
}

it('assigns no counters if no account has a limit', async () => {
  // Deployments without limits must see no change in the log and in the
  // messages to proxies.
  accounts = [makeLimited('oak')];
  await tendFor(10_000);
  expect(proposals).toBe(0);
  expect(logged.lines).toEqual([]);
  for (const {instance} of PROXIES) {
    expect(
      counting.shares.takeChangedShares(instance, clock.now()),
    ).toBeUndefined();
  }
});

it('assigns counters with a reason and gives them shares', async () => {
  accounts = [makeLimited('fern', 100)];
  await tendFor(2_000);
  const named = machine.counters.map(({instance}) => instance);
  expect(named).toHaveLength(2);
  const lines = logged.lines.filter(line => line.startsWith('Names a counter'));
  expect(lines).toHaveLength(2);
  expect(lines.join()).toContain('others');
  const {shares} = counting;
  let sum = 0;
  for (const instance of named) {
    shares.onDidAttach(instance, [], clock.now(), clock.now());
    shares.report(instance, [], 0, clock.now());
    shares.renewLease(instance, clock.now());
  }
  for (const instance of named) {
    const list = shares.takeChangedShares(instance, clock.now());
    sum += list?.shares[0]?.perSecond ?? 0;
  }
  expect(sum).toBeGreaterThan(0);
  expect(sum).toBeLessThanOrEqual(100);
});

it('does not reassign shares of an earlier leader', async () => {
  // A new leader does not know the shares of counters that have not reconnected
  // yet; the log tells that there are counters.
  accounts = [makeLimited('fern', 100)];
  await tendFor(2_000);
  const [first] = machine.counters;
  counting = makeCounting();
  const {shares} = counting;
  const {instance} = first!;
  shares.onDidAttach(instance, [], clock.now(), clock.now());
  shares.report(instance, [], 0, clock.now());
  shares.renewLease(instance, clock.now());
  const list = shares.takeChangedShares(instance, clock.now());
  const given = list?.shares.map(({perSecond}) => perSecond) ?? [];
  expect(Math.max(0, ...given)).toBe(0);
});
