import {SeededRandom} from '../../../../base/common/random';
import type {ConsensusMessage} from '../../../../schema/generated/consensus';
import {Consensus} from '../../common/consensus';
import type {ConsensusEvent, Effect} from '../../common/consensus_types';
import {firstSnapshot, peer} from './consensus_simulation';

const OPTIONS = {electionMs: 350, heartbeatMs: 100};
const TICK_MS = 20;

/** What a schedule takes, in milliseconds. */
export interface Delays {
  readonly wayMs: number;
  readonly syncMs: number;
}

/** Cores of a common restart, joined by ways and disks that take time. */
export class TimedGroup {
  private readonly cores: Consensus[];
  private readonly up: boolean[];
  private events: {at: number; run(): void}[] = [];
  private now = 0;

  constructor(
    count: number,
    private readonly delays: Delays,
    private readonly random: SeededRandom,
  ) {
    const peers = Array.from({length: count}, (...[, at]) => peer(`m${at}`));
    const hardState = {term: 1, votedFor: ''};
    const snapshot = firstSnapshot(peers);
    this.up = peers.map(() => false);
    this.cores = peers.map(({id}) => {
      const persisted = {hardState, snapshot, entries: []};
      const seed = new SeededRandom(random.integer(1, 1_000_000));
      return new Consensus(id, persisted, OPTIONS, seed);
    });
  }

  /** An instance runs from a time on; before, what is sent to it is lost. */
  startAt(at: number, member: number): void {
    this.after(at, () => {
      this.up[member] = true;
      this.tick(member);
    });
  }

  /** When somebody first leads and knows all that was committed. */
  timeOfLeader(limit: number): number | undefined {
    while (this.now < limit) {
      this.events.sort((a, b) => a.at - b.at);
      const event = this.events.shift();
      if (!event) return undefined;
      this.now = event.at;
      event.run();
      if (this.cores.some(core => core.isLeaderReady)) return this.now;
    }
    return undefined;
  }

  private after(milliseconds: number, run: () => void): void {
    this.events.push({at: this.now + milliseconds, run});
  }

  private tick(member: number): void {
    this.step(member, {kind: 'tick'});
    this.after(TICK_MS, () => this.tick(member));
  }

  private step(member: number, event: ConsensusEvent): void {
    const effects = this.cores[member]!.step(event, this.now);
    const saves = effects.some(({kind}) => {
      return kind === 'saveHardState' || kind === 'append';
    });
    if (!saves) return this.act(member, effects);
    this.after(this.delays.syncMs, () => this.act(member, effects));
  }

  private act(member: number, effects: readonly Effect[]): void {
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
    const part = 0.7 + 0.6 * this.random.fraction();
    this.after(this.delays.wayMs * part, () => {
      if (this.up[to]) this.step(to, {kind: 'message', message});
    });
  }
}
