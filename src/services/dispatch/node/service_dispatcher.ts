import {Mailbox, startTask, type Task} from '../../../base/node/task';
import {everyWhileBusy} from '../../../base/node/timers';
import {
  ClaimedRole,
  type Member,
  type ServiceEntry,
  type ServiceLead,
} from '../../../schema/generated/fleet';
import {SHARED_USER} from '../../target_link/common/target_link';
import {PositionSamples} from '../../freshness/common/position_samples';
import {laterPosition, type Position} from '../../position/common/position';
import {PrimaryBelief} from '../common/primary_belief';
import {PrimaryOutage} from '../common/primary_outage';
import {chooseForRead, type MemberView} from '../common/choose_member';
import {
  connectionLimit,
  equalShare,
  keepsStandby,
  type ConnectionSharers,
} from '../common/connection_share';
import type {PlaceRequest} from '../common/place_request';
import {RequestOpenings} from '../common/request_openings';
import {sharedConnections} from '../common/shared_connections';
import {WaitingRequests} from '../common/waiting_requests';
import type {
  DispatcherMessage,
  DispatcherSurroundings,
  Grant,
  Observation,
  ProofWish,
  Return,
} from './dispatcher_messages';
import {LeadWitness, type WitnessedLead} from './lead_witness';
import {MemberPool, type PooledLink} from './member_pool';
import {PrimaryProbe} from './primary_probe';

/** Requests, connections and outages are looked at this often, in ms. */
const TICK_MS = 50;
/** The same where there are none, in milliseconds. */
const REST_TICK_MS = 250;
/** Without a sample this new, the primary is asked for one, in ms. */
const SAMPLE_EVERY_MS = 400;
/** Samples and proofs are asked for only while requests come, in ms. */
const INTEREST_MS = 2_000;
/**
 * Members prove a lead for so long after the last lease on it, in milliseconds:
 * in that time no member that this instance never heard of can have come,
 * caught up and taken the lead from all that it knows.
 */
const WITNESS_MS = 8_000;
/**
 * A lease that ran out is mostly renewed within this, in milliseconds. Later,
 * no work goes to a primary that the members do not prove to lead: it would
 * take slots there, and its answers would be of no use.
 */
const LAPSE_MS = 300;
/** While there is no primary, members are asked this often, in ms. */
const SEARCH_EVERY_MS = 150;

/** The task that owns the connections to the members of one service. */
export class ServiceDispatcher {
  private readonly mailbox = new Mailbox<DispatcherMessage>();
  private readonly pools = new Map<string, MemberPool>();
  private readonly samples = new PositionSamples();
  private definition: ServiceEntry;
  private sharers: ConnectionSharers = {all: 1, near: 0};
  private readonly belief = new PrimaryBelief();
  private readonly outage = new PrimaryOutage();
  private readonly waiting = new WaitingRequests<Grant>(this.outage);
  private readonly openings = new RequestOpenings<PlaceRequest<Grant>>();
  private lastRead = -Infinity;
  private lastRequest = -Infinity;
  /** Work of accounts came, which cannot use a connection kept for anybody. */
  private servesAccounts = false;
  private readonly probe: PrimaryProbe;
  private readonly witness: LeadWitness;
  private searchedAt = -Infinity;
  private judged = '';
  private changedQueued = false;
  private signal = new AbortController().signal;
  private wakeTick = () => {};
  private readonly since: number;

  constructor(private readonly around: DispatcherSurroundings) {
    const {service} = around;
    this.since = around.clock.now();
    this.definition = {service, connections: 8, confirmations: 0};
    this.probe = new PrimaryProbe(around.clock, (observation, returned) => {
      this.mailbox.post({kind: 'observed', observation});
      this.mailbox.post({kind: 'return', returned});
    });
    this.witness = new LeadWitness(
      service,
      around.statusReader,
      {
        instances: () => [...this.pools.keys()],
        take: instance => this.takeForWitness(instance),
        giveBack: (pooled, clean) => {
          this.mailbox.post({kind: 'return', returned: {pooled, clean}});
        },
      },
      around.clock,
      around.log,
      lead => this.onWitnessed(lead),
    );
  }

  start(signal: AbortSignal): Promise<void> {
    this.signal = signal;
    const paces = {busyMs: TICK_MS, restMs: REST_TICK_MS};
    this.wakeTick = everyWhileBusy(signal, paces, () => {
      this.mailbox.post({kind: 'tick'});
      return !this.isAtRest;
    });
    signal.addEventListener('abort', () => this.mailbox.close(), {once: true});
    return startTask(`dispatcher ${this.around.service}`, () => this.run());
  }

  /** False where the mailbox is full. */
  post(message: DispatcherMessage): boolean {
    return this.mailbox.post(message);
  }

