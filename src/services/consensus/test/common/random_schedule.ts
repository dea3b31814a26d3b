import type {SeededRandom} from '../../../../base/common/random';
import type {
  Configuration,
  ConsensusMessage,
  Peer,
} from '../../../../schema/generated/consensus';
import {
  completeReplacement,
  hasMajority,
  isJoint,
  makeConfiguration,
  replaceVoter,
} from '../../common/configuration';
import type {Consensus} from '../../common/consensus';
import {
  makePeer,
  type ConsensusSimulation,
  type SimulatedMember,
} from './consensus_simulation';

const MAX_STEPS_PER_PERIOD = 80;
const MAX_MESSAGES_PER_STEP = 60;
/** Messages that are delivered out of order are among the first ones. */
const MAX_REORDERED = 12;
const MAX_VOTERS = 5;

/**
 * Random faults, changes of voters and requests. Each period has other members
 * offline, crashed, stopped or with hanging disks, some lose their disks, and
 * messages are lost, repeated and delayed.
 */
export class RandomSchedule {
  private late: ConsensusMessage[] = [];
  private commandCount = 0;
  /** How fast messages are delivered in this period. */
  private maxMoves = 0;

  constructor(
    private readonly group: ConsensusSimulation,
    private readonly random: SeededRandom,
  ) {}

  runPeriod(): void {
    const {group, random} = this;
    const isSplit = random.integer(0, 2) === 0;
    const isCommonRestart = random.integer(0, 9) === 0;
    for (const member of [...group.members]) {
      member.side = isSplit ? random.integer(0, 1) : 0;
      if (isCommonRestart) group.crash(member);
      if (isCommonRestart) group.restart(member);
      this.disturb(member);
    }
    this.maxMoves = random.integer(1, MAX_MESSAGES_PER_STEP);
    const steps = random.integer(1, MAX_STEPS_PER_PERIOD);
    for (let step = 0; step < steps; step++) this.runStep();
  }

  private disturb(member: SimulatedMember): void {
    const {group, random} = this;
    member.isOffline = random.integer(0, 9) === 0;
    const dice = random.integer(0, 99);
    if (dice < 6) group.crash(member);
    else if (dice < 60 && !member.core) group.restart(member);
    if (dice >= 98 && this.isDispensable(member)) return group.wipe(member);
    if (!member.core) return;
    group.setHanging(member, random.integer(0, 9) === 0);
    if (random.integer(0, 9) === 0) group.freeze(member);
    else group.continue(member);
  }

  /** Whether the group, as its leader knows it, is alive without a disk. */
  private isDispensable({id}: SimulatedMember): boolean {
    const {leader, members} = this.group;
    const others = members.filter(other => other.id !== id);
    const ids = new Set(others.map(other => other.id));
    return !!leader && hasMajority(leader.core!.configuration, ids);
  }

  private runStep(): void {
    const {group, random} = this;
    group.now += random.integer(1, 15);
    const alive = group.members.filter(({core}) => core !== undefined);
    for (const member of alive) group.tick(member);
    const leading = alive.filter(({core}) => core!.role === 'leader');
    for (const leader of leading) this.request(leader);
    // Instances that do not lead, or are stopped, are asked too.
    if (alive.length > 0 && random.integer(0, 3) === 0) {
      group.confirm(random.pick(alive));
    }
    const moves = random.integer(0, this.maxMoves);
    for (let move = 0; move < moves; move++) this.handleMessage();
    if (random.integer(0, 2) === 0) this.receiveLate();
    const member = random.pick(group.members);
    const dice = random.integer(0, 79);
    if (dice < 8) group.setHanging(member, false);
    else if (dice < 16) group.continue(member);
    else if (dice < 18) {
      group.crash(member);
      group.restart(member);
    }
  }

  private request(leader: SimulatedMember): void {
    const {group, random} = this;
    const dice = random.integer(0, 11);
    if (dice < 3) group.propose(leader, `c${++this.commandCount}`);
    else if (dice < 6) group.confirm(leader);
    else if (dice < 8 && leader.core) {
      group.changeConfiguration(leader, this.pickChange(leader.core));
    }
  }

  private pickChange(core: Consensus): Configuration {
    const {random} = this;
    const {configuration} = core;
    const {peers} = configuration;
    if (isJoint(configuration)) {
      return completeReplacement(configuration, () => random.integer(0, 1) > 0);
    }
    if (random.integer(0, 11) === 0) return this.pickAnyVoters();
    const joining = this.group.members.filter(({id}) => {
      return !peers.some(peer => peer.id === id);
    });
    if (joining.length > 0 && random.integer(0, 1) === 0) {
      const learner = makePeer(random.pick(joining).id, false);
      return makeConfiguration([...peers, learner]);
    }
    const voters = peers.filter(({voter}) => voter);
    const learners = peers.filter(({id, voter}) => {
      return !voter && this.isPresent(id) && core.matchIndexOf(id) > 0;
    });
    if (learners.length === 0) return this.removeAny(peers, voters.length);
    const learner = random.pick(learners);
    if (voters.length < MAX_VOTERS && random.integer(0, 1) === 0) {
      const others = peers.filter(peer => peer !== learner);
      return makeConfiguration([...others, {...learner, voter: true}]);
    }
    const lost = voters.find(({id}) => !this.isPresent(id));
    const replaced = lost ?? random.pick(voters);
    return replaceVoter(configuration, replaced, learner);
  }

  private isPresent(id: string): boolean {
    return this.group.members.some(member => member.id === id);
  }

  /** Removes a lost learner or, of more than three voters, any peer. */
  private removeAny(peers: readonly Peer[], voterCount: number): Configuration {
    const lost = peers.filter(({id, voter}) => !voter && !this.isPresent(id));
    const removable = voterCount > 3 ? peers : lost;
    if (removable.length === 0) return makeConfiguration(peers);
    const removed = this.random.pick(removable);
    return makeConfiguration(peers.filter(peer => peer !== removed));
  }

  /** A change that is refused unless its majorities happen to overlap. */
  private pickAnyVoters(): Configuration {
    const peers = this.group.members.map(({id}) => {
      return makePeer(id, this.random.integer(0, 1) === 0);
    });
    return makeConfiguration(peers);
  }

  /** Delivers, drops, repeats or delays one of the messages in flight. */
  private handleMessage(): void {
    const {group, random} = this;
    const {inFlight} = group;
    if (inFlight.length === 0) return;
    const maxIndex = Math.min(inFlight.length, MAX_REORDERED) - 1;
    const index = random.integer(0, maxIndex);
    const dice = random.integer(0, 24);
    if (dice === 0) inFlight.splice(index, 1);
    else if (dice === 1) this.late.push(...inFlight.splice(index, 1));
    else if (dice < 4) this.late.push(inFlight[index]!);
    else group.deliver(index);
  }

  private receiveLate(): void {
    const {late, random} = this;
    if (late.length === 0) return;
    const [message] = late.splice(random.integer(0, late.length - 1), 1);
    this.group.receive(message!);
  }
}
