import {
  Phase,
  type ApplySettings,
  type BeginChange,
  type ChangeOutcome,
  type Command,
  type CompleteChange,
  type ControlState,
  type JournalEntry,
  type ProxyRecord,
  type RegisterMember,
  type ServiceRecord,
  type SetDrain,
} from '../../../schema/generated/control';

/** Outcomes kept for operators that repeat a change. */
const MAX_CHANGES = 20_000;
const MAX_JOURNAL_ENTRIES = 2_000;
const MAX_TERM_STARTS = 256;

/** The initial state. */
export function emptyControlState(): ControlState {
  return {
    settingsVersion: 0,
    settingsText: '',
    settingsChangeId: '',
    changes: [],
    services: [],
    proxies: [],
    journal: [],
    revision: 0,
  };
}

/**
 * The replicated state of control. Commands are applied in the same order
 * everywhere, so the check for stale commands is here and not where they are
 * proposed.
 */
export class ControlMachine {
  private serviceRecords = new Map<string, ServiceRecord>();
  private changeOutcomes = new Map<string, ChangeOutcome>();

  constructor(private current: ControlState = emptyControlState()) {
    this.buildIndexes();
  }

  get state(): ControlState {
    return this.current;
  }

  service(name: string): ServiceRecord | undefined {
    return this.serviceRecords.get(name);
  }

  /** The outcome of an operator's change; undefined if unknown. */
  outcomeOf(changeId: string): ChangeOutcome | undefined {
    return this.changeOutcomes.get(changeId);
  }

  restore(state: ControlState): void {
    this.current = state;
    this.buildIndexes();
  }

  apply(index: number, command: Command): void {
    const {body, wallTimeMs} = command;
    const addEntry = (entry: Omit<JournalEntry, 'index' | 'wallTimeMs'>) => {
      this.addJournalEntry({index, wallTimeMs, ...entry});
    };
    switch (body?.$case) {
      case 'applySettings':
        return this.applySettings(index, body.value, addEntry);
      case 'registerProxy':
        return this.registerProxy(body.value.proxy);
      case 'forgetProxy':
        return this.forgetProxy(body.value.proxy);
      case 'registerMember':
        return this.registerMember(index, body.value);
      case 'beginChange':
        return this.beginChange(index, body.value, addEntry);
      case 'completeChange':
        return this.completeChange(index, body.value, addEntry);
      case 'setDrain':
        return this.setDrain(index, body.value, addEntry);
      case 'record':
        return addEntry(body.value);
      default:
        return;
    }
  }

  private buildIndexes(): void {
    const {services, changes} = this.current;
    this.serviceRecords = new Map(
      services.map(record => [record.name, record]),
    );
    this.changeOutcomes = new Map(
      changes.map(({changeId, outcome}) => [changeId, outcome!]),
    );
  }

  private addJournalEntry(entry: JournalEntry): void {
    const {journal} = this.current;
    journal.push(entry);
    if (journal.length > MAX_JOURNAL_ENTRIES) journal.shift();
  }

  private applySettings(
    index: number,
    change: ApplySettings,
    addEntry: JournalWriter,
  ) {
    // A change that is sent again after a lost reply must neither be applied
    // twice nor conflict with itself; it gets the first outcome.
    if (this.changeOutcomes.has(change.changeId)) return;
    const state = this.current;
    if (change.baseVersion !== state.settingsVersion) {
      const detail = `based on version ${change.baseVersion}, in force is ${state.settingsVersion}`;
      this.recordOutcome(change.changeId, {
        accepted: false,
        version: state.settingsVersion,
        winnerChangeId: state.settingsChangeId,
        detail,
      });
      addEntry({
        subject: 'settings',
        event: 'refused',
        cause: detail,
        inputs: `change ${change.changeId}`,
      });
      return;
    }
    state.settingsVersion++;
    state.settingsText = change.text;
    state.settingsChangeId = change.changeId;
    state.revision = index;
    this.recordOutcome(change.changeId, {
      accepted: true,
      version: state.settingsVersion,
      winnerChangeId: change.changeId,
      detail: '',
    });
    addEntry({
      subject: 'settings',
      event: 'accepted',
      cause: `change ${change.changeId}`,
      inputs: `version ${state.settingsVersion}`,
    });
  }