  private *run(): Task<void> {
    for (;;) {
      const message = yield* this.mailbox.receive();
      if (!message) break;
      this.handle(message);
      // After it was handled: whether there is something to do shows only then.
      if (message.kind !== 'tick') this.wakeTick();
    }
    for (const pool of this.pools.values()) pool.closeAll();
  }

  private handle(message: DispatcherMessage): void {
    switch (message.kind) {
      case 'request':
        return this.onRequest(message.request);
      case 'return':
        return this.onReturn(message.returned);
      case 'observed':
        return this.onObserved(message.observation);
      case 'members':
        return this.onMembers(message.members, message.sharers);
      case 'definition':
        this.definition = message.definition;
        return;
      case 'lead':
        return this.onLead(message.lead);
      case 'witness':
        return this.onProofWish(message.wish);
      case 'changed':
        this.changedQueued = false;
        return this.dispatch();
      case 'tick':
        return this.onTick();
    }
  }

  // ---- Requests ----

  private onRequest(request: PlaceRequest<Grant>): void {
    const now = this.now();
    this.lastRequest = now;
    this.servesAccounts ||= request.user !== SHARED_USER;
    if (request.need.kind === 'read') this.lastRead = now;
    this.waiting.add(request, now);
    this.dispatch();
  }

  private dispatch(): void {
    this.waiting.serve(this.now(), request => this.place(request));
  }

  private place(request: PlaceRequest<Grant>): Grant | undefined {
    const {need} = request;
    if (need.kind === 'primary') return this.placeOnPrimary(request);
    const covering = this.samples.covering(need.coversTime);
    const {own} = need;
    const floor =
      covering && own ? laterPosition(covering, own.position) : covering;
    if (!floor) {
      this.probePrimary();
      if (!this.isProvable) return undefined;
    }
    const views = this.views(request);
    const {passed} = request;
    const newest = Math.max(need.coversTime, own?.at ?? -Infinity);
    const mostLagMs = this.now() - newest;
    const chosen =
      chooseForRead(views, {floor, mostLagMs, passed}) ??
      chooseForRead(views, {floor, mostLagMs, passed: NO_MEMBERS});
    if (!chosen) return undefined;
    return this.take(chosen.instance, request, floor);
  }

  private placeOnPrimary(request: PlaceRequest<Grant>): Grant | undefined {
    if (!this.belief.isStanding || !this.isProvable) return undefined;
    return this.take(this.belief.instance, request, undefined);
  }

  private take(
    instance: string,
    request: PlaceRequest<Grant>,
    after: Position | undefined,
  ): Grant | undefined {
    const pool = this.pools.get(instance);
    if (!pool) return undefined;
    const pooled = pool.hasWindow && pool.checkout(request);
    if (!pooled) {
      this.openFor(request, pool);
      return undefined;
    }
    const isPrimary = this.isPrimary(instance);
    const epoch = isPrimary ? this.belief.epoch : NO_EPOCH;
    return {pooled, isPrimary, epoch, after};
  }

  private openFor(request: PlaceRequest<Grant>, pool: MemberPool): void {
    const {user} = request;
    const limit = this.limitOf(pool);
    if (this.awaitsOpening(request) || !pool.mayOpen(limit, user)) return;
    pool.openWithin(limit, user);
    this.openings.note(request, pool.member.instance, this.now());
  }

  private awaitsOpening(request: PlaceRequest<Grant>): boolean {
    if (request.user === SHARED_USER) return false;
    const instance = this.openings.awaitedBy(request, this.now());
    if (instance === undefined) return false;
    return this.pools.get(instance)?.isOpeningFor(request.user) ?? false;
  }

  private views(request: PlaceRequest<Grant>): MemberView[] {
    const {user} = request;
    const mayOpen = !this.awaitsOpening(request);
    return [...this.pools.values()].map(pool => {
      const {member} = pool;
      const hasIdle = pool.hasIdle(user);
      return {
        instance: member.instance,
        isPrimary: this.isPrimary(member.instance),
        draining: member.draining,
        avoided: pool.isFailing && !hasIdle,
        running: pool.running,
        slots: member.slots,
        latencyMs: pool.latencyMs,
        hasRoom:
          pool.hasWindow &&
          (hasIdle || (mayOpen && pool.mayOpen(this.limitOf(pool), user))),
        needsOpening: !hasIdle && user !== SHARED_USER,
        lagMs: pool.lagMs,
        sameRegion: this.isNear(member),
      };
    });
  }

  /** Connections to one member that all instances together may have. */
  private get sharedConnections(): number {
    return sharedConnections(this.definition.connections);
  }

  private shareOf({member}: MemberPool): number {
    const {all, near} = this.sharers;
    const sharers = {all, near: this.servesAccounts ? near : 0};
    return equalShare(this.sharedConnections, sharers, this.isNear(member));
  }

