import {toError} from '../../../base/common/errors';
import {isWord} from '../../../base/common/words';
import {
  type CounterEntry,
  FleetCommand,
  FleetState,
  type Member,
  type PublishCatalog,
  type AssignPrimary,
  type ForgetMember,
  type LogBaseline,
  type PoolerEntry,
  type PrimaryAssignment,
} from '../../../schema/generated/fleet';
import {
  CommittedCatalogs,
  type PublishOutcome,
  type ReadabilityCheck,
} from './committed_catalogs';
import {EndedMembers} from './ended_members';
import {LogBaselines} from './log_baselines';

/** What the state machine skips, as it would fail each instance in turn. */
export interface LogGuard {
  readonly isReadable: ReadabilityCheck;
  /**
   * A committed command, or a part of a snapshot (index 0), cannot be used; it
   * has no effect.
   */
  onDidSkipCommand(index: number, reason: string): void;
}

const NO_GUARD: LogGuard = {
  isReadable: () => true,
  onDidSkipCommand: () => {},
};

/**
 * The replicated state of control for services whose members confirm commits
 * themselves: the newest catalog, the members whose logs count at a promotion,
 * the primary assignments, the poolers and the counters.
 */
export class FleetStateMachine {
  private readonly catalogs: CommittedCatalogs;
  private registeredMembers: Member[] = [];
  private assignedPoolers: readonly PoolerEntry[] = [];
  private poolersIndex = 0;
  private recordedProxyCount = 0;
  private assignedCounters: readonly CounterEntry[] = [];
  private readonly assignmentByService = new Map<string, PrimaryAssignment>();
  private readonly baselines = new LogBaselines();
  private readonly endedMembers = new EndedMembers();

  /** Outcomes of recent entries, for the instance that proposed them. */
  private readonly outcomes = new Map<number, PublishOutcome>();

  constructor(private readonly guard: LogGuard = NO_GUARD) {
    this.catalogs = new CommittedCatalogs(guard.isReadable);
  }

  /** The newest readable catalog; of version 0 before the first. */
  get catalogInForce(): PublishCatalog {
    return this.catalogs.inForce;
  }

  /** The members whose logs count at a promotion. */
  get members(): readonly Member[] {
    return this.registeredMembers;
  }

  /** The poolers of all services. */
  get poolers(): readonly PoolerEntry[] {
    return this.assignedPoolers;
  }

  /**
   * Log index of the last change of the poolers; increases across leaderships.
   */
  get poolersRevision(): number {
    return this.poolersIndex;
  }

  /** The recorded number of proxies; 0 if unknown. */
  get expectedProxyCount(): number {
    return this.recordedProxyCount;
  }

  /** The counters, and former ones that may still hold shares. */
  get counters(): readonly CounterEntry[] {
    return this.assignedCounters;
  }

  /** The newest primary assignment of each service. */
  get assignments(): readonly PrimaryAssignment[] {
    return [...this.assignmentByService.values()];
  }

  /** The newest primary assignment of a service; undefined before the first. */
  assignmentOf(service: string): PrimaryAssignment | undefined {
    return this.assignmentByService.get(service);
  }

  /** Which logs hold every acknowledged commit of a service. */
  baselineOf(service: string): LogBaseline {
    return this.baselines.of(service);
  }

  /** The baselines of all services that had a primary. */
  get logBaselines(): readonly LogBaseline[] {
    return this.baselines.all;
  }

  /** Whether an incarnation of a member left or was replaced. */
  hasEnded(member: Member): boolean {
    return this.endedMembers.includes(member);
  }

  member(service: string, instance: string): Member | undefined {
    return this.registeredMembers.find(other => {
      return other.service === service && other.instance === instance;
    });
  }

  /** Returns and removes the outcome of the catalog at a log index. */
  takeOutcome(index: number): PublishOutcome | undefined {
    const outcome = this.outcomes.get(index);
    this.outcomes.delete(index);
    return outcome;
  }

  apply(index: number, command: Buffer): void {
    const body = this.decode(index, command);
    switch (body?.$case) {
      case 'publish':
        this.recordOutcome(index, this.catalogs.publish(body.value));
        return;
      case 'admit': {
        const {member} = body.value;
        if (member && this.hasUsableNames(index, member)) {
          this.addMember(member);
        }
        return;
      }
      case 'forget':
        return this.forgetMember(body.value);
      case 'accountForMembers': {
        const {service, members} = body.value;
        return this.baselines.accountFor(service, body.value, members);
      }
      case 'namePoolers':
        this.assignedPoolers = body.value.poolers;
        this.poolersIndex = index;
        return;
      case 'countProxies':
        this.recordedProxyCount = body.value.proxies;
        return;
      case 'nameCounters':
        this.assignedCounters = body.value.counters;
        return;
      case 'nameLead':
        return this.assignPrimary(index, body.value);
      case 'settleLead':
        return this.completePromotion(body.value.service, body.value.epoch);
      case 'recordCopies': {
        const {service, epoch, answered} = body.value;
        const change = answered ? {answered} : {single: false};
        return this.updateAssignment(service, epoch, change);
      }
      default:
        return;
    }
  }

  snapshot(): Buffer {
    const state = {
      ...this.catalogs.inForce,
      members: this.registeredMembers,
      poolers: [...this.assignedPoolers],
      poolersIndex: this.poolersIndex,
      leads: [...this.assignments],
      proxies: this.recordedProxyCount,
      counters: [...this.assignedCounters],
      baselines: this.baselines.all,
      ended: this.endedMembers.all,
    };
    return Buffer.from(FleetState.encode(state).finish());
  }

