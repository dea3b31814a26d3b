import {ManualClock} from '../../../../base/common/clock';
import {instanceId} from '../../../../base/common/ids';
import {SeededRandom} from '../../../../base/common/random';
import {
  Role,
  type Position,
  type TargetStatus,
} from '../../../../schema/generated/announcement';
import {
  Phase,
  type Command,
  type LeaseRequest,
  type ServiceRecord,
} from '../../../../schema/generated/control';
import {PendingCommits} from '../../../confirmation/common/pending_commits';
import {ControlMachine} from '../../../control_state/common/control_machine';
import {LeaseRegistry} from '../../../lease/common/lease_registry';
import {TermLease} from '../../../lease/common/term_lease';
import {decideFailover} from '../../common/failover';
import type {FailoverView} from '../../common/failover_view';

export const LEASE_MS = 80;
const SILENCE_MS = 60;
const DRIFT = 1.02;
const SERVICE = 's';
const MOST_DELAY_MS = 40;

interface Entry {
  readonly term: number;
  readonly id: number;
}

/** A database member of the model. */
export class SimulatedMember {
  up = true;
  heardAt = 0;
  /** Cut off from control, from other members, from proxies. */
  cutFromControl = false;
  cutFromMembers = false;
  cutFromProxies = false;
  incarnation = 1;
  term = 0;
  role = Role.ROLE_REPLICA;
  matchedTerm = 0;
  logTerm = 0;
  log: Entry[] = [];
  upstream: SimulatedMember | undefined;
  catchUp = 0;

  constructor(readonly name: string) {}

  get received(): Position {
    return {term: this.log.at(-1)?.term ?? 0, offset: this.log.length};
  }

  get hearsUpstream(): boolean {
    const {upstream} = this;
    if (!upstream?.up || upstream.cutFromMembers || this.cutFromMembers) {
      return false;
    }
    return upstream.role === Role.ROLE_PRIMARY && upstream.term === this.term;
  }

  status(): TargetStatus {
    return {
      service: SERVICE,
      instance: this.name,
      site: '',
      address: '',
      replicationAddress: this.name,
      incarnation: String(this.incarnation),
      role: this.role,
      term: this.term,
      matchedTerm: this.matchedTerm,
      logTerm: this.logTerm,
      received: this.received,
      appliedOffset: this.log.length,
      upstreamConnected: this.hearsUpstream,
      leaving: false,
    };
  }

  /** Loses everything that it held, promises included. */
  loseData(): void {
    this.incarnation++;
    this.term = 0;
    this.role = Role.ROLE_REPLICA;
    this.matchedTerm = 0;
    this.logTerm = 0;
    this.log = [];
    this.upstream = undefined;
  }

  stepDown(term: number): void {
    this.term = term;
    this.role = Role.ROLE_REPLICA;
    this.upstream = undefined;
  }

  attach(term: number, primary: SimulatedMember): void {
    this.stepDown(term);
    this.upstream = primary;
    let common = 0;
    while (
      common < this.log.length &&
      this.log[common]?.id === primary.log[common]?.id
    ) {
      common++;
    }
    this.log.length = common;
    this.logTerm = term;
    this.catchUp = primary.log.length;
    this.replicate(0);
  }

  replicate(count: number): void {
    if (!this.hearsUpstream) return;
    const from = this.log.length;
    this.log.push(...this.upstream!.log.slice(from, from + count));
    if (this.log.length >= this.catchUp) this.matchedTerm = this.term;
  }
}

interface ModelProxy {
  readonly name: string;
  readonly lease: TermLease;
  readonly commits: PendingCommits;
  record: ServiceRecord | undefined;
  cutFromControl: boolean;
}

interface Delivery {
  readonly at: number;
  readonly run: () => void;
}

/**
 * Control's decisions, leases and commits over a model of a database group:
 * no sockets, one list of delayed messages, faults from a seed.
 */
export class FailoverSimulation {
  readonly clock = new ManualClock(1_000);
  readonly machine = new ControlMachine();
  readonly targets = ['a', 'b', 'c'].map(name => new SimulatedMember(name));
  readonly proxies: ModelProxy[];
  readonly faults: string[] = [];
  readonly acknowledged = new Map<number, string>();
  readonly notRun = new Set<number>();
  changes = 0;
  private registry!: LeaseRegistry;
  private leaderSince = 0;
  private phaseSince = 0;
  private index = 1;
  private lastId = 0;
  private deliveries: Delivery[] = [];

