import {SeededRandom} from '../../../../base/common/random';
import {Phase} from '../../../../schema/generated/control';
import {FailoverSimulation, type SimulatedMember} from './failover_simulation';

const STEPS = 900;

/** Plays random traffic and faults; one member at a time loses its data. */
export function play(seed: number): FailoverSimulation {
  const random = new SeededRandom(seed);
  const world = new FailoverSimulation(random);
  for (let step = 0; step < STEPS; step++) {
    world.pass(random.integer(1, 10));
    const proxy = random.pick(world.proxies);
    const target = random.pick(world.targets);
    const dice = random.integer(0, 999);
    if (dice < 350) world.ask(proxy);
    else if (dice < 600) world.write(proxy);
    else if (dice < 900) world.announce(proxy);
    else if (dice < 910) proxy.cutFromControl = true;
    else if (dice < 915) target.cutFromControl = true;
    else if (dice < 920) target.cutFromMembers = true;
    else if (dice < 925) target.cutFromProxies = true;
    else if (dice < 932) target.up = false;
    else if (dice < 937) world.changeLeader();
    else if (dice < 943) loseData(world, random);
    else if (dice < 965) proxy.cutFromControl = false;
    else heal(target);
  }
  return world;
}

/** A member is back in all directions. */
function heal(target: SimulatedMember): void {
  target.up = true;
  target.cutFromControl = false;
  target.cutFromMembers = false;
  target.cutFromProxies = false;
}

/** A member restarts empty, where all others hold their data. */
function loseData(world: FailoverSimulation, random: SeededRandom): void {
  const {term, phase} = world.record;
  const settled = world.targets.every(({matchedTerm}) => matchedTerm === term);
  if (phase !== Phase.PHASE_STEADY || !settled) return;
  random.pick(world.targets).loseData();
}

/** Ends all faults and lets everything come to rest. */
export function recover(world: FailoverSimulation): void {
  for (const proxy of world.proxies) proxy.cutFromControl = false;
  for (const target of world.targets) heal(target);
  for (let step = 0; step < 400; step++) {
    world.pass(5);
    for (const proxy of world.proxies) {
      world.ask(proxy);
      world.announce(proxy);
    }
  }
}
