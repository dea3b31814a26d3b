import {SeededRandom} from '../../../../base/common/random';
import type {
  Configuration,
  ConsensusMessage,
  Peer,
  Snapshot,
} from '../../../../schema/generated/consensus';
import {makeConfiguration} from '../../common/configuration';
import {Consensus} from '../../common/consensus';
import type {ConsensusEvent, Effect} from '../../common/consensus_types';
import {emptyState} from '../../common/initial_state';
import {ConsensusHistory} from './consensus_history';
import {saveEffects, type SimulatedDisk} from './simulated_disk';

const OPTIONS = {electionMs: 100, heartbeatMs: 20};
const MAX_ENTRIES = 12;
/** Events that are saved together after a disk hung. */
const MAX_BATCH = 64;

/** An effect and the term of the core that made it. */
interface TermEffect {
  readonly effect: Effect;
  readonly term: number;
}

/** One instance of the group; it has no core while it is crashed. */
export class SimulatedMember {
  core: Consensus | undefined;
  appliedIndex = 0;
  isOffline = false;
  /** Messages pass between members of the same side only. */
  side = 0;
  /** While its disk hangs, it handles no further event. */
  isHanging = false;
  /** While its process is stopped, it handles nothing and has no timers. */
  isFrozen = false;
  /** Events that are not handled yet. */
  queue: ConsensusEvent[] = [];
  /** Effects that wait for the disk. */
  saving: TermEffect[] | undefined;

  constructor(
    readonly id: string,
    readonly disk: SimulatedDisk,
  ) {}

  /** Instances that lose their disks keep their addresses. */
  get address(): string {
    return addressOf(this.id);
  }
}

/** A group of cores with disks in memory, and the messages between them. */
export class ConsensusSimulation {
  readonly members: SimulatedMember[];
  inFlight: ConsensusMessage[] = [];
  now = 0;
  readonly history = new ConsensusHistory();
  readonly outcomes = new Map<number, string>();
  private lastRequestId = 0;
  private lastIncarnation = 0;

  constructor(
    count: number,
    private readonly random: SeededRandom,
  ) {
    const peers = Array.from({length: count}, (...[, at]) =>
      makePeer(`m${at}`),
    );
    this.members = peers.map(({id}) => {
      const snapshot = makeInitialSnapshot(peers);
      const hardState = {term: 1, votedFor: ''};
      return new SimulatedMember(id, {hardState, snapshot, entries: []});
    });
    for (const member of this.members) this.restart(member);
  }

  get violations(): readonly string[] {
    return this.history.violations;
  }

  get leader(): SimulatedMember | undefined {
    const leading = this.members.filter(({core}) => core?.role === 'leader');
    return leading.sort((a, b) => {
      return b.core!.currentTerm - a.core!.currentTerm;
    })[0];
  }

  restart(member: SimulatedMember): void {
    const {hardState, snapshot, entries} = member.disk;
    member.core = new Consensus(
      member.id,
      {hardState, snapshot, entries: [...entries]},
      OPTIONS,
      new SeededRandom(this.random.integer(1, 1_000_000)),
    );
    member.appliedIndex = snapshot.index;
  }

  /** Stops an instance; a write that hangs is on its disk or lost. */
  crash(member: SimulatedMember): void {
    const {saving} = member;
    if (saving && this.random.integer(0, 1) === 0) {
      saveEffects(
        member.disk,
        saving.map(({effect}) => effect),
      );
    }
    member.core = undefined;
    member.saving = undefined;
    member.queue = [];
    member.isHanging = false;
    member.isFrozen = false;
  }

  /** Adds an empty instance; it takes no part before a change adds it. */
  addEmpty(address = `m${this.members.length}`): void {
    const id = `${address}#${++this.lastIncarnation}`;
    const member = new SimulatedMember(id, {...emptyState(), entries: []});
    this.members.push(member);
    this.restart(member);
  }

  /** Replaces an instance by one with an empty disk at its address. */
  wipe(member: SimulatedMember): void {
    this.crash(member);
    this.members.splice(this.members.indexOf(member), 1);
    this.addEmpty(member.address);
  }

  /** Ends or begins hanging of the disk of an instance. */
  setHanging(member: SimulatedMember, isHanging: boolean): void {
    member.isHanging = isHanging;
    this.resume(member);
  }

  freeze(member: SimulatedMember): void {
    member.isFrozen = true;
  }

  /** Continues a process, which reads its sockets in any order. */
  continue(member: SimulatedMember): void {
    if (!member.isFrozen) return;
    member.isFrozen = false;
    const {queue} = member;
    member.queue = [];
    while (queue.length > 0) {
      const at = this.random.integer(0, queue.length - 1);
      member.queue.push(...queue.splice(at, 1));
    }
    this.resume(member);
  }

  tick(member: SimulatedMember): void {
    if (!member.isFrozen) this.post(member, {kind: 'tick'});
  }

  propose(member: SimulatedMember, text: string): number {
    const requestId = ++this.lastRequestId;
    const command = Buffer.from(text);
    this.history.onRequest(requestId, text);
    this.post(member, {kind: 'propose', command, requestId});
    return requestId;
  }

