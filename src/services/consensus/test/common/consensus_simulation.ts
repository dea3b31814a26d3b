import {SeededRandom} from '../../../../base/common/random';
import type {
  Configuration,
  ConsensusMessage,
  LogEntry,
  Peer,
  Snapshot,
} from '../../../../schema/generated/consensus';
import {makeConfiguration} from '../../common/configuration';
import {Consensus} from '../../common/consensus';
import type {ConsensusEvent, Effect} from '../../common/consensus_types';
import {saveEffects, type SimulatedDisk} from './simulated_disk';

const OPTIONS = {electionMs: 100, heartbeatMs: 20};
const MAX_ENTRIES = 12;

/** One instance of the group; it has no core while it is crashed. */
export class SimulatedMember {
  core: Consensus | undefined;
  applied = new Map<number, string>();
  appliedIndex = 0;
  isOffline = false;

  constructor(
    readonly id: string,
    readonly disk: SimulatedDisk,
  ) {}
}

/** A group of cores with disks in memory, and the messages between them. */
export class ConsensusSimulation {
  readonly members: SimulatedMember[];
  inFlight: ConsensusMessage[] = [];
  now = 0;
  /** Content of all entries that were ever committed, by index. */
  readonly committed = new Map<number, string>();
  readonly leaders = new Map<number, string>();
  readonly violations: string[] = [];
  readonly outcomes = new Map<number, string>();
  private lastRequestId = 0;
  private readonly minConfirmedIndex = new Map<number, number>();

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

  crash(member: SimulatedMember): void {
    member.core = undefined;
  }

  tick(member: SimulatedMember): void {
    this.step(member, {kind: 'tick'});
  }

  propose(member: SimulatedMember, text: string): number {
    const requestId = ++this.lastRequestId;
    const command = Buffer.from(text);
    this.step(member, {kind: 'propose', command, requestId});
    return requestId;
  }

  changeConfiguration(
    member: SimulatedMember,
    configuration: Configuration,
  ): number {
    const requestId = ++this.lastRequestId;
    this.step(member, {kind: 'changeConfiguration', configuration, requestId});
    return requestId;
  }

  /** Requests confirmation, which has to cover all that is committed now. */
  confirm(member: SimulatedMember): number {
    const requestId = ++this.lastRequestId;
    this.minConfirmedIndex.set(
      requestId,
      Math.max(0, ...this.committed.keys()),
    );
    this.step(member, {kind: 'confirm', requestId});
    return requestId;
  }

  deliver(index: number): void {
    const [message] = this.inFlight.splice(index, 1);
    const to = this.members.find(({id}) => id === message?.to);
    const from = this.members.find(({id}) => id === message?.from);
    if (!message || !to?.core || to.isOffline || from?.isOffline) return;
    this.step(to, {kind: 'message', message});
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

  private step(member: SimulatedMember, event: ConsensusEvent): void {
    const {core} = member;
    if (!core) return;
    let effects = core.step(event, this.now);
    while (effects.length > 0) {
      const last = saveEffects(member.disk, effects);
      for (const effect of effects) this.runEffect(member, effect);
      effects = last
        ? core.step(
            {kind: 'synced', index: last.index, term: last.term},
            this.now,
          )
        : [];
    }
    this.recordLeader(member);
    this.compact(member);
  }

  private runEffect(member: SimulatedMember, effect: Effect): void {
    switch (effect.kind) {
      case 'send':
        this.inFlight.push(effect.message);
        return;
      case 'apply':
        return this.apply(member, effect.entry);
      case 'installSnapshot':
        member.appliedIndex = effect.snapshot.index;
        return;
      case 'confirmed':
        this.outcomes.set(effect.requestId, 'confirmed');
        if (
          effect.index < (this.minConfirmedIndex.get(effect.requestId) ?? 0)
        ) {
          this.violations.push(`${member.id} confirmed a state that was old`);
        }
        return;
      case 'committed':
        this.outcomes.set(effect.requestId, 'committed');
        return;
      case 'refused':
        this.outcomes.set(effect.requestId, effect.reason);
        return;
      default:
        return;
    }
  }

  private apply(member: SimulatedMember, entry: LogEntry): void {
    const {payload, index, term} = entry;
    const text = payload?.$case === 'command' ? payload.value.toString() : '';
    const content = `${term}:${payload?.$case}:${text}`;
    const known = this.committed.get(index);
    if (known !== undefined && known !== content) {
      this.violations.push(`index ${index}: ${known} and ${content}`);
    }
    if (index !== member.appliedIndex + 1) {
      this.violations.push(`${member.id} applied ${index} out of order`);
    }
    this.committed.set(index, content);
    member.appliedIndex = index;
  }

  private recordLeader(member: SimulatedMember): void {
    if (member.core?.role !== 'leader') return;
    const term = member.core.currentTerm;
    const known = this.leaders.get(term);
    if (known !== undefined && known !== member.id) {
      this.violations.push(
        `term ${term} has leaders ${known} and ${member.id}`,
      );
    }
    this.leaders.set(term, member.id);
  }

  private compact(member: SimulatedMember): void {
    const {core} = member;
    if (!core || core.commitIndex - core.snapshotIndex < MAX_ENTRIES) return;
    const snapshot = core.makeSnapshot(Buffer.from('state'));
    const effects = core.step({kind: 'compacted', snapshot}, this.now);
    saveEffects(member.disk, effects);
  }
}

export function makePeer(id: string, voter = true): Peer {
  return {id, address: `${id}:1`, voter};
}

export function makeInitialSnapshot(peers: Peer[]): Snapshot {
  const state = Buffer.alloc(0);
  return {index: 1, term: 1, configuration: makeConfiguration(peers), state};
}