  /** Connections that this instance may have to one member. */
  private limitOf(pool: MemberPool): number {
    return connectionLimit({
      shared: this.sharedConnections,
      equal: this.shareOf(pool),
      ageMs: this.now() - this.since,
    });
  }

  private keepsStandby(pool: MemberPool): boolean {
    const {member} = pool;
    return keepsStandby({
      servesAccounts: this.servesAccounts,
      equal: this.shareOf(pool),
      isPrimary: this.isPrimary(member.instance),
      sameRegion: this.isNear(member),
    });
  }

  private isNear({site}: Member): boolean {
    return this.around.regionOf(site) === this.around.region;
  }

  private onReturn({pooled, clean}: Return): void {
    const pool = this.pools.get(pooled.instance);
    if (pool) pool.release(pooled, clean);
    else pooled.link.close();
    this.dispatch();
  }

  // ---- Members ----

  private onObserved(observation: Observation): void {
    const {instance, askedAt, answeredAt, position, kind} = observation;
    const pool = this.pools.get(instance);
    if (!pool) return;
    if (kind === 'silent') {
      pool.onSilence();
      return this.judgePrimary();
    }
    if (kind === 'busy') pool.onBusy();
    else pool.onAnswer(answeredAt - askedAt);
    if (position) pool.onLag(this.samples.lagOf(position, askedAt));
    if (kind === 'leads' && position) this.onLeading(observation, position);
    if (kind === 'not primary' && this.belief.deny(instance)) {
      const {service, log} = this.around;
      log.info('A member says that it does not lead.', {service, instance});
      this.judgePrimary();
    }
    this.dispatch();
  }

  /**
   * A member's own word that it leads counts only under a lease: one that was
   * replaced goes on saying so, and what it holds is not the newest.
   */
  private onLeading(
    {instance, askedAt, epoch}: Observation,
    position: Position,
  ): void {
    const {leases, service} = this.around;
    if (!this.isPrimary(instance) || !leases.isHeld(service, epoch)) return;
    this.samples.add(askedAt, position);
    this.restore('its own answer');
  }

  // ---- Proof without control ----

  private onProofWish({epoch, term, timeMs, settle}: ProofWish): void {
    const until = this.now() + timeMs;
    this.witness.add({epoch, term, until, settle});
    this.tendWitness();
  }

  /** For how long the lease on the lead in force has been over, in ms. */
  private get lapsedMs(): number {
    const {leases, service} = this.around;
    return leases.lapsedMs(service, this.belief.epoch);
  }

  /** Whether control's leases ran out, and the members may speak for them. */
  private get needsWitness(): boolean {
    const {lapsedMs} = this;
    return this.belief.isStanding && lapsedMs > 0 && lapsedMs < WITNESS_MS;
  }

  private get isAsked(): boolean {
    return this.now() - this.lastRequest < INTEREST_MS;
  }

  /** Whether an answer of the primary could be proved at present. */
  private get isProvable(): boolean {
    const {lapsedMs} = this;
    if (lapsedMs <= LAPSE_MS || lapsedMs === Infinity) return true;
    return lapsedMs < WITNESS_MS && !this.witness.isFailing;
  }

  private tendWitness(): void {
    if (!this.needsWitness) return this.witness.giveUp();
    const isOld = this.now() - this.witness.lastProofAt > SAMPLE_EVERY_MS;
    this.witness.tend(this.belief, this.isAsked && isOld);
  }

  private takeForWitness(instance: string): PooledLink | undefined {
    const pool = this.pools.get(instance);
    const pooled = pool?.checkoutAny();
    if (!pooled && pool?.size === 0 && pool.mayOpen(1)) pool.open(SHARED_USER);
    return pooled;
  }

  private onWitnessed({instance, epoch, askedAt, status}: WitnessedLead): void {
    if (!this.isPrimary(instance) || epoch !== this.belief.epoch) return;
    this.samples.add(askedAt, status.received);
    this.noteChange();
  }

  private restore(source: string): void {
    if (this.belief.confirm(this.belief.instance)) this.noteBelief(source);
    this.judgePrimary();
  }

  private onLead({instance, epoch}: ServiceLead): void {
    if (!this.belief.take(instance, epoch)) return;
    this.noteBelief('control');
    this.judgePrimary();
    this.dispatch();
  }

  private isPrimary(instance: string): boolean {
    return instance === this.belief.instance;
  }

  private noteBelief(source: string): void {
    const {service, log} = this.around;
    const {instance, epoch} = this.belief;
    log.info('Takes a primary.', {service, instance, epoch, source});
  }

