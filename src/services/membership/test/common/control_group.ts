import {SeededRandom} from '../../../../base/common/random';
import type {
  ConsensusMessage,
  LogEntry,
} from '../../../../schema/generated/consensus';
import {isJoint} from '../../../consensus/common/configuration';
import {Consensus} from '../../../consensus/common/consensus';
import type {
  ConsensusEvent,
  Effect,
} from '../../../consensus/common/consensus_types';
import {
  emptyState,
  initialPeerId,
  initialSnapshot,
} from '../../../consensus/common/initial_state';
import {
  saveEffects,
  type SimulatedDisk,
} from '../../../consensus/test/common/simulated_disk';
import {planElasticMembership} from '../../common/elastic_membership_plan';
import type {Joiner} from '../../common/membership_plan';
import {replacementSilenceMs} from '../../common/replacement_silence';
import {hasVoteToHandOver} from '../../common/vote_handover';

/** After this time a successor counts as a full replacement. */
export const CATCH_UP_MS = 4_000;

const OPTIONS = {electionMs: 350, heartbeatMs: 100};
const TICK_INTERVAL_MS = 20;
const PLAN_INTERVAL_MS = 200;
const JOIN_INTERVAL_MS = 500;
const LATENCY_MS = 20;
const MAX_HANDOVER_MS = 2_000;
const LEAVE_INTERVAL_MS = 100;
const REPLACE_SILENT_AFTER_MS = replacementSilenceMs({
  catchUpMs: CATCH_UP_MS,
  minSilenceMs: 2 * OPTIONS.electionMs,
});

/** What disturbs the messages and logs of a group. */
export interface Disturbance {
  /** Fraction of the messages that are lost. */
  readonly lossRate: number;
  /** Up to which delay, in milliseconds, messages are reordered. */
  readonly maxDelayMs: number;
  /** Committed entries after which an instance makes a snapshot. */
  readonly entriesPerSnapshot: number;
  readonly replaceSilentAfterMs: number;
}

const CALM: Disturbance = {
  lossRate: 0,
  maxDelayMs: 0,
  entriesPerSnapshot: Infinity,
  replaceSilentAfterMs: REPLACE_SILENT_AFTER_MS,
};

/** Content of an instance's disk. */
interface Disk extends SimulatedDisk {
  id: string;
}

/** One control instance; it has no core while it is down. */
interface ControlInstance {
  readonly address: string;
  disk: Disk;
  core: Consensus | undefined;
  isCut: boolean;
  /** Messages pass between instances of the same side only. */
  side: number;
  /** Counts starts; events of an earlier life are dropped. */
  life: number;
}

/**
 * The cores of a control group with their membership plan, on a virtual clock.
 * Instances join, leave, lose power or disks and are cut off.
 */
export class ControlGroup {
  private readonly instances = new Map<string, ControlInstance>();
  private readonly joiners = new Map<string, Joiner>();
  private readonly leaving = new Set<string>();
  private readonly committed = new Set<number>();
  private readonly applied = new Map<number, string>();
  private readonly leaders = new Map<number, string>();
  /** Entries that differ between instances, and terms with two leaders. */
  readonly violations: string[] = [];
  private readonly events: {at: number; run(): void}[] = [];
  private readonly random: SeededRandom;
  private lastRequestId = 0;
  private lastIncarnation = 0;
  now = 0;

  constructor(
    addresses: readonly string[],
    private readonly desiredVoterCount: number,
    seed: number,
    private readonly disturbance = CALM,
  ) {
    this.random = new SeededRandom(seed);
    for (const address of addresses) {
      const disk = {
        id: initialPeerId(address),
        hardState: {term: 1, votedFor: ''},
        snapshot: initialSnapshot(addresses),
        entries: [],
      };
      this.addInstance(address, disk);
    }
  }

  /** Starts an empty instance at a new address. */
  add(address: string): void {
    this.addInstance(address, this.makeEmptyDisk(address));
  }

  /** Removes an instance for good. */
  remove(address: string): void {
    if (!this.instances.has(address)) return;
    this.stop(address);
    this.instances.delete(address);
  }

  /** Ends an instance in good order, for good. */
  leave(address: string, deadline = this.now + MAX_HANDOVER_MS): void {
    const core = this.instances.get(address)?.core;
    if (!core || !hasVoteToHandOver(core) || this.now >= deadline) {
      return this.remove(address);
    }
    this.after(LATENCY_MS, () => this.leaving.add(core.id));
    this.after(LEAVE_INTERVAL_MS, () => this.leave(address, deadline));
  }