  private recordOutcome(changeId: string, outcome: ChangeOutcome): void {
    const {changes} = this.current;
    changes.push({changeId, outcome});
    this.changeOutcomes.set(changeId, outcome);
    if (changes.length <= MAX_CHANGES) return;
    this.changeOutcomes.delete(changes.shift()!.changeId);
  }

  private registerProxy(proxy: ProxyRecord | undefined): void {
    if (!proxy) return;
    const isRegistered = this.current.proxies.some(other =>
      isSame(other, proxy),
    );
    if (!isRegistered) this.current.proxies.push(proxy);
  }

  private forgetProxy(proxy: ProxyRecord | undefined): void {
    if (!proxy) return;
    this.current.proxies = this.current.proxies.filter(other => {
      return !isSame(other, proxy);
    });
  }

  private registerMember(index: number, {service, member}: RegisterMember) {
    if (!member) return;
    const record = this.serviceRecords.get(service) ?? this.addService(service);
    const existing = record.members.find(({instance}) => {
      return instance === member.instance;
    });
    if (existing) {
      existing.site = member.site;
      const isForming = record.phase === Phase.PHASE_FORMING;
      if (isForming) existing.incarnation = member.incarnation;
    } else {
      record.members.push(member);
    }
    this.markChanged(record, index);
  }

  private addService(name: string): ServiceRecord {
    const record: ServiceRecord = {
      name,
      term: 0,
      primary: '',
      phase: Phase.PHASE_FORMING,
      members: [],
      termStarts: [],
      revision: 0,
      planned: false,
      cause: '',
      primaryIncarnation: '',
    };
    this.current.services.push(record);
    this.serviceRecords.set(name, record);
    return record;
  }

  private beginChange(
    index: number,
    change: BeginChange,
    addEntry: JournalWriter,
  ): void {
    const record = this.serviceRecords.get(change.service);
    if (!record || record.term !== change.fromTerm) return;
    if (change.term <= record.term) return;
    record.term = change.term;
    record.primary = '';
    record.primaryIncarnation = '';
    record.phase = Phase.PHASE_CHANGING;
    record.planned = change.planned;
    record.cause = change.cause;
    this.markChanged(record, index);
    addEntry({
      subject: `service ${record.name}`,
      event: `term ${record.term} begun`,
      cause: change.cause,
      inputs: change.inputs,
    });
  }

  private completeChange(
    index: number,
    change: CompleteChange,
    addEntry: JournalWriter,
  ): void {
    const record = this.serviceRecords.get(change.service);
    if (!record || record.term !== change.term) return;
    if (record.phase !== Phase.PHASE_CHANGING) return;
    record.phase = Phase.PHASE_STEADY;
    record.primary = change.primary;
    record.primaryIncarnation = change.incarnation;
    record.termStarts.push({
      term: change.term,
      baseOffset: change.baseOffset,
      baseTerm: change.baseTerm,
    });
    if (record.termStarts.length > MAX_TERM_STARTS) record.termStarts.shift();
    this.markChanged(record, index);
    addEntry({
      subject: `service ${record.name}`,
      event: `${change.primary} chosen for term ${change.term}`,
      cause: record.cause,
      inputs: change.inputs,
    });
  }

  private setDrain(
    index: number,
    change: SetDrain,
    addEntry: JournalWriter,
  ): void {
    if (this.changeOutcomes.has(change.changeId)) return;
    const record = this.serviceRecords.get(change.service);
    const member = record?.members.find(({instance}) => {
      return instance === change.instance;
    });
    const accepted = record !== undefined && member !== undefined;
    this.recordOutcome(change.changeId, {
      accepted,
      version: this.current.settingsVersion,
      winnerChangeId: change.changeId,
      detail: accepted ? '' : 'no such member',
    });
    if (!accepted) return;
    member.draining = change.draining;
    this.markChanged(record, index);
    addEntry({
      subject: `service ${record.name}`,
      event: `${member.instance} ${change.draining ? 'drained' : 'undrained'}`,
      cause: `change ${change.changeId}`,
      inputs: '',
    });
  }

  private markChanged(record: ServiceRecord, index: number): void {
    record.revision = index;
    this.current.revision = index;
  }
}

type JournalWriter = (
  entry: Omit<JournalEntry, 'index' | 'wallTimeMs'>,
) => void;

function isSame(a: ProxyRecord, b: ProxyRecord): boolean {
  return a.instance === b.instance && a.incarnation === b.incarnation;
}
