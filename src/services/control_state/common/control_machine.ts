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

/** How many change ids are remembered for operators who ask again. */
const MOST_CHANGES = 20_000;
const MOST_JOURNAL_ENTRIES = 2_000;
const MOST_TERM_STARTS = 256;

/** The state of a system that nothing has happened to. */
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
 * The replicated state of control. Every instance applies the same commands in
 * the same order, so a command that has become stale is passed over here, not
 * where it was proposed.
 */
export class ControlMachine {
  private services = new Map<string, ServiceRecord>();
  private changes = new Map<string, ChangeOutcome>();

  constructor(private current: ControlState = emptyControlState()) {
    this.index();
  }

  get state(): ControlState {
    return this.current;
  }

  service(name: string): ServiceRecord | undefined {
    return this.services.get(name);
  }

  /** What an operator's change came to, if it is known. */
  outcomeOf(changeId: string): ChangeOutcome | undefined {
    return this.changes.get(changeId);
  }

  restore(state: ControlState): void {
    this.current = state;
    this.index();
  }

  apply(index: number, command: Command): void {
    const {body, wallTimeMs} = command;
    const note = (entry: Omit<JournalEntry, 'index' | 'wallTimeMs'>) => {
      this.note({index, wallTimeMs, ...entry});
    };
    switch (body?.$case) {
      case 'applySettings':
        return this.applySettings(index, body.value, note);
      case 'registerProxy':
        return this.registerProxy(body.value.proxy!);
      case 'forgetProxy':
        return this.forgetProxy(body.value.proxy!);
      case 'registerMember':
        return this.registerMember(index, body.value);
      case 'beginChange':
        return this.beginChange(index, body.value, note);
      case 'completeChange':
        return this.completeChange(index, body.value, note);
      case 'setDrain':
        return this.setDrain(index, body.value, note);
      case 'record':
        return note(body.value);
      default:
        return;
    }
  }

  private index(): void {
    const {services, changes} = this.current;
    this.services = new Map(services.map(record => [record.name, record]));
    this.changes = new Map(
      changes.map(({changeId, outcome}) => [changeId, outcome!]),
    );
  }

  private note(entry: JournalEntry): void {
    const {journal} = this.current;
    journal.push(entry);
    if (journal.length > MOST_JOURNAL_ENTRIES) journal.shift();
  }

  private applySettings(index: number, change: ApplySettings, note: Note) {
    // A change that is resent after its answer was lost must not count twice
    // nor lose against itself: it gets its first answer.
    if (this.changes.has(change.changeId)) return;
    const state = this.current;
    if (change.baseVersion !== state.settingsVersion) {
      const detail = `based on version ${change.baseVersion}, in force is ${state.settingsVersion}`;
      this.remember(change.changeId, {
        accepted: false,
        version: state.settingsVersion,
        winnerChangeId: state.settingsChangeId,
        detail,
      });
      note({
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
    this.remember(change.changeId, {
      accepted: true,
      version: state.settingsVersion,
      winnerChangeId: change.changeId,
      detail: '',
    });
    note({
      subject: 'settings',
      event: 'accepted',
      cause: `change ${change.changeId}`,
      inputs: `version ${state.settingsVersion}`,
    });
  }

  private remember(changeId: string, outcome: ChangeOutcome): void {
    const {changes} = this.current;
    changes.push({changeId, outcome});
    this.changes.set(changeId, outcome);
    if (changes.length <= MOST_CHANGES) return;
    this.changes.delete(changes.shift()!.changeId);
  }

  private registerProxy(proxy: ProxyRecord): void {
    const known = this.current.proxies.some(other => isSame(other, proxy));
    if (!known) this.current.proxies.push(proxy);
  }

  private forgetProxy(proxy: ProxyRecord): void {
    this.current.proxies = this.current.proxies.filter(other => {
      return !isSame(other, proxy);
    });
  }

  private registerMember(index: number, {service, member}: RegisterMember) {
    if (!member) return;
    const record = this.services.get(service) ?? this.addService(service);
    const known = record.members.find(({instance}) => {
      return instance === member.instance;
    });
    if (known) {
      known.site = member.site;
      const forming = record.phase === Phase.PHASE_FORMING;
      if (forming) known.incarnation = member.incarnation;
    } else {
      record.members.push(member);
    }
    this.touch(record, index);
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
    this.services.set(name, record);
    return record;
  }

  private beginChange(index: number, change: BeginChange, note: Note): void {
    const record = this.services.get(change.service);
    if (!record || record.term !== change.fromTerm) return;
    if (change.term <= record.term) return;
    record.term = change.term;
    record.primary = '';
    record.primaryIncarnation = '';
    record.phase = Phase.PHASE_CHANGING;
    record.planned = change.planned;
    record.cause = change.cause;
    this.touch(record, index);
    note({
      subject: `service ${record.name}`,
      event: `term ${record.term} begun`,
      cause: change.cause,
      inputs: change.inputs,
    });
  }

  private completeChange(
    index: number,
    change: CompleteChange,
    note: Note,
  ): void {
    const record = this.services.get(change.service);
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
    if (record.termStarts.length > MOST_TERM_STARTS) record.termStarts.shift();
    this.touch(record, index);
    note({
      subject: `service ${record.name}`,
      event: `${change.primary} chosen for term ${change.term}`,
      cause: record.cause,
      inputs: change.inputs,
    });
  }

  private setDrain(index: number, change: SetDrain, note: Note): void {
    if (this.changes.has(change.changeId)) return;
    const record = this.services.get(change.service);
    const member = record?.members.find(({instance}) => {
      return instance === change.instance;
    });
    const accepted = record !== undefined && member !== undefined;
    this.remember(change.changeId, {
      accepted,
      version: this.current.settingsVersion,
      winnerChangeId: change.changeId,
      detail: accepted ? '' : 'no such member',
    });
    if (!accepted) return;
    member.draining = change.draining;
    this.touch(record, index);
    note({
      subject: `service ${record.name}`,
      event: `${member.instance} ${change.draining ? 'drained' : 'undrained'}`,
      cause: `change ${change.changeId}`,
      inputs: '',
    });
  }

  private touch(record: ServiceRecord, index: number): void {
    record.revision = index;
    this.current.revision = index;
  }
}

type Note = (entry: Omit<JournalEntry, 'index' | 'wallTimeMs'>) => void;

function isSame(a: ProxyRecord, b: ProxyRecord): boolean {
  return a.instance === b.instance && a.incarnation === b.incarnation;
}
