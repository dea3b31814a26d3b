import type {Clock} from '../../../base/common/clock';
import {err, ok, type Result} from '../../../base/common/outcome';
import {Mailbox, settled, startTask, type Task} from '../../../base/node/task';
import {every} from '../../../base/node/timers';
import type {
  Configuration,
  ConsensusMessage,
  LogRecord,
} from '../../../schema/generated/consensus';
import type {Consensus} from '../common/consensus';
import type {
  ConsensusEvent,
  ConsensusRole,
  Effect,
  RefusalReason,
  RequestId,
} from '../common/consensus_types';
import type {LogStorage, StorageFailure} from './log_storage';

const MOST_EVENTS_A_SYNC = 512;
const TICK_MS = 20;

/** The state that the log is about. */
export interface StateMachine {
  apply(index: number, command: Buffer): void;
  snapshot(): Buffer;
  restore(state: Buffer): void;
}

/** Carries messages to peers; may lose, delay and reorder them. */
export interface ConsensusTransport {
  send(message: ConsensusMessage, configuration: Configuration): void;
}

/** What the owner of a node hears from it. */
export interface ConsensusListener {
  onDidChangeRole(role: ConsensusRole): void;
  onDidApply(): void;
  /** The disk failed: nothing more may be promised. */
  onDidFail(failure: StorageFailure): void;
}

type Answer = (outcome: Result<number, RefusalReason>) => void;

/** The task that owns one instance's part of the control log. */
export class ConsensusNode {
  private readonly mailbox = new Mailbox<ConsensusEvent>();
  private readonly answers = new Map<RequestId, Answer>();
  private lastTicket = 0;

  constructor(
    readonly core: Consensus,
    private readonly storage: LogStorage,
    private readonly machine: StateMachine,
    private readonly transport: ConsensusTransport,
    private readonly listener: ConsensusListener,
    private readonly clock: Clock,
    private readonly entriesPerSnapshot: number,
  ) {}

  /** Runs until the signal aborts. */
  start(signal: AbortSignal): Promise<void> {
    this.mailbox.post({kind: 'tick'});
    every(signal, TICK_MS, () => this.mailbox.post({kind: 'tick'}));
    signal.addEventListener('abort', () => this.mailbox.close(), {once: true});
    return startTask('consensus', () => this.run());
  }

  /** Puts a command into the log; the index once it is committed. */
  propose(command: Buffer): Promise<Result<number, RefusalReason>> {
    return this.ask(ticket => ({kind: 'propose', command, ticket}));
  }

  /** Proves that this instance led at some time after the call. */
  confirmLeadership(): Promise<Result<number, RefusalReason>> {
    return this.ask(ticket => ({kind: 'confirm', ticket}));
  }

  /** Whether a majority confirmed that this instance led after the call. */
  async isLeadershipConfirmed(): Promise<boolean> {
    return (await this.confirmLeadership()).isOk;
  }

  changeConfiguration(
    configuration: Configuration,
  ): Promise<Result<number, RefusalReason>> {
    return this.ask(ticket => {
      return {kind: 'changeConfiguration', configuration, ticket};
    });
  }

  /** A message from a peer; dropped when too many wait, as a network would. */
  receive(message: ConsensusMessage): void {
    this.mailbox.post({kind: 'message', message});
  }

  private ask(
    event: (ticket: RequestId) => ConsensusEvent,
  ): Promise<Result<number, RefusalReason>> {
    return new Promise(resolve => {
      const ticket = ++this.lastTicket;
      this.answers.set(ticket, resolve);
      if (!this.mailbox.post(event(ticket))) {
        this.answer(ticket, err('not leader'));
      }
    });
  }

