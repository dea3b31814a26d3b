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

export const LEASE_DURATION_MS = 80;
const MAX_SILENCE_MS = 60;
const CLOCK_DRIFT_FACTOR = 1.02;
const SERVICE = 's';
const MAX_DELAY_MS = 40;

interface Entry {
  readonly term: number;
  readonly id: number;
}

/** A database member in memory. */
export class SimulatedMember {
  isUp = true;
  lastHeardAt = 0;
  isControlUnreachable = false;
  areMembersUnreachable = false;
  areProxiesUnreachable = false;
  incarnation = 1;
  term = 0;
  role = Role.ROLE_REPLICA;
  matchedTerm = 0;
  logTerm = 0;
  log: Entry[] = [];
  upstream: SimulatedMember | undefined;
  catchUpLength = 0;

  constructor(readonly name: string) {}

  get received(): Position {
    return {term: this.log.at(-1)?.term ?? 0, offset: this.log.length};
  }

  get isUpstreamConnected(): boolean {
    const {upstream} = this;
    if (
      !upstream?.isUp ||
      upstream.areMembersUnreachable ||
      this.areMembersUnreachable
    ) {
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
      upstreamConnected: this.isUpstreamConnected,
      leaving: false,
    };
  }

  /** Restarts without its data and its promised term. */
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
    this.catchUpLength = primary.log.length;
    this.replicate(0);
  }

  replicate(count: number): void {
    if (!this.isUpstreamConnected) return;
    const from = this.log.length;
    this.log.push(...this.upstream!.log.slice(from, from + count));
    if (this.log.length >= this.catchUpLength) this.matchedTerm = this.term;
  }
}

interface SimulatedProxy {
  readonly name: string;
  readonly lease: TermLease;
  readonly commits: PendingCommits;
  record: ServiceRecord | undefined;
  isControlUnreachable: boolean;
}

interface Delivery {
  readonly at: number;
  readonly run: () => void;
}

/**
 * Simulates failover decisions, leases and commits with members in memory,
 * delayed messages and faults from a seed.
 */
export class FailoverSimulation {
  readonly clock = new ManualClock(1_000);
  readonly machine = new ControlMachine();
  readonly targets = ['a', 'b', 'c'].map(name => new SimulatedMember(name));
  readonly proxies: SimulatedProxy[];
  readonly violations: string[] = [];
  readonly acknowledged = new Map<number, string>();
  readonly notRun = new Set<number>();
  changeCount = 0;
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
        isControlUnreachable: false,
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

  /** Elects another control leader. */
  changeLeader(): void {
    const thresholds = {
      silenceMs: MAX_SILENCE_MS,
      unconfirmedMs: MAX_SILENCE_MS * 2,
    };
    this.registry = new LeaseRegistry(thresholds);
    this.leaderSince = this.clock.now();
  }

  /** Advances time: delivers messages, replicates and runs decisions. */
  advance(milliseconds: number): void {
    this.clock.advance(milliseconds);
    this.runDue();
    for (const target of this.targets) {
      const isConnected = target.isUp && !target.isControlUnreachable;
      if (isConnected) target.lastHeardAt = this.clock.now();
      target.replicate(this.random.integer(0, 3));
    }
    this.runDecisions();
    for (const {commits} of this.proxies) commits.onTick(this.clock.now());
  }

  /** Sends the lease request of a proxy, with its failure reports. */
  requestLease(proxy: SimulatedProxy): void {
    const requestedAt = this.clock.now();
    const request = this.makeRequest(proxy);
    const registry = this.registry;
    this.deliverLater(proxy, () => {
      // A leader that was replaced meanwhile cannot grant any more.
      if (registry !== this.registry) return;
      const now = this.clock.now();
      const identity = {instance: proxy.name, incarnation: '1'};
      registry.onRequest(identity, request, now);
      registry.onGranted(identity, now);
      const record = structuredClone(this.record);
      this.deliverLater(proxy, () =>
        this.onGranted(proxy, record, requestedAt),
      );
    });
  }

