import type {Clock} from '../../../base/common/clock';
import {err, ok, type Result} from '../../../base/common/result';
import {Mailbox, settled, startTask, type Task} from '../../../base/node/task';
import {every} from '../../../base/node/timers';
import type {
  Configuration,
  ConsensusMessage,
  LogEntry,
  LogRecord,
} from '../../../schema/generated/consensus';
import {LEADER_TIMEOUT_FACTOR, type Consensus} from '../common/consensus';
import type {
  ConsensusEvent,
  ConsensusRole,
  Effect,
  RefusalReason,
  RequestId,
} from '../common/consensus_types';
import {TermHistory} from '../common/term_history';
import type {LogStorage, StorageFailure} from './log_storage';
import {
  OpenRequests,
  type RequestKind,
  type RequestOutcome,
} from './open_requests';

/** The part of the storage that a node uses. */
type NodeStorage = Pick<LogStorage, 'write' | 'install' | 'close'>;

const MAX_EVENTS_PER_SYNC = 512;
const TICK_INTERVAL_MS = 20;

/** The state to which committed commands are applied. */
export interface StateMachine {
  apply(index: number, command: Buffer): void;
  snapshot(): Buffer;
  restore(state: Buffer): void;
}

/** Carries messages to peers; may lose, delay and reorder them. */
export interface ConsensusTransport {
  send(message: ConsensusMessage, configuration: Configuration): void;
}

/** Receives the events of a node. */
export interface ConsensusListener {
  onDidChangeRole(role: ConsensusRole): void;
  onDidApply(): void;
  /** The newest configuration in the log was replaced, or read at the start. */
  onDidChangeConfiguration(): void;
  /** The disk failed and the node stopped. */
  onDidFail(failure: StorageFailure): void;
}

/** Runs the consensus core of one instance with its disk and transport. */
export class ConsensusNode {
  private readonly mailbox = new Mailbox<ConsensusEvent>();
  private readonly requests = new OpenRequests();
  private savingSince = Infinity;
  private hasEnded = false;
  private reportedConfiguration: Configuration | undefined;
  /** The newest entry that the state machine holds. */
  private applied: Pick<LogEntry, 'index' | 'term'>;
  private readonly terms: TermHistory;

  constructor(
    readonly core: Consensus,
    private readonly storage: NodeStorage,
    private readonly machine: StateMachine,
    private readonly transport: ConsensusTransport,
    private readonly listener: ConsensusListener,
    private readonly clock: Clock,
    private readonly entriesPerSnapshot: number,
  ) {
    const {index, term} = core.baseSnapshot;
    this.applied = {index, term};
    this.terms = new TermHistory(this.applied);
  }

  /**
   * Index of the newest entry that the state machine has. The core counts an
   * entry as committed earlier, before the disk has saved the same batch.
   */
  get appliedIndex(): number {
    return this.applied.index;
  }

  /**
   * By when the leadership that proposed an entry had ended; undefined if that
   * was before the process started, or if it goes on.
   */
  leadershipEndOf(index: number): number | undefined {
    return this.terms.endOf(index);
  }

  /** Runs until the signal aborts. */
  start(signal: AbortSignal): Promise<void> {
    this.mailbox.post({kind: 'tick'});
    every(signal, TICK_INTERVAL_MS, () => {
      this.mailbox.post({kind: 'tick'});
      this.refuseOverdue();
    });
    signal.addEventListener('abort', () => this.mailbox.close(), {once: true});
    return startTask('consensus', () => this.run());
  }

  /**
   * Whether this instance leads, can confirm requests, and its state machine
   * holds all that earlier leaders committed.
   *
   * Guard: entries are applied once the disk has saved the step that commits
   * them. Until then, a new leader would decide on an outdated state.
   */
  get isLeading(): boolean {
    const {core} = this;
    const isCaughtUp = this.applied.term === core.currentTerm;
    return core.isLeaderReady && isCaughtUp && !this.refusal;
  }

  /** Id of the current leader; '' if unknown, also while the disk hangs. */
  get leader(): string {
    return this.refusal ? '' : this.core.leader;
  }

  /** Proposes a command; resolves with its index once it is committed. */
  propose(command: Buffer): Promise<RequestOutcome> {
    return this.request('change', requestId => {
      return {kind: 'propose', command, requestId};
    });
  }

  /** Confirms by a majority that this instance led after the call. */
  confirmLeadership(): Promise<RequestOutcome> {
    return this.request('read', requestId => ({kind: 'confirm', requestId}));
  }

  /** Like `confirmLeadership`, as a boolean. */
  async isLeadershipConfirmed(): Promise<boolean> {
    return (await this.confirmLeadership()).isOk;
  }

  changeConfiguration(configuration: Configuration): Promise<RequestOutcome> {
    return this.request('change', requestId => {
      return {kind: 'changeConfiguration', configuration, requestId};
    });
  }

  /** Receives a message of a peer; dropped if too many are queued. */
  receive(message: ConsensusMessage): void {
    this.mailbox.post({kind: 'message', message});
  }

  private request(
    kind: RequestKind,
    makeEvent: (requestId: RequestId) => ConsensusEvent,
  ): Promise<RequestOutcome> {
    if (this.refusal) return Promise.resolve(err(this.refusal));
    return new Promise(resolve => {
      const startedAt = this.clock.now();
      const requestId = this.requests.add({kind, startedAt, resolve});
      if (!this.mailbox.post(makeEvent(requestId))) {
        this.requests.complete(requestId, err('not leader'));
      }
    });
  }

