import {SeededRandom} from '../../../../base/common/random';
import type {ConsensusMessage} from '../../../../schema/generated/consensus';
import {Consensus} from '../../common/consensus';
import type {ConsensusEvent, Effect} from '../../common/consensus_types';
import {makeInitialSnapshot, makePeer} from './consensus_simulation';

const OPTIONS = {electionMs: 350, heartbeatMs: 100};
const TICK_INTERVAL_MS = 20;

/** One-way latency of messages and duration of a sync. */
export interface Delays {
  readonly latencyMs: number;
  readonly syncMs: number;
}

/** Simulates a common restart with latency of network and disks. */
export class TimedSimulation {
  private readonly cores: Consensus[];
  private readonly isUp: boolean[];
  private events: {at: number; run(): void}[] = [];
  private now = 0;

  constructor(
    count: number,
    private readonly delays: Delays,
    private readonly random: SeededRandom,
  ) {
    const peers = Array.from({length: count}, (...[, at]) =>
      makePeer(`m${at}`),
    );
    const hardState = {term: 1, votedFor: ''};
    const snapshot = makeInitialSnapshot(peers);
    this.isUp = peers.map(() => false);
    this.cores = peers.map(({id}) => {
      const persisted = {hardState, snapshot, entries: []};
      const seed = new SeededRandom(random.integer(1, 1_000_000));
      return new Consensus(id, persisted, OPTIONS, seed);
    });
  }

  /** Starts an instance at a time; earlier messages to it are lost. */
  startAt(at: number, member: number): void {
    this.schedule(at, () => {
      this.isUp[member] = true;
      this.tick(member);
    });
  }

  /** Runs until a leader has committed an entry of its term; when that was. */
  runUntilLeader(maxMs: number): number | undefined {
    while (this.now < maxMs) {
      this.events.sort((a, b) => a.at - b.at);
      const event = this.events.shift();
      if (!event) return undefined;
      this.now = event.at;
      event.run();
      if (this.cores.some(core => core.isLeaderReady)) return this.now;
    }
    return undefined;
  }

  private schedule(milliseconds: number, run: () => void): void {
    this.events.push({at: this.now + milliseconds, run});
  }

  private tick(member: number): void {
    this.step(member, {kind: 'tick'});
    this.schedule(TICK_INTERVAL_MS, () => this.tick(member));
  }

  private step(member: number, event: ConsensusEvent): void {
    const effects = this.cores[member]!.step(event, this.now);
    const hasWrites = effects.some(({kind}) => {
      return kind === 'saveHardState' || kind === 'append';
    });
    if (!hasWrites) return this.runEffects(member, effects);
    this.schedule(this.delays.syncMs, () => this.runEffects(member, effects));
  }

  private runEffects(member: number, effects: readonly Effect[]): void {
    for (const effect of effects) {
      if (effect.kind === 'send') this.send(effect.message);
    }
    const appended = effects.flatMap(effect => {
      return effect.kind === 'append' ? [...effect.entries] : [];
    });
    const last = appended.at(-1);
    if (!last) return;
    const {index, term} = last;
    this.step(member, {kind: 'synced', index, term});
  }

  private send(message: ConsensusMessage): void {
    const to = this.cores.findIndex(({id}) => id === message.to);
    const jitter = 0.7 + 0.6 * this.random.fraction();
    this.schedule(this.delays.latencyMs * jitter, () => {
      if (this.isUp[to]) this.step(to, {kind: 'message', message});
    });
  }
}