  /** Stops an instance for a time; its disk is kept. */
  kill(address: string, downMs: number): void {
    const instance = this.stop(address);
    this.after(downMs, () => this.start(instance));
  }

  /** Stops an instance, which returns with an empty disk. */
  wipe(address: string, downMs: number): void {
    const instance = this.stop(address);
    instance.disk = this.makeEmptyDisk(address);
    this.after(downMs, () => this.start(instance));
  }

  /** Cuts an instance off from all others for a time. */
  cut(address: string, milliseconds: number): void {
    const instance = this.instances.get(address)!;
    instance.isCut = true;
    this.after(milliseconds, () => (instance.isCut = false));
  }

  /** Splits the instances into two halves for a time. */
  split(isOther: (address: string) => boolean, milliseconds: number): void {
    for (const instance of this.instances.values()) {
      instance.side = isOther(instance.address) ? 1 : 0;
    }
    this.after(milliseconds, () => {
      for (const instance of this.instances.values()) instance.side = 0;
    });
  }

  /** Whether any instance has an uncompleted change in its log. */
  get isChanging(): boolean {
    return [...this.instances.values()].some(({core}) => {
      return core !== undefined && isJoint(core.configuration);
    });
  }

  /** Calls back after a virtual time. */
  after(milliseconds: number, callback: () => void): void {
    const at = this.now + milliseconds;
    // The next event is at the end.
    let low = 0;
    let high = this.events.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (this.events[middle]!.at <= at) high = middle;
      else low = middle + 1;
    }
    this.events.splice(low, 0, {at, run: callback});
  }

  run(milliseconds: number): void {
    this.runUntil(() => false, milliseconds);
  }

  /** The address of a leader that a majority follows; undefined without one. */
  get leader(): string | undefined {
    const leading = [...this.instances.values()].filter(({core}) => {
      return core?.isLeaderReady;
    });
    const [newest] = leading.sort((a, b) => {
      return b.core!.currentTerm - a.core!.currentTerm;
    });
    return newest?.address;
  }

  get addresses(): string[] {
    return [...this.instances.keys()];
  }

  /** Ids of the voters that the leader knows. */
  get voters(): string[] {
    const core = this.instances.get(this.leader ?? '')?.core;
    const peers = core?.configuration.peers ?? [];
    return peers.filter(({voter}) => voter).map(({id}) => id);
  }

  /**
   * Proposes an entry until one is committed, and returns the address of the
   * leader that committed it; undefined if none was in time.
   */
  commitEntry(maxMs: number): string | undefined {
    const requests = new Map<number, string>();
    const isCommitted = () => {
      return [...requests.keys()].some(id => this.committed.has(id));
    };
    const propose = () => {
      const {leader} = this;
      if (leader === undefined) return;
      const requestId = ++this.lastRequestId;
      requests.set(requestId, leader);
      const command = Buffer.from('entry');
      const instance = this.instances.get(leader)!;
      this.step(instance, {kind: 'propose', command, requestId});
    };
    for (let at = 0; at < maxMs; at += PLAN_INTERVAL_MS) {
      this.after(at, () => {
        if (!isCommitted()) propose();
      });
    }
    this.runUntil(isCommitted, maxMs);
    const done = [...requests].find(([id]) => this.committed.has(id));
    return done?.[1];
  }

  /** Runs until a condition holds, but not longer than a virtual time. */
  runUntil(isDone: () => boolean, maxMs: number): void {
    const end = this.now + maxMs;
    while (!isDone()) {
      const next = this.events.at(-1);
      if (!next || next.at > end) break;
      this.events.pop();
      this.now = next.at;
      next.run();
    }
    if (!isDone()) this.now = end;
  }

  private makeEmptyDisk(address: string): Disk {
    const id = `${address}#${++this.lastIncarnation}`;
    return {id, ...emptyState(), entries: []};
  }

  private addInstance(address: string, disk: Disk): void {
    const instance: ControlInstance = {
      address,
      disk,
      core: undefined,
      isCut: false,
      side: 0,
      life: 0,
    };
    this.instances.set(address, instance);
    this.start(instance);
  }

  private start(instance: ControlInstance): void {
    if (!this.instances.has(instance.address)) return;
    const {id, hardState, snapshot, entries} = instance.disk;
    const persisted = {hardState, snapshot, entries: [...entries]};
    const seed = new SeededRandom(this.random.integer(1, 1_000_000));
    instance.core = new Consensus(id, persisted, OPTIONS, seed);
    instance.life++;
    this.every(instance, TICK_INTERVAL_MS, () => {
      this.step(instance, {kind: 'tick'});
    });
    this.every(instance, PLAN_INTERVAL_MS, () => this.plan(instance));
    this.every(instance, JOIN_INTERVAL_MS, () => this.requestJoin(instance));
  }

  private stop(address: string): ControlInstance {
    const instance = this.instances.get(address)!;
    instance.core = undefined;
    instance.life++;
    return instance;
  }

  private every(
    instance: ControlInstance,
    milliseconds: number,
    callback: () => void,
  ): void {
    const {life} = instance;
    const repeat = () => {
      if (instance.life !== life) return;
      callback();
      this.after(milliseconds, repeat);
    };
    this.after(this.random.integer(0, TICK_INTERVAL_MS), repeat);
  }

  private requestJoin({core, address, isCut}: ControlInstance): void {
    const isVoter = core!.configuration.peers.some(peer => {
      return peer.id === core!.id && peer.voter;
    });
    if (isCut || (isVoter && core!.leader !== '')) return;
    this.joiners.set(core!.id, {id: core!.id, address});
  }

  private plan(instance: ControlInstance): void {
    const core = instance.core!;
    if (!core.isLeaderReady || !core.isConfigurationCommitted) return;
    const joiners = [...this.joiners.values()];
    this.joiners.clear();
    const configuration = planElasticMembership({
      configuration: core.configuration,
      joiners,
      desiredVoterCount: this.desiredVoterCount,
      replaceSilentAfterMs: this.disturbance.replaceSilentAfterMs,
      commitIndex: core.commitIndex,
      matchIndexOf: id => core.matchIndexOf(id),
      silentMsOf: id => core.silenceMsOf(id, this.now),
      isLeaving: id => this.leaving.has(id),
    });
    if (!configuration) return;
    const requestId = ++this.lastRequestId;
    this.step(instance, {
      kind: 'changeConfiguration',
      configuration,
      requestId,
    });
  }

  private step(instance: ControlInstance, event: ConsensusEvent): void {
    const {core} = instance;
    if (!core) return;
    let effects = core.step(event, this.now);
    while (effects.length > 0) {
      const appended = saveEffects(instance.disk, effects);
      for (const effect of effects) this.runEffect(instance, effect);
      if (!appended) break;
      const {index, term} = appended;
      effects = core.step({kind: 'synced', index, term}, this.now);
    }
    this.compactIfDue(instance, core);
  }

  private compactIfDue(instance: ControlInstance, core: Consensus): void {
    const entryCount = core.commitIndex - core.snapshotIndex;
    if (entryCount < this.disturbance.entriesPerSnapshot) return;
    const snapshot = core.makeSnapshot(Buffer.alloc(0));
    saveEffects(
      instance.disk,
      core.step({kind: 'compacted', snapshot}, this.now),
    );
  }

  private runEffect(instance: ControlInstance, effect: Effect): void {
    if (effect.kind === 'send') this.send(instance, effect.message);
    if (effect.kind === 'committed') {
      this.committed.add(effect.requestId);
      const {life} = instance;
      this.after(0, () => {
        if (instance.life === life) this.plan(instance);
      });
    }
    if (effect.kind === 'apply') this.recordApplied(effect.entry);
    const {core} = instance;
    if (effect.kind === 'roleChanged' && core!.role === 'leader') {
      this.recordOnce(this.leaders, core!.currentTerm, core!.id);
    }
  }

  private recordApplied({index, term, payload}: LogEntry): void {
    this.recordOnce(this.applied, index, `${term} ${payload?.$case}`);
  }

  private recordOnce(
    known: Map<number, string>,
    key: number,
    value: string,
  ): void {
    const earlier = known.get(key) ?? value;
    if (earlier !== value) {
      this.violations.push(`${key}: ${earlier} and ${value}`);
    }
    known.set(key, value);
  }

  private send(from: ControlInstance, message: ConsensusMessage): void {
    if (from.isCut) return;
    const {lossRate, maxDelayMs} = this.disturbance;
    if (lossRate > 0 && this.random.fraction() < lossRate) return;
    const jitter = 0.7 + 0.6 * this.random.fraction();
    const extraMs = maxDelayMs > 0 ? maxDelayMs * this.random.fraction() : 0;
    this.after(LATENCY_MS * jitter + extraMs, () => {
      const to = [...this.instances.values()].find(({core}) => {
        return core?.id === message.to;
      });
      if (to && !to.isCut && to.side === from.side) {
        this.step(to, {kind: 'message', message});
      }
    });
  }
}