  /** How long a leader that nobody confirms keeps callers waiting. */
  private get patienceMs(): number {
    return this.core.options.electionMs * LEADER_TIMEOUT_FACTOR;
  }

  /** Why the node can confirm nothing now, whatever its core says. */
  private get refusal(): RefusalReason | undefined {
    if (this.hasEnded) return 'stopped';
    const savingMs = this.clock.now() - this.savingSince;
    return savingMs >= this.patienceMs ? 'storage stalled' : undefined;
  }

  /**
   * Guard: while the disk hangs, the core handles no event and cannot refuse
   * requests itself, not even after others elected a leader.
   */
  private refuseOverdue(): void {
    if (this.refusal) return this.requests.refuseAll(this.refusal);
    const startedAt = this.clock.now() - this.patienceMs;
    this.requests.refuseReadsUntil(startedAt, 'unconfirmed');
  }

  private *run(): Task<void> {
    const isSaved = yield* this.handleEvents();
    this.hasEnded = true;
    this.requests.refuseAll('stopped');
    if (isSaved) yield* settled(this.storage.close());
  }

  /** Returns whether all was saved when it ends. */
  private *handleEvents(): Task<boolean> {
    for (;;) {
      const first = yield* this.mailbox.receive();
      if (!first) return true;
      let effects = this.stepAll(first);
      while (effects.length > 0) {
        const isSaved = yield* this.save(effects);
        if (!isSaved) return false;
        this.runEffects(effects);
        effects = this.reportSynced(effects);
      }
      this.reportConfiguration();
      if (!(yield* this.compactIfDue())) return false;
    }
  }

  private stepAll(first: ConsensusEvent): Effect[] {
    const effects = this.core.step(first, this.clock.now());
    for (let count = 1; count < MAX_EVENTS_PER_SYNC; count++) {
      const next = this.mailbox.poll();
      if (!next) break;
      effects.push(...this.core.step(next, this.clock.now()));
    }
    return effects;
  }

  /** Makes state and entries durable before any effect is executed. */
  private *save(effects: readonly Effect[]): Task<boolean> {
    let records: LogRecord[] = [];
    for (const effect of effects) {
      if (effect.kind === 'installSnapshot') {
        if (!(yield* this.write(records))) return false;
        records = [];
        const {snapshot, remaining} = effect;
        const installed = this.storage.install(snapshot, remaining);
        if (!(yield* this.untilSaved(installed))) return false;
      }
      records.push(...recordsOf(effect));
    }
    return yield* this.write(records);
  }

  private *write(records: readonly LogRecord[]): Task<boolean> {
    if (records.length === 0) return true;
    return yield* this.untilSaved(this.storage.write(records));
  }

  private *untilSaved(
    saving: Promise<Result<void, StorageFailure>>,
  ): Task<boolean> {
    this.savingSince = this.clock.now();
    const done = yield* settled(saving);
    this.savingSince = Infinity;
    if ('error' in done) throw done.error;
    if (done.value.isOk) return true;
    this.listener.onDidFail(done.value.error);
    return false;
  }

  private reportSynced(effects: readonly Effect[]): Effect[] {
    const appended = effects
      .filter(effect => effect.kind === 'append')
      .flatMap(effect => effect.entries);
    const last = appended.at(-1);
    if (!last) return [];
    const {index, term} = last;
    return this.core.step({kind: 'synced', index, term}, this.clock.now());
  }

  private reportConfiguration(): void {
    const {configuration} = this.core;
    if (configuration === this.reportedConfiguration) return;
    this.reportedConfiguration = configuration;
    this.listener.onDidChangeConfiguration();
  }

  private runEffects(effects: readonly Effect[]): void {
    let hasApplied = false;
    for (const effect of effects) {
      hasApplied ||=
        effect.kind === 'apply' || effect.kind === 'installSnapshot';
      this.runEffect(effect);
    }
    if (hasApplied) this.listener.onDidApply();
  }

  private runEffect(effect: Effect): void {
    switch (effect.kind) {
      case 'send':
        this.transport.send(effect.message, this.core.configuration);
        return;
      case 'apply': {
        const {index, term, payload} = effect.entry;
        if (payload?.$case === 'command') {
          this.machine.apply(index, payload.value);
        }
        this.recordApplied({index, term});
        return;
      }
      case 'installSnapshot': {
        const {index, term, state} = effect.snapshot;
        this.machine.restore(state);
        this.recordApplied({index, term});
        return;
      }
      case 'committed':
      case 'confirmed':
        this.requests.complete(effect.requestId, ok(effect.index));
        return;
      case 'refused':
        this.requests.complete(effect.requestId, err(effect.reason));
        return;
      case 'roleChanged':
        this.listener.onDidChangeRole(effect.role);
        return;
      default:
        return;
    }
  }

  private recordApplied(entry: Pick<LogEntry, 'index' | 'term'>): void {
    this.applied = entry;
    this.terms.record(entry, this.clock.now());
  }

  private *compactIfDue(): Task<boolean> {
    const {core} = this;
    const entryCount = core.commitIndex - core.snapshotIndex;
    if (entryCount < this.entriesPerSnapshot) return true;
    const snapshot = core.makeSnapshot(this.machine.snapshot());
    const effects = core.step({kind: 'compacted', snapshot}, this.clock.now());
    return yield* this.save(effects);
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