  restore(state: Buffer): void {
    const decoded = FleetState.decode(state);
    const {version, source, members, poolers, poolersIndex, leads} = decoded;
    this.recordedProxyCount = decoded.proxies;
    this.assignedCounters = decoded.counters;
    this.assignmentByService.clear();
    for (const lead of leads) this.assignmentByService.set(lead.service, lead);
    this.assignedPoolers = poolers;
    this.poolersIndex = poolersIndex;
    this.catalogs.restore({version, source});
    this.baselines.restore(decoded.baselines);
    this.endedMembers.restore(decoded.ended);
    this.registeredMembers = [];
    for (const member of members) {
      if (this.hasUsableNames(0, member)) this.addMember(member);
    }
  }

  /**
   * Guard: an earlier version of the program recorded any text as an instance,
   * which would stand in the lines to members.
   */
  private hasUsableNames(index: number, {instance, service}: Member): boolean {
    if (isWord(instance) && isWord(service)) return true;
    const reason = `a member whose name is no word: ${JSON.stringify(instance)}`;
    this.guard.onDidSkipCommand(index, reason);
    return false;
  }

  private decode(index: number, command: Buffer): FleetCommand['body'] {
    try {
      return FleetCommand.decode(command).body;
    } catch (thrown) {
      this.guard.onDidSkipCommand(index, toError(thrown).message);
      return undefined;
    }
  }

  /** Entries for an earlier or ended incarnation of the member are ignored. */
  private addMember(member: Member): void {
    if (this.hasEnded(member)) return;
    const {service, instance, born} = member;
    const existing = this.member(service, instance);
    if (existing && born < existing.born) return;
    this.removeMember(service, instance);
    this.registeredMembers.push({...member, recovering: false});
    this.endedMembers.remove(member);
    this.baselines.removeFormer(service, member);
    // Guard: a member that restarted without its log would count as proof of
    // what its earlier log held.
    if (existing && born !== existing.born) this.addFormer(existing);
    if (member.recovering) this.addFormer({...member, born: 0});
  }

  /**
   * Before the first primary, no commit was acknowledged. What the primary
   * acknowledged, another member confirmed.
   */
  private addFormer({service, instance, born, address}: Member): void {
    const primary = this.assignmentOf(service)?.instance;
    if (primary === undefined || primary === instance) return;
    this.baselines.addFormer(service, {instance, born, address});
  }

  private forgetMember(entry: ForgetMember): void {
    const {service, instance, born, left, stopped, term, offset} = entry;
    const member = this.member(service, instance);
    if (!member || (born !== 0 && born !== member.born)) return;
    const hasMoved = entry.address !== '' && entry.address !== member.address;
    if (hasMoved) return;
    this.removeMember(service, instance);
    if (left || entry.replaced) this.endedMembers.add(member);
    const isPrimary = this.assignmentOf(service)?.instance === instance;
    // The primary may have come back at its address as another instance.
    const {primaryAddress} = this.baselines.of(service);
    const hasPrimaryLog = isPrimary || member.address === primaryAddress;
    if (hasPrimaryLog && left) this.baselines.recordPrimaryLeft(service);
    if (stopped) this.baselines.raise(service, {term, offset});
    else this.addFormer(member);
  }

  private assignPrimary(epoch: number, entry: AssignPrimary) {
    const {service, instance, leadTerm, term, offset} = entry;
    const primary = this.member(service, instance);
    const chosen = leadTerm > 0 ? {end: {term, offset}, leadTerm} : undefined;
    const current = this.assignmentByService.get(service);
    const isNew = current?.instance !== instance;
    this.baselines.assignPrimary(service, primary, isNew, chosen);
    const requests = requestsAfter(current, entry);
    const assignment = {service, instance, epoch, ...requests};
    this.assignmentByService.set(service, assignment);
  }

  private completePromotion(service: string, epoch: number): void {
    this.updateAssignment(service, epoch, NO_REQUESTS);
  }

  /** Changes an assignment unless a newer one has replaced it. */
  private updateAssignment(
    service: string,
    epoch: number,
    change: Partial<PrimaryAssignment>,
  ): void {
    const assignment = this.assignmentByService.get(service);
    if (assignment?.epoch !== epoch) return;
    this.assignmentByService.set(service, {...assignment, ...change});
  }

  private removeMember(service: string, instance: string): void {
    const removed = this.member(service, instance);
    this.registeredMembers = this.registeredMembers.filter(
      other => other !== removed,
    );
  }

  /** Bounded, since outcomes of entries of other proposers are never taken. */
  private recordOutcome(index: number, outcome: PublishOutcome): void {
    this.outcomes.set(index, outcome);
    const [oldest] = this.outcomes.keys();
    if (this.outcomes.size > MAX_OUTCOMES) this.outcomes.delete(oldest!);
  }
}

type AssignmentRequests = Omit<
  PrimaryAssignment,
  'service' | 'instance' | 'epoch'
>;

const NO_REQUESTS: AssignmentRequests = {
  pending: false,
  answered: false,
  contested: false,
  single: false,
};

/** What may still be under way once a primary is assigned. */
function requestsAfter(
  current: PrimaryAssignment | undefined,
  {instance, ordered, othersEnded, single}: AssignPrimary,
): AssignmentRequests {
  const isSame = current?.instance === instance;
  // A copy of an earlier request for the same member may still arrive.
  const earlier = isSame ? current : NO_REQUESTS;
  const mayCompete = current?.contested || (current?.pending && !isSame);
  return {
    pending: ordered || earlier.pending,
    answered: !ordered && earlier.answered,
    single: ordered ? single : earlier.single,
    contested: !othersEnded && mayCompete === true,
  };
}

/** More than the number of catalogs submitted at the same time. */
const MAX_OUTCOMES = 256;