  constructor(
    private readonly random: SeededRandom,
    proxyCount = 3,
  ) {
    this.proxies = Array.from({length: proxyCount}, (...[, at]) => {
      const lease = new TermLease(this.clock);
      return {
        name: `p${at}`,
        lease,
        commits: new PendingCommits(lease, 1),
        record: undefined,
        cutFromControl: false,
      };
    });
    for (const {name} of this.proxies) {
      const proxy = {instance: name, incarnation: '1'};
      this.apply({$case: 'registerProxy', value: {proxy}});
    }
    for (const {name} of this.targets) {
      const member = {
        instance: name,
        site: '',
        draining: false,
        incarnation: '1',
      };
      const value = {service: SERVICE, member};
      this.apply({$case: 'registerMember', value});
    }
    this.changeLeader();
  }

  get record(): ServiceRecord {
    return this.machine.service(SERVICE)!;
  }

  get primary(): SimulatedMember | undefined {
    return this.targets.find(({name}) => name === this.record.primary);
  }

  /** Another control instance leads from now on. */
  changeLeader(): void {
    const limits = {silenceMs: SILENCE_MS, unconfirmedMs: SILENCE_MS * 2};
    this.registry = new LeaseRegistry(limits);
    this.leaderSince = this.clock.now();
  }

  /** Lets time pass: messages arrive, control decides, replicas copy. */
  pass(milliseconds: number): void {
    this.clock.advance(milliseconds);
    this.runDue();
    for (const target of this.targets) {
      const seen = target.up && !target.cutFromControl;
      if (seen) target.heardAt = this.clock.now();
      target.replicate(this.random.integer(0, 3));
    }
    this.drive();
    for (const {commits} of this.proxies) commits.onTick(this.clock.now());
  }

  /** A proxy asks control for its lease, and reports what it sees. */
  ask(proxy: ModelProxy): void {
    const askedAt = this.clock.now();
    const ask = this.askOf(proxy);
    const registry = this.registry;
    this.later(proxy, () => {
      // A leader that was replaced meanwhile cannot confirm any more.
      if (registry !== this.registry) return;
      const now = this.clock.now();
      const identity = {instance: proxy.name, incarnation: '1'};
      registry.onRequest(identity, ask, now);
      registry.onGranted(identity, now);
      const record = structuredClone(this.record);
      this.later(proxy, () => this.onGrant(proxy, record, askedAt));
    });
  }

  /** A caller writes through a proxy to whom it takes for the primary. */
  write(proxy: ModelProxy): void {
    const target = this.targets.find(
      ({name}) => name === proxy.record?.primary,
    );
    if (!target?.up || target.cutFromProxies) return;
    if (target.role !== Role.ROLE_PRIMARY) return;
    const id = ++this.lastId;
    target.log.push({term: target.term, id});
    const position = {term: target.term, offset: target.log.length};
    const now = this.clock.now();
    proxy.commits.add(position, now + 2_000, now, (outcome, at) => {
      if (outcome === 'done') this.onAcknowledged(id, at);
      if (outcome === 'not run') this.notRun.add(id);
    });
  }

  /** Members tell a proxy what they hold. */
  announce(proxy: ModelProxy): void {
    for (const target of this.targets) {
      if (!target.up || target.cutFromProxies) continue;
      const status = target.status();
      if (status.role !== Role.ROLE_REPLICA) continue;
      this.later(undefined, () => {
        proxy.commits.onStatus(instanceId(target.name), status);
      });
    }
  }

  private onAcknowledged(id: number, position: Position): void {
    const {record} = this;
    this.acknowledged.set(id, `${position.term}/${position.offset}`);
    if (position.term < record.term && record.phase === Phase.PHASE_STEADY) {
      this.faults.push(
        `write ${id} of term ${position.term} acknowledged in ${record.term}`,
      );
    }
  }

  private onGrant(
    proxy: ModelProxy,
    record: ServiceRecord,
    askedAt: number,
  ): void {
    const now = this.clock.now();
    if (proxy.record && proxy.record.revision > record.revision) return;
    proxy.record = record;
    proxy.lease.returnBelow(record.term);
    proxy.commits.onServiceRecord(record, now);
    if (record.phase !== Phase.PHASE_STEADY) return;
    proxy.lease.extend(record.term, askedAt, LEASE_MS);
    proxy.commits.onLeaseExtended(now);
  }