  changeConfiguration(
    member: SimulatedMember,
    configuration: Configuration,
  ): number {
    const requestId = ++this.lastRequestId;
    this.history.onRequest(requestId);
    this.post(member, {kind: 'changeConfiguration', configuration, requestId});
    return requestId;
  }

  /** Requests confirmation, which has to cover all that is committed now. */
  confirm(member: SimulatedMember): number {
    const requestId = ++this.lastRequestId;
    this.history.onRequest(requestId);
    this.post(member, {kind: 'confirm', requestId});
    return requestId;
  }

  deliver(index: number): void {
    const [message] = this.inFlight.splice(index, 1);
    const from = this.members.find(({id}) => id === message?.from);
    if (!message || from?.isOffline) return;
    const to = this.memberAt(message.to);
    if (to && !to.isOffline && to.side === from?.side) this.receive(message);
  }

  /** Delivers a message, whoever is cut off now. */
  receive(message: ConsensusMessage): void {
    const to = this.memberAt(message.to);
    if (to) this.post(to, {kind: 'message', message});
  }

  private memberAt(id: string): SimulatedMember | undefined {
    return this.members.find(({address}) => address === addressOf(id));
  }

  /** Delivers all messages and ticks all members for a time. */
  run(milliseconds: number): void {
    const end = this.now + milliseconds;
    while (this.now < end) {
      while (this.inFlight.length > 0) this.deliver(0);
      this.now += 5;
      for (const member of this.members) {
        if (member.core) this.tick(member);
      }
    }
  }

  /** Handles an event once the disk has finished what came before. */
  private post(member: SimulatedMember, event: ConsensusEvent): void {
    if (!member.core) return;
    member.queue.push(event);
    this.resume(member);
  }

  /** Handles queued events, unless it is stopped, in batches that are saved together. */
  private resume(member: SimulatedMember): void {
    if (member.isFrozen || !this.finishSaving(member)) return;
    while (member.queue.length > 0) {
      const batch = member.queue.splice(0, MAX_BATCH);
      const effects = batch.flatMap(event => this.step(member, event));
      if (!this.save(member, effects)) return;
    }
  }

  private finishSaving(member: SimulatedMember): boolean {
    const {saving} = member;
    if (!saving) return true;
    member.saving = undefined;
    return this.save(member, saving);
  }

  /** Makes effects durable before it runs them; false while the disk hangs. */
  private save(member: SimulatedMember, effects: TermEffect[]): boolean {
    let rest = effects;
    while (rest.length > 0) {
      if (member.isHanging && rest.some(({effect}) => isWrite(effect))) {
        member.saving = rest;
        return false;
      }
      const last = saveEffects(
        member.disk,
        rest.map(({effect}) => effect),
      );
      for (const item of rest) this.runEffect(member, item);
      const {index = 0, term = 0} = last ?? {};
      rest = last ? this.step(member, {kind: 'synced', index, term}) : [];
    }
    this.compact(member);
    return true;
  }

  private step(member: SimulatedMember, event: ConsensusEvent): TermEffect[] {
    const core = member.core!;
    const effects = core.step(event, this.now);
    const term = core.currentTerm;
    if (core.role === 'leader') this.history.onLeader(member.id, term);
    return effects.map(effect => ({effect, term}));
  }

  private runEffect(member: SimulatedMember, {effect, term}: TermEffect): void {
    this.history.onOutcome(member.id, effect, term);
    switch (effect.kind) {
      case 'send':
        this.inFlight.push(effect.message);
        return;
      case 'apply':
        this.history.onApply(member.id, effect.entry, member.appliedIndex);
        member.appliedIndex = effect.entry.index;
        return;
      case 'installSnapshot':
        this.history.onSnapshot(member.id, effect.snapshot);
        member.appliedIndex = effect.snapshot.index;
        return;
      case 'confirmed':
      case 'committed':
        this.outcomes.set(effect.requestId, effect.kind);
        return;
      case 'refused':
        this.outcomes.set(effect.requestId, effect.reason);
        return;
      default:
        return;
    }
  }

  private compact(member: SimulatedMember): void {
    const {core} = member;
    if (!core || core.commitIndex - core.snapshotIndex < MAX_ENTRIES) return;
    const snapshot = core.makeSnapshot(Buffer.from('state'));
    const effects = core.step({kind: 'compacted', snapshot}, this.now);
    saveEffects(member.disk, effects);
  }
}

function isWrite({kind}: Effect): boolean {
  return (
    kind === 'saveHardState' ||
    kind === 'append' ||
    kind === 'truncate' ||
    kind === 'installSnapshot'
  );
}

function addressOf(id: string): string {
  return id.split('#')[0]!;
}

export function makePeer(id: string, voter = true): Peer {
  return {id, address: `${id}:1`, voter};
}

export function makeInitialSnapshot(peers: Peer[]): Snapshot {
  const state = Buffer.alloc(0);
  return {index: 1, term: 1, configuration: makeConfiguration(peers), state};
}
