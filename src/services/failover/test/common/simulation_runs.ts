import {SeededRandom} from '../../../../base/common/random';
import {Phase} from '../../../../schema/generated/control';
import {FailoverSimulation, type SimulatedMember} from './failover_simulation';

const STEP_COUNT = 900;

/** Runs random traffic and faults; one member at a time loses its data. */
export function runFaults(seed: number): FailoverSimulation {
  const random = new SeededRandom(seed);
  const simulation = new FailoverSimulation(random);
  for (let step = 0; step < STEP_COUNT; step++) {
    simulation.advance(random.integer(1, 10));
    const proxy = random.pick(simulation.proxies);
    const target = random.pick(simulation.targets);
    const dice = random.integer(0, 999);
    if (dice < 350) simulation.requestLease(proxy);
    else if (dice < 600) simulation.write(proxy);
    else if (dice < 900) simulation.announce(proxy);
    else if (dice < 910) proxy.isControlUnreachable = true;
    else if (dice < 915) target.isControlUnreachable = true;
    else if (dice < 920) target.areMembersUnreachable = true;
    else if (dice < 925) target.areProxiesUnreachable = true;
    else if (dice < 932) target.isUp = false;
    else if (dice < 937) simulation.changeLeader();
    else if (dice < 943) loseData(simulation, random);
    else if (dice < 965) proxy.isControlUnreachable = false;
    else heal(target);
  }
  return simulation;
}

/** Restores all connections of a member. */
function heal(target: SimulatedMember): void {
  target.isUp = true;
  target.isControlUnreachable = false;
  target.areMembersUnreachable = false;
  target.areProxiesUnreachable = false;
}

/** Restarts a member without its data if all members have caught up. */
function loseData(simulation: FailoverSimulation, random: SeededRandom): void {
  const {term, phase} = simulation.record;
  const haveAllCaughtUp = simulation.targets.every(
    ({matchedTerm}) => matchedTerm === term,
  );
  if (phase !== Phase.PHASE_STEADY || !haveAllCaughtUp) return;
  random.pick(simulation.targets).loseData();
}

/** Ends all faults and runs until the service is stable. */
export function recover(simulation: FailoverSimulation): void {
  for (const proxy of simulation.proxies) proxy.isControlUnreachable = false;
  for (const target of simulation.targets) heal(target);
  for (let step = 0; step < 400; step++) {
    simulation.advance(5);
    for (const proxy of simulation.proxies) {
      simulation.requestLease(proxy);
      simulation.announce(proxy);
    }
  }
}