  private askOf(proxy: ModelProxy): LeaseRequest {
    const {record, lease, commits} = proxy;
    const now = this.clock.now();
    const changing = record?.phase === Phase.PHASE_CHANGING;
    const target = this.targets.find(({name}) => name === record?.primary);
    const lost = target && (!target.up || target.cutFromProxies);
    return {
      sequence: 1,
      knownRevision: 0,
      settingsVersion: 0,
      suspicions: [
        {
          service: SERVICE,
          term: record?.term ?? 0,
          silentMs: lost ? SILENCE_MS : 0,
          refused: false,
          unconfirmedMs: Math.round(commits.unconfirmedMs(now)),
        },
      ],
      handBacks: changing
        ? [
            {
              service: SERVICE,
              belowTerm: record.term,
              highest: lease.highestAcknowledged,
            },
          ]
        : [],
    };
  }

  private drive(): void {
    for (const action of decideFailover(this.view())) {
      const {record} = this;
      const {term} = record;
      switch (action.kind) {
        case 'begin': {
          const {cause, planned, inputs} = action;
          const fromTerm = term;
          const change = {service: SERVICE, fromTerm, cause, inputs, planned};
          this.apply({
            $case: 'beginChange',
            value: {...change, term: action.term},
          });
          return;
        }
        case 'complete':
          this.complete(action.primary, action.incarnation, action.base);
          return;
        case 'fence':
          this.reach(action.instance)?.stepDown(term);
          break;
        case 'promote':
          this.promote(action.instance, term);
          break;
        case 'follow': {
          const primary = this.targets.find(({name}) => {
            return name === action.replicationAddress;
          })!;
          const target = this.reach(action.instance);
          if (target && !primary.cutFromMembers && !target.cutFromMembers) {
            target.attach(term, primary);
          }
        }
      }
    }
  }

  private promote(instance: string, term: number): void {
    const target = this.reach(instance);
    if (!target || target.term > term) return;
    if (target.role === Role.ROLE_PRIMARY && target.term === term) return;
    target.stepDown(term);
    target.role = Role.ROLE_PRIMARY;
    target.matchedTerm = term;
    target.logTerm = term;
  }

  private complete(primary: string, incarnation: string, base: Position): void {
    const {term} = this.record;
    this.changes++;
    const chosen = this.targets.find(({name}) => name === primary)!;
    const held = new Set(chosen.log.map(({id}) => id));
    for (const [id, at] of this.acknowledged) {
      if (held.has(id)) continue;
      this.faults.push(`write ${id} at ${at} is not on ${primary}`);
    }
    for (const id of this.notRun) {
      if (held.has(id)) this.faults.push(`write ${id} "not run" is there`);
    }
    const value = {
      service: SERVICE,
      term,
      primary,
      incarnation,
      baseOffset: base.offset,
      baseTerm: base.term,
      inputs: '',
    };
    this.apply({$case: 'completeChange', value});
  }

  private reach(instance: string): SimulatedMember | undefined {
    const target = this.targets.find(({name}) => name === instance);
    return target?.up && !target.cutFromControl ? target : undefined;
  }

  private view(): FailoverView {
    const now = this.clock.now();
    return {
      record: this.record,
      memberCount: 3,
      requiredConfirmations: 1,
      maxSilenceMs: SILENCE_MS,
      maxLeaseMs: LEASE_MS * DRIFT,
      now,
      leaderSince: this.leaderSince,
      phaseAgeMs: now - this.phaseSince,
      targets: this.targets.map(target => ({
        instance: target.name,
        draining: false,
        firstIncarnation: '1',
        connected: target.up && !target.cutFromControl,
        silentMs: now - target.heardAt,
        status: target.status(),
        upstreamLostMs: target.hearsUpstream ? 0 : SILENCE_MS * 2,
      })),
      proxies: this.machine.state.proxies.map(proxy => {
        return this.registry.viewOf(proxy, SERVICE, now);
      }),
      isForced: false,
    };
  }

  private apply(body: NonNullable<Command['body']>): void {
    this.phaseSince = this.clock.now();
    this.machine.apply(this.index++, {wallTimeMs: 0, body});
  }

  private later(proxy: ModelProxy | undefined, run: () => void): void {
    const delay = this.random.integer(0, MOST_DELAY_MS);
    const checked = () => {
      if (!proxy?.cutFromControl) run();
    };
    this.deliveries.push({at: this.clock.now() + delay, run: checked});
  }

  private runDue(): void {
    const now = this.clock.now();
    const due = this.deliveries.filter(({at}) => at <= now);
    this.deliveries = this.deliveries.filter(({at}) => at > now);
    for (const {run} of due) run();
  }
}