  /** Writes through a proxy to the member that it knows as the primary. */
  write(proxy: SimulatedProxy): void {
    const target = this.targets.find(
      ({name}) => name === proxy.record?.primary,
    );
    if (!target?.isUp || target.areProxiesUnreachable) return;
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

  /** Announces the status of all replicas to a proxy. */
  announce(proxy: SimulatedProxy): void {
    for (const target of this.targets) {
      if (!target.isUp || target.areProxiesUnreachable) continue;
      const status = target.status();
      if (status.role !== Role.ROLE_REPLICA) continue;
      this.deliverLater(undefined, () => {
        proxy.commits.onStatus(instanceId(target.name), status);
      });
    }
  }

  private onAcknowledged(id: number, position: Position): void {
    const {record} = this;
    this.acknowledged.set(id, `${position.term}/${position.offset}`);
    if (position.term < record.term && record.phase === Phase.PHASE_STEADY) {
      this.violations.push(
        `write ${id} of term ${position.term} acknowledged in ${record.term}`,
      );
    }
  }

  private onGranted(
    proxy: SimulatedProxy,
    record: ServiceRecord,
    requestedAt: number,
  ): void {
    const now = this.clock.now();
    if (proxy.record && proxy.record.revision > record.revision) return;
    proxy.record = record;
    proxy.lease.returnBelow(record.term);
    proxy.commits.onServiceRecord(record, now);
    if (record.phase !== Phase.PHASE_STEADY) return;
    proxy.lease.extend(record.term, requestedAt, LEASE_DURATION_MS);
    proxy.commits.onLeaseExtended(now);
  }

  private makeRequest(proxy: SimulatedProxy): LeaseRequest {
    const {record, lease, commits} = proxy;
    const now = this.clock.now();
    const isChanging = record?.phase === Phase.PHASE_CHANGING;
    const target = this.targets.find(({name}) => name === record?.primary);
    const isUnreachable =
      target && (!target.isUp || target.areProxiesUnreachable);
    return {
      sequence: 1,
      knownRevision: 0,
      settingsVersion: 0,
      suspicions: [
        {
          service: SERVICE,
          term: record?.term ?? 0,
          silentMs: isUnreachable ? MAX_SILENCE_MS : 0,
          refused: false,
          unconfirmedMs: Math.round(commits.unconfirmedMs(now)),
        },
      ],
      handBacks: isChanging
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

  private runDecisions(): void {
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
          this.reachableMember(action.instance)?.stepDown(term);
          break;
        case 'promote':
          this.promote(action.instance, term);
          break;
        case 'follow': {
          const primary = this.targets.find(({name}) => {
            return name === action.replicationAddress;
          })!;
          const target = this.reachableMember(action.instance);
          if (
            target &&
            !primary.areMembersUnreachable &&
            !target.areMembersUnreachable
          ) {
            target.attach(term, primary);
          }
        }
      }
    }
  }

  private promote(instance: string, term: number): void {
    const target = this.reachableMember(instance);
    if (!target || target.term > term) return;
    if (target.role === Role.ROLE_PRIMARY && target.term === term) return;
    target.stepDown(term);
    target.role = Role.ROLE_PRIMARY;
    target.matchedTerm = term;
    target.logTerm = term;
  }

  private complete(primary: string, incarnation: string, base: Position): void {
    const {term} = this.record;
    this.changeCount++;
    const successor = this.targets.find(({name}) => name === primary)!;
    const held = new Set(successor.log.map(({id}) => id));
    for (const [id, at] of this.acknowledged) {
      if (held.has(id)) continue;
      this.violations.push(`write ${id} at ${at} is not on ${primary}`);
    }
    for (const id of this.notRun) {
      if (held.has(id)) this.violations.push(`write ${id} "not run" is there`);
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

  private reachableMember(instance: string): SimulatedMember | undefined {
    const target = this.targets.find(({name}) => name === instance);
    return target?.isUp && !target.isControlUnreachable ? target : undefined;
  }

  private view(): FailoverView {
    const now = this.clock.now();
    return {
      record: this.record,
      memberCount: 3,
      requiredConfirmations: 1,
      maxSilenceMs: MAX_SILENCE_MS,
      maxLeaseMs: LEASE_DURATION_MS * CLOCK_DRIFT_FACTOR,
      now,
      leaderSince: this.leaderSince,
      phaseAgeMs: now - this.phaseSince,
      targets: this.targets.map(target => ({
        instance: target.name,
        draining: false,
        firstIncarnation: '1',
        connected: target.isUp && !target.isControlUnreachable,
        silentMs: now - target.lastHeardAt,
        status: target.status(),
        upstreamLostMs: target.isUpstreamConnected ? 0 : MAX_SILENCE_MS * 2,
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

  private deliverLater(
    proxy: SimulatedProxy | undefined,
    run: () => void,
  ): void {
    const delay = this.random.integer(0, MAX_DELAY_MS);
    const checked = () => {
      if (!proxy?.isControlUnreachable) run();
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