  private *run(): Task<void> {
    for (;;) {
      const first = yield* this.mailbox.receive();
      if (!first) break;
      let effects = this.stepAll(first);
      while (effects.length > 0) {
        const saved = yield* this.save(effects);
        if (!saved) return;
        this.act(effects);
        effects = this.afterSave(effects);
      }
      if (!(yield* this.compactIfDue())) return;
    }
    yield* settled(this.storage.close());
  }

  private stepAll(first: ConsensusEvent): Effect[] {
    const effects = this.core.step(first, this.clock.now());
    for (let count = 1; count < MOST_EVENTS_A_SYNC; count++) {
      const next = this.mailbox.poll();
      if (!next) break;
      effects.push(...this.core.step(next, this.clock.now()));
    }
    return effects;
  }

  /** Makes the effects that must last durable before any is acted on. */
  private *save(effects: readonly Effect[]): Task<boolean> {
    let records: LogRecord[] = [];
    for (const effect of effects) {
      if (effect.kind === 'installSnapshot') {
        if (!(yield* this.write(records))) return false;
        records = [];
        const {snapshot, kept} = effect;
        const done = yield* settled(this.storage.install(snapshot, kept));
        if (!this.check(done)) return false;
      }
      records.push(...recordsOf(effect));
    }
    return yield* this.write(records);
  }

  private *write(records: readonly LogRecord[]): Task<boolean> {
    if (records.length === 0) return true;
    return this.check(yield* settled(this.storage.write(records)));
  }

  private check(
    done: {value: Result<void, StorageFailure>} | {error: Error},
  ): boolean {
    if ('error' in done) throw done.error;
    if (done.value.isOk) return true;
    this.listener.onDidFail(done.value.error);
    return false;
  }

  private afterSave(effects: readonly Effect[]): Effect[] {
    const appended = effects
      .filter(effect => effect.kind === 'append')
      .flatMap(effect => effect.entries);
    const last = appended.at(-1);
    if (!last) return [];
    const {index, term} = last;
    return this.core.step({kind: 'synced', index, term}, this.clock.now());
  }

  private act(effects: readonly Effect[]): void {
    let applied = false;
    for (const effect of effects) {
      applied ||= effect.kind === 'apply' || effect.kind === 'installSnapshot';
      this.actOn(effect);
    }
    if (applied) this.listener.onDidApply();
  }

  private actOn(effect: Effect): void {
    switch (effect.kind) {
      case 'send':
        this.transport.send(effect.message, this.core.configuration);
        return;
      case 'apply': {
        const {index, payload} = effect.entry;
        if (payload?.$case === 'command') {
          this.machine.apply(index, payload.value);
        }
        return;
      }
      case 'installSnapshot':
        this.machine.restore(effect.snapshot.state);
        return;
      case 'committed':
      case 'confirmed':
        this.answer(effect.ticket, ok(effect.index));
        return;
      case 'refused':
        this.answer(effect.ticket, err(effect.reason));
        return;
      case 'roleChanged':
        this.listener.onDidChangeRole(effect.role);
        return;
      default:
        return;
    }
  }

  private *compactIfDue(): Task<boolean> {
    const {core} = this;
    const grown = core.commitIndex - core.snapshotIndex;
    if (grown < this.entriesPerSnapshot) return true;
    const snapshot = core.makeSnapshot(this.machine.snapshot());
    const effects = core.step({kind: 'compacted', snapshot}, this.clock.now());
    return yield* this.save(effects);
  }

  private answer(
    ticket: RequestId,
    outcome: Result<number, RefusalReason>,
  ): void {
    this.answers.get(ticket)?.(outcome);
    this.answers.delete(ticket);
  }
}

function recordsOf(effect: Effect): LogRecord[] {
  switch (effect.kind) {
    case 'saveHardState':
      return [{record: {$case: 'hardState', value: effect.state}}];
    case 'truncate':
      return [{record: {$case: 'truncateFrom', value: effect.from}}];
    case 'append':
      return effect.entries.map(value => ({record: {$case: 'entry', value}}));
    default:
      return [];
  }
}
