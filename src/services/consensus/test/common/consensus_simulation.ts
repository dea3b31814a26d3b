import {SeededRandom} from '../../../../base/common/random';
import type {
  ConsensusMessage,
  HardState,
  LogEntry,
  Peer,
  Snapshot,
} from '../../../../schema/generated/consensus';
import {Consensus} from '../../common/consensus';
import type {ConsensusEvent, Effect} from '../../common/consensus_types';

const OPTIONS = {electionMs: 100, heartbeatMs: 20};
const SNAPSHOT_AFTER = 12;

/** What one member has on its disk; unsynced writes are lost in a crash. */
interface Disk {
  hardState: HardState;
  snapshot: Snapshot;
  entries: LogEntry[];
}

/** One instance of a small group: a core, its disk and what it applied. */
export class GroupMember {
  core: Consensus | undefined;
  applied = new Map<number, string>();
  appliedTo = 0;
  cutOff = false;

  constructor(
    readonly id: string,
    readonly disk: Disk,
  ) {}
}

/** Cores joined by a list of messages that a schedule plays with. */
export class ConsensusSimulation {
  readonly members: GroupMember[];
  inFlight: ConsensusMessage[] = [];
  now = 0;
  /** Everything that was ever committed, by index. */
  readonly committed = new Map<number, string>();
  readonly leaders = new Map<number, string>();
  readonly faults: string[] = [];
  readonly answers = new Map<number, string>();
  private lastTicket = 0;
  private readonly confirmFloor = new Map<number, number>();

  constructor(
    count: number,
    private readonly random: SeededRandom,
  ) {
    const peers = Array.from({length: count}, (...[, at]) => peer(`m${at}`));
    this.members = peers.map(({id}) => {
      const snapshot = firstSnapshot(peers);
      const hardState = {term: 1, votedFor: ''};
      return new GroupMember(id, {hardState, snapshot, entries: []});
    });
    for (const member of this.members) this.restart(member);
  }

  get leader(): GroupMember | undefined {
    const leading = this.members.filter(({core}) => core?.role === 'leader');
    return leading.sort((a, b) => {
      return b.core!.currentTerm - a.core!.currentTerm;
    })[0];
  }

  restart(member: GroupMember): void {
    const {hardState, snapshot, entries} = member.disk;
    member.core = new Consensus(
      member.id,
      {hardState, snapshot, entries: [...entries]},
      OPTIONS,
      new SeededRandom(this.random.integer(1, 1_000_000)),
    );
    member.appliedTo = snapshot.index;
  }

  crash(member: GroupMember): void {
    member.core = undefined;
  }

  tick(member: GroupMember): void {
    this.step(member, {kind: 'tick'});
  }

  propose(member: GroupMember, text: string): number {
    const ticket = ++this.lastTicket;
    const command = Buffer.from(text);
    this.step(member, {kind: 'propose', command, ticket});
    return ticket;
  }

  /** Asks for proof of leadership; the floor is what was committed by then. */
  confirm(member: GroupMember): number {
    const ticket = ++this.lastTicket;
    this.confirmFloor.set(ticket, Math.max(0, ...this.committed.keys()));
    this.step(member, {kind: 'confirm', ticket});
    return ticket;
  }

  deliver(at: number): void {
    const [message] = this.inFlight.splice(at, 1);
    const to = this.members.find(({id}) => id === message?.to);
    const from = this.members.find(({id}) => id === message?.from);
    if (!message || !to?.core || to.cutOff || from?.cutOff) return;
    this.step(to, {kind: 'message', message});
  }

  /** Delivers and ticks until nothing is left to say for a while. */
  settle(milliseconds: number): void {
    const end = this.now + milliseconds;
    while (this.now < end) {
      while (this.inFlight.length > 0) this.deliver(0);
      this.now += 5;
      for (const member of this.members) {
        if (member.core) this.tick(member);
      }
    }
  }

  private step(member: GroupMember, event: ConsensusEvent): void {
    const {core} = member;
    if (!core) return;
    let effects = core.step(event, this.now);
    while (effects.length > 0) {
      const last = this.save(member, effects);
      for (const effect of effects) this.act(member, effect);
      effects = last
        ? core.step(
            {kind: 'synced', index: last.index, term: last.term},
            this.now,
          )
        : [];
    }
    this.noteLeader(member);
    this.compact(member);
  }

  private save(
    {disk}: GroupMember,
    effects: readonly Effect[],
  ): LogEntry | undefined {
    let last: LogEntry | undefined;
    for (const effect of effects) {
      if (effect.kind === 'saveHardState') disk.hardState = effect.state;
      if (effect.kind === 'truncate') {
        disk.entries = disk.entries.filter(({index}) => index < effect.from);
      }
      if (effect.kind === 'append') {
        disk.entries.push(...effect.entries);
        last = effect.entries.at(-1);
      }
      if (effect.kind === 'installSnapshot') {
        disk.snapshot = effect.snapshot;
        disk.entries = [...effect.kept];
      }
    }
    return last;
  }

  private act(member: GroupMember, effect: Effect): void {
    switch (effect.kind) {
      case 'send':
        this.inFlight.push(effect.message);
        return;
      case 'apply':
        return this.apply(member, effect.entry);
      case 'installSnapshot':
        member.appliedTo = effect.snapshot.index;
        return;
      case 'confirmed':
        this.answers.set(effect.ticket, 'confirmed');
        if (effect.index < (this.confirmFloor.get(effect.ticket) ?? 0)) {
          this.faults.push(`${member.id} confirmed a state that was old`);
        }
        return;
      case 'committed':
        this.answers.set(effect.ticket, 'committed');
        return;
      case 'refused':
        this.answers.set(effect.ticket, effect.reason);
        return;
      default:
        return;
    }
  }

  private apply(member: GroupMember, entry: LogEntry): void {
    const {payload, index, term} = entry;
    const text = payload?.$case === 'command' ? payload.value.toString() : '';
    const content = `${term}:${payload?.$case}:${text}`;
    const known = this.committed.get(index);
    if (known !== undefined && known !== content) {
      this.faults.push(`index ${index}: ${known} and ${content}`);
    }
    if (index !== member.appliedTo + 1) {
      this.faults.push(`${member.id} applied ${index} out of order`);
    }
    this.committed.set(index, content);
    member.appliedTo = index;
  }

  private noteLeader(member: GroupMember): void {
    if (member.core?.role !== 'leader') return;
    const term = member.core.currentTerm;
    const known = this.leaders.get(term);
    if (known !== undefined && known !== member.id) {
      this.faults.push(`term ${term} has leaders ${known} and ${member.id}`);
    }
    this.leaders.set(term, member.id);
  }

  private compact(member: GroupMember): void {
    const {core} = member;
    if (!core || core.commitIndex - core.snapshotIndex < SNAPSHOT_AFTER) return;
    const snapshot = core.makeSnapshot(Buffer.from('state'));
    const effects = core.step({kind: 'compacted', snapshot}, this.now);
    this.save(member, effects);
  }
}

export function peer(id: string, voter = true): Peer {
  return {id, address: `${id}:1`, voter};
}

export function firstSnapshot(peers: Peer[]): Snapshot {
  const state = Buffer.alloc(0);
  return {index: 1, term: 1, configuration: {peers}, state};
}
