import {
  type CounterEntry,
  FleetCommand,
  FleetState,
  type PublishCatalog,
  type Member,
  type AssignPrimary,
  type PoolerEntry,
  type PrimaryAssignment,
} from '../../../schema/generated/fleet';

/** What became of a catalog that was put into the log. */
export type PublishOutcome =
  | 'in force'
  /** The same version with the same content is in force already. */
  | 'repeated'
  /** A higher version is in force; nothing changed. */
  | 'overtaken'
  /** The same version with other content is in force. */
  | 'conflict';

/**
 * The state of the control log where targets confirm commits themselves: the
 * newest catalog, the members whose logs count at a promotion, who leads each
 * service by which decision, and the poolers.
 */
export class FleetStateMachine {
  private version = 0;
  private source: Buffer = Buffer.alloc(0);
  private registered: Member[] = [];
  private named: readonly PoolerEntry[] = [];
  private namedAt = 0;
  private recordedProxyCount = 0;
  private countersNamed: readonly CounterEntry[] = [];
  private readonly leadOf = new Map<string, PrimaryAssignment>();

  /** Outcomes of the newest entries, for those who proposed them. */
  private readonly outcomes = new Map<number, PublishOutcome>();

  get catalogVersion(): number {
    return this.version;
  }

  /** The compressed source of the catalog in force; empty without one. */
  get catalogSource(): Buffer {
    return this.source;
  }

  /** The members of a service whose logs count at a promotion. */
  get members(): readonly Member[] {
    return this.registered;
  }

  /** The proxies that keep connections for others. */
  get poolers(): readonly PoolerEntry[] {
    return this.named;
  }

  /** Increases with each change of the poolers, across all leaders. */
  get poolersRevision(): number {
    return this.namedAt;
  }

  /** How many proxies there usually are; 0 where that is not known. */
  get expectedProxyCount(): number {
    return this.recordedProxyCount;
  }

  /** The proxies that count operations of accounts, or may still do so. */
  get counters(): readonly CounterEntry[] {
    return this.countersNamed;
  }

  /** Who leads each service, by the newest decision. */
  get assignments(): readonly PrimaryAssignment[] {
    return [...this.leadOf.values()];
  }

  /** Who leads a service; undefined before the first decision. */
  assignmentOf(service: string): PrimaryAssignment | undefined {
    return this.leadOf.get(service);
  }

  member(service: string, instance: string): Member | undefined {
    return this.registered.find(other => {
      return other.service === service && other.instance === instance;
    });
  }

  /** What became of the catalog at a log index; forgotten once it was asked. */
  takeOutcome(index: number): PublishOutcome | undefined {
    const outcome = this.outcomes.get(index);
    this.outcomes.delete(index);
    return outcome;
  }

  apply(index: number, command: Buffer): void {
    const {body} = FleetCommand.decode(command);
    switch (body?.$case) {
      case 'publish':
        this.keepOutcome(index, this.publish(body.value));
        return;
      case 'admit': {
        const {member} = body.value;
        if (member) this.admit(member);
        return;
      }
      case 'forget':
        this.remove(body.value.service, body.value.instance);
        return;
      case 'namePoolers':
        this.named = body.value.poolers;
        this.namedAt = index;
        return;
      case 'countProxies':
        this.recordedProxyCount = body.value.proxies;
        return;
      case 'nameCounters':
        this.countersNamed = body.value.counters;
        return;
      case 'nameLead':
        return this.assignPrimary(index, body.value);
      case 'settleLead':
        return this.completePromotion(body.value.service, body.value.epoch);
      default:
        return;
    }
  }

  snapshot(): Buffer {
    const state = {
      version: this.version,
      source: this.source,
      members: this.registered,
      poolers: [...this.named],
      poolersIndex: this.namedAt,
      leads: [...this.assignments],
      proxies: this.recordedProxyCount,
      counters: [...this.countersNamed],
    };
    return Buffer.from(FleetState.encode(state).finish());
  }

  restore(state: Buffer): void {
    const decoded = FleetState.decode(state);
    const {version, source, members, poolers, poolersIndex, leads} = decoded;
    this.recordedProxyCount = decoded.proxies;
    this.countersNamed = decoded.counters;
    this.leadOf.clear();
    for (const lead of leads) this.leadOf.set(lead.service, lead);
    this.named = poolers;
    this.namedAt = poolersIndex;
    this.version = version;
    this.source = source;
    this.registered = members;
  }

  private publish({version, source}: PublishCatalog): PublishOutcome {
    if (version < this.version) return 'overtaken';
    if (version === this.version) {
      return source.equals(this.source) ? 'repeated' : 'conflict';
    }
    this.version = version;
    this.source = source;
    return 'in force';
  }

  /** An announcement of an earlier life may be admitted late. */
  private admit(member: Member): void {
    const {service, instance, born} = member;
    const known = this.member(service, instance);
    if (known && born < known.born) return;
    this.remove(service, instance);
    this.registered.push(member);
  }

  private assignPrimary(
    epoch: number,
    {service, instance, ordered}: AssignPrimary,
  ) {
    const known = this.leadOf.get(service);
    // A copy of an earlier order for the same member may still be on its way.
    const wasOrdered = known?.instance === instance && known.pending;
    const pending = ordered || wasOrdered;
    this.leadOf.set(service, {service, instance, epoch, pending});
  }

  private completePromotion(service: string, epoch: number): void {
    const lead = this.leadOf.get(service);
    if (lead?.epoch !== epoch) return;
    this.leadOf.set(service, {...lead, pending: false});
  }

  private remove(service: string, instance: string): void {
    const gone = this.member(service, instance);
    this.registered = this.registered.filter(other => other !== gone);
  }

  /** Bounded: outcomes of entries that others proposed are never asked for. */
  private keepOutcome(index: number, outcome: PublishOutcome): void {
    this.outcomes.set(index, outcome);
    const [oldest] = this.outcomes.keys();
    if (this.outcomes.size > MOST_OUTCOMES) this.outcomes.delete(oldest!);
  }
}

/** More than the operators' changes that are under way at once. */
const MOST_OUTCOMES = 256;