  private onMembers(
    members: readonly Member[],
    sharers: ConnectionSharers,
  ): void {
    this.sharers = sharers;
    const own = members.filter(({service}) => service === this.around.service);
    for (const member of own) this.onMember(member);
    for (const [instance, pool] of this.pools) {
      if (own.some(member => member.instance === instance)) continue;
      pool.closeAll();
      this.pools.delete(instance);
      const {service, log} = this.around;
      log.info('Forgets a member.', {service, instance});
    }
    this.judgePrimary();
    this.dispatch();
  }

  private onMember(member: Member): void {
    const known = this.pools.get(member.instance);
    const {service, log, connector, clock} = this.around;
    if (known && known.member.address === member.address) {
      const isNews = member.role !== known.member.role;
      known.member = member;
      const isNamed = this.isPrimary(member.instance);
      if (isNews && isNamed && claimsToLead(member)) {
        this.restore('its announcement');
      }
      return;
    }
    known?.closeAll();
    const {instance, address, draining} = member;
    log.info('Learns of a member.', {service, instance, address, draining});
    const listener = {
      onDidChange: () => this.noteChange(),
      onDidOpen: () => this.judgePrimary(),
      onDidFailToOpen: () => this.judgePrimary(),
    };
    const pool = new MemberPool(
      member,
      connector,
      listener,
      clock,
      this.signal,
    );
    this.pools.set(instance, pool);
    if (this.keepsStandby(pool)) pool.open(SHARED_USER);
  }

  private noteChange(): void {
    if (this.changedQueued) return;
    this.changedQueued = this.mailbox.post({kind: 'changed'});
  }

  /** Says when trouble with the primary begins and ends. */
  private judgePrimary(): void {
    const {instance, isStanding} = this.belief;
    const pool = this.pools.get(instance);
    // While control replaces a primary it names nobody for a moment.
    const isReplaced = instance === '' && this.belief.epoch > 0;
    const isLost = pool ? pool.isFailing || !this.isProvable : !isReplaced;
    const state = isStanding ? 'serving' : 'deposed';
    this.outage.note(isLost ? 'lost' : state, this.now());
    const trouble = pool?.isFailing ? 'unreachable' : '';
    const judgement = `${instance} ${trouble}`;
    if (judgement === this.judged) return;
    this.judged = judgement;
    this.around.onDidJudgePrimary(instance, trouble);
  }

  // ---- Time ----

  /** Whether nobody waits, asked lately, or holds what has to be given back. */
  private get isAtRest(): boolean {
    if (this.waiting.size > 0 || this.isAsked) return false;
    if (this.outage.expectedEnd(this.now()) !== undefined) return false;
    return [...this.pools.values()].every(pool => {
      return pool.isAtRest(this.keepsStandby(pool));
    });
  }

  private onTick(): void {
    const now = this.now();
    for (const pool of this.pools.values()) {
      const isKept = this.keepsStandby(pool);
      pool.maintain(this.shareOf(pool), isKept);
      if (isKept && pool.size === 0 && pool.mayOpen(1)) pool.open(SHARED_USER);
    }
    this.judgePrimary();
    this.searchPrimary(now);
    this.waiting.giveUp(now);
    this.tendWitness();
    const wanted = now - this.lastRead < INTEREST_MS;
    const isOld = now - this.samples.newestAt > SAMPLE_EVERY_MS;
    if (wanted && isOld) this.probePrimary();
    this.dispatch();
  }

  /** Asks the primary for its position where no request did lately. */
  private probePrimary(): void {
    if (!this.belief.isStanding) return;
    const pool = this.pools.get(this.belief.instance);
    if (pool) this.probeMember(pool);
  }

  /**
   * Asks the member that control named whether it leads by now. Control hears
   * of it too, but its word takes a way more, and none comes while its own
   * leader is lost.
   */
  private searchPrimary(now: number): void {
    if (this.outage.expectedEnd(now) === undefined) return;
    if (now - this.searchedAt < SEARCH_EVERY_MS) return;
    this.searchedAt = now;
    const pool = this.pools.get(this.belief.instance);
    if (pool && !this.belief.isStanding) this.probeMember(pool);
  }

  private probeMember(pool: MemberPool): void {
    if (this.probe.isRunning(pool.member.instance)) return;
    const pooled = pool.checkoutAny();
    if (pooled) return this.probe.start(pooled, this.belief.epoch);
    const limit = this.limitOf(pool);
    if (pool.size === 0 && pool.mayOpen(limit)) pool.open(SHARED_USER);
  }

  private now(): number {
    return this.around.clock.now();
  }
}

/** Members that do not lead do so by no decision. */
const NO_EPOCH = -1;
const NO_MEMBERS: ReadonlySet<string> = new Set();

function claimsToLead({role}: Member): boolean {
  return role === ClaimedRole.CLAIMED_ROLE_PRIMARY;
}
