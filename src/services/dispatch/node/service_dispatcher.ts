import {Mailbox, startTask, type Task} from '../../../base/node/task';
import {everyWhileBusy} from '../../../base/node/timers';
import {
  ClaimedRole,
  type Member,
  type PrimaryAssignment,
} from '../../../schema/generated/fleet';
import {
  SHARED_USER,
  type ConnectFailure,
} from '../../target_link/common/target_link';
import {PositionSamples} from '../../freshness/common/position_samples';
import {laterPosition, type Position} from '../../position/common/position';
import {CurrentPrimary} from '../common/current_primary';
import {PrimaryOutage} from '../common/primary_outage';
import {chooseReadMember, type MemberView} from '../common/choose_member';
import type {ConnectionPeers} from '../common/connection_share';
import type {CheckoutRequest, CheckoutWait} from '../common/checkout_request';
import {PendingConnects} from '../common/pending_connects';
import {CheckoutQueue} from '../common/checkout_queue';
import {ConnectionLimits} from './connection_limits';
import type {
  DispatcherMessage,
  DispatcherDependencies,
  Checkout,
  MemberObservation,
  VerificationRequest,
  ReleasedConnection,
} from './dispatcher_messages';
import {PrimaryVerifier, type VerifiedPrimary} from './primary_verifier';
import {MemberDemand} from './member_demand';
import {MemberPool, type PooledConnection} from './member_pool';
import {makeMemberView} from './member_view';
import {PrimaryProbe} from './primary_probe';

/** Requests, connections and outages are looked at this often, in ms. */
const TICK_MS = 50;
const REST_TICK_MS = 250;
/** Without a sample this new, the primary is asked for one, in ms. */
const SAMPLE_EVERY_MS = 400;
/** Samples and proofs are asked for only while requests come, in ms. */
const INTEREST_MS = 2_000;
/**
 * Members prove a lead for this long after the last lease on it, in ms: no
 * member that is unknown here can have joined and taken the lead in that time.
 */
const WITNESS_MS = 8_000;
/**
 * A lease that ran out is mostly renewed within this, in ms. Later, work that
 * goes to a primary without a proof by the members would only take its slots.
 */
const LAPSE_MS = 300;
/** While there is no primary, members are asked this often, in ms. */
const SEARCH_EVERY_MS = 150;

/** The task that owns the connections to the members of one service. */
export class ServiceDispatcher {
  private readonly mailbox = new Mailbox<DispatcherMessage>();
  private readonly pools = new Map<string, MemberPool>();
  private readonly samples = new PositionSamples();
  private readonly belief = new CurrentPrimary();
  private readonly outage = new PrimaryOutage();
  private readonly waiting = new CheckoutQueue<Checkout>(this.outage);
  private readonly openings = new PendingConnects<CheckoutRequest<Checkout>>();
  private lastRead = -Infinity;
  private lastRequest = -Infinity;
  private isByClass = false;
  private readonly probe: PrimaryProbe;
  private readonly witness: PrimaryVerifier;
  private searchedAt = -Infinity;
  private judged = '';
  private changedQueued = false;
  private signal = new AbortController().signal;
  private wakeTick = () => {};
  private readonly limits: ConnectionLimits;
  private readonly demand: MemberDemand;

  constructor(private readonly around: DispatcherDependencies) {
    const {service} = around;
    this.limits = new ConnectionLimits(around);
    this.demand = new MemberDemand(around, this.limits);
    this.probe = new PrimaryProbe(around.clock, (observation, returned) => {
      this.mailbox.post({kind: 'observed', observation});
      this.mailbox.post({kind: 'return', returned});
    });
    this.witness = new PrimaryVerifier(
      service,
      around.statusReader,
      {
        instances: () => [...this.pools.keys()],
        take: instance => this.takeForWitness(instance),
        giveBack: (pooled, isClean) => {
          this.mailbox.post({kind: 'return', returned: {pooled, isClean}});
        },
      },
      around.clock,
      around.log,
      lead => this.onWitnessed(lead),
    );
  }

  start(signal: AbortSignal): Promise<void> {
    this.signal = signal;
    const periods = {busyMs: TICK_MS, restMs: REST_TICK_MS};
    this.wakeTick = everyWhileBusy(signal, periods, () => {
      this.mailbox.post({kind: 'tick'});
      return !this.isAtRest;
    });
    signal.addEventListener('abort', () => this.mailbox.close(), {once: true});
    return startTask(`dispatcher ${this.around.service}`, () => this.run());
  }

  /** How long new work would wait at present; nothing where none waits. */
  get expectedWaits(): CheckoutWait[] {
    return this.waiting.expectedWaits(this.now());
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
      case 'withdraw':
        return this.waiting.withdraw(message.request);
      case 'return':
        return this.onReturn(message.returned);
      case 'observed':
        return this.onObserved(message.observation);
      case 'members':
        return this.onMembers(message.members, message.sharers);
      case 'definition':
        this.limits.setDefinition(message.definition);
        this.isByClass = message.isByClass;
        this.waiting.setUsesClasses(message.isByClass);
        return;
      case 'primary':
        return this.onLead(message.lead);
      case 'verify':
        return this.onProofWish(message.wish);
      case 'changed':
        this.changedQueued = false;
        return this.dispatch();
      case 'tick':
        return this.onTick();
    }
  }

  // ---- Requests ----

  private onRequest(request: CheckoutRequest<Checkout>): void {
    const now = this.now();
    this.lastRequest = now;
    if (request.user !== SHARED_USER) this.limits.onAccount();
    if (request.requirement.kind === 'read') this.lastRead = now;
    this.waiting.add(request, now);
    this.dispatch();
  }

  private dispatch(): void {
    const now = this.now();
    if (this.isByClass && this.limits.servesAccounts) {
      this.waiting.serve(now, request => this.placeOnOpened(request));
    }
    this.demand.onServing();
    this.waiting.serve(now, request => {
      const grant = this.place(request);
      if (!grant) this.demand.onUnserved(request.requirement);
      return grant;
    });
  }

  /**
   * Guard: a connection serves the request that it was opened for first; the
   * next account in the queue would close it unused, and so on in turn.
   */
  private placeOnOpened(
    request: CheckoutRequest<Checkout>,
  ): Checkout | undefined {
    const instance = this.openings.instanceFor(request, this.now());
    const pool = this.pools.get(instance ?? '');
    return pool?.hasIdle(request.user) ? this.place(request) : undefined;
  }

  private place(request: CheckoutRequest<Checkout>): Checkout | undefined {
    const {requirement} = request;
    if (requirement.kind === 'primary') return this.placeOnPrimary(request);
    const covering = this.samples.findCovering(requirement.minReadAt);
    const {ownCommit} = requirement;
    const minPosition =
      covering && ownCommit
        ? laterPosition(covering, ownCommit.position)
        : covering;
    if (!minPosition) {
      this.probePrimary();
      if (!this.isProvable) return undefined;
    }
    const views = this.views(request);
    const {triedInstances} = request;
    const newest = Math.max(
      requirement.minReadAt,
      ownCommit?.acknowledgedAt ?? -Infinity,
    );
    const maxLagMs = this.now() - newest;
    const chosen =
      chooseReadMember(views, {minPosition, maxLagMs, triedInstances}) ??
      chooseReadMember(views, {
        minPosition,
        maxLagMs,
        triedInstances: NO_MEMBERS,
      });
    if (!chosen) return undefined;
    return this.take(chosen.instance, request, minPosition);
  }

  private placeOnPrimary(
    request: CheckoutRequest<Checkout>,
  ): Checkout | undefined {
    if (!this.belief.isUsable || !this.isProvable) return undefined;
    return this.take(this.belief.instance, request, undefined);
  }

  private take(
    instance: string,
    request: CheckoutRequest<Checkout>,
    after: Position | undefined,
  ): Checkout | undefined {
    const pool = this.pools.get(instance);
    if (!pool) return undefined;
    const pooled = pool.hasWindow && pool.checkout(request);
    if (!pooled) {
      this.openFor(request, pool);
      return undefined;
    }
    const isPrimary = this.isPrimary(instance);
    const epoch = isPrimary ? this.belief.epoch : NO_EPOCH;
    return {pooled, isPrimary, epoch, minPosition: after};
  }

  private openFor(request: CheckoutRequest<Checkout>, pool: MemberPool): void {
    const {user} = request;
    const limit = this.limits.limitOf(pool.member);
    // Those that wait before it get what is being opened.
    if (pool.connectingCountOf(user) > this.demand.unservedCount) return;
    if (this.awaitsOpening(request) || !pool.canConnect(limit, user)) return;
    pool.connectWithin(limit, user);
    this.openings.set(request, pool.member.instance, this.now());
  }

  private awaitsOpening(request: CheckoutRequest<Checkout>): boolean {
    if (request.user === SHARED_USER) return false;
    const instance = this.openings.instanceFor(request, this.now());
    if (instance === undefined) return false;
    const pool = this.pools.get(instance);
    return pool !== undefined && pool.connectingCountOf(request.user) > 0;
  }

  private views(request: CheckoutRequest<Checkout>): MemberView[] {
    const {user} = request;
    const mayOpen = !this.awaitsOpening(request);
    return [...this.pools.values()].map(pool => {
      const isPrimary = this.isPrimary(pool.member.instance);
      return makeMemberView(pool, {user, mayOpen, isPrimary}, this.limits);
    });
  }

  private keepsStandby({member}: MemberPool): boolean {
    return this.limits.keepsIdleConnection(
      member,
      this.isPrimary(member.instance),
    );
  }

  private onReturn({pooled, isClean}: ReleasedConnection): void {
    const pool = this.pools.get(pooled.instance);
    if (pool) {
      pool.release(pooled, isClean);
      this.demand.trim(pool);
    } else pooled.link.close();
    this.dispatch();
  }

  // ---- Members ----

  private onObserved(observation: MemberObservation): void {
    const {instance, askedAt, answeredAt, position, kind} = observation;
    const pool = this.pools.get(instance);
    if (!pool) return;
    if (kind === 'silent') {
      pool.onSilence();
      return this.judgePrimary();
    }
    if (kind === 'busy') pool.onBusy();
    else pool.onAnswer(answeredAt - askedAt);
    if (position) pool.onLag(this.samples.minLagMs(position, askedAt));
    if (kind === 'leads' && position) this.onLeading(observation, position);
    if (kind === 'not primary' && this.belief.markDemoted(instance)) {
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
    {instance, askedAt, epoch}: MemberObservation,
    position: Position,
  ): void {
    const {leases, service} = this.around;
    if (!this.isPrimary(instance) || !leases.isHeld(service, epoch)) return;
    this.samples.add(askedAt, position);
    this.restore('its own answer');
  }

  // ---- Proof without control ----

  private onProofWish({
    epoch,
    term,
    timeoutMs,
    settle,
  }: VerificationRequest): void {
    const until = this.now() + timeoutMs;
    this.witness.add({epoch, term, deadline: until, settle});
    this.tendWitness();
  }

  /** For how long the lease on the lead in force has been over, in ms. */
  private get lapsedMs(): number {
    const {leases, service} = this.around;
    return leases.expiredForMs(service, this.belief.epoch);
  }

  /** Whether control's leases ran out, and the members may speak for them. */
  private get needsWitness(): boolean {
    const {lapsedMs} = this;
    return this.belief.isUsable && lapsedMs > 0 && lapsedMs < WITNESS_MS;
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

  private takeForWitness(instance: string): PooledConnection | undefined {
    const pool = this.pools.get(instance);
    const pooled = pool?.checkoutAny();
    if (!pooled && pool?.size === 0 && pool.canConnect(1)) {
      pool.connect(SHARED_USER);
    }
    return pooled;
  }

  private onWitnessed({
    instance,
    epoch,
    askedAt,
    status,
  }: VerifiedPrimary): void {
    if (!this.isPrimary(instance) || epoch !== this.belief.epoch) return;
    this.samples.add(askedAt, status.receivedPosition);
    this.noteChange();
  }

  private restore(source: string): void {
    if (this.belief.markPromoted(this.belief.instance)) this.noteBelief(source);
    this.judgePrimary();
  }

  private onLead({instance, epoch}: PrimaryAssignment): void {
    if (!this.belief.update(instance, epoch)) return;
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
    sharers: ConnectionPeers,
  ): void {
    this.limits.setPeers(sharers);
    const own = members.filter(({service}) => service === this.around.service);
    for (const member of own) this.onMember(member);
    for (const [instance, pool] of this.pools) {
      if (own.some(member => member.instance === instance)) continue;
      pool.closeAll();
      this.pools.delete(instance);
      this.around.connectionQuota.removeMember(this.around.service, instance);
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
      onDidFailToOpen: (name: string, failure: ConnectFailure) => {
        if (failure === 'too many connections') this.onFull(name);
        this.judgePrimary();
      },
    };
    const pool = new MemberPool(
      member,
      connector,
      listener,
      clock,
      this.signal,
    );
    this.pools.set(instance, pool);
    if (this.keepsStandby(pool)) pool.connect(SHARED_USER);
  }

  private onFull(instance: string): void {
    const open = this.pools.get(instance)?.size ?? 0;
    this.around.connectionQuota.onDidRefuseConnection(
      this.around.service,
      instance,
      open,
    );
  }

  private noteChange(): void {
    if (this.changedQueued) return;
    this.changedQueued = this.mailbox.post({kind: 'changed'});
  }

  private judgePrimary(): void {
    const {instance, isUsable: isStanding} = this.belief;
    const pool = this.pools.get(instance);
    // While control replaces a primary it names nobody for a moment.
    const isReplaced = instance === '' && this.belief.epoch > 0;
    const isLost = pool ? pool.isFailing || !this.isProvable : !isReplaced;
    const state = isStanding ? 'serving' : 'deposed';
    this.outage.setState(isLost ? 'lost' : state, this.now());
    const trouble = pool?.isFailing ? 'unreachable' : '';
    const judgement = `${instance} ${trouble}`;
    if (judgement === this.judged) return;
    this.judged = judgement;
    this.around.onDidAssessPrimary(instance, trouble);
  }

  // ---- Time ----

  /** Whether nobody waits, asked lately, or holds what has to be given back. */
  private get isAtRest(): boolean {
    if (this.waiting.size > 0 || this.isAsked) return false;
    if (this.outage.expectedEndAt(this.now()) !== undefined) return false;
    return [...this.pools.values()].every(pool => {
      return pool.isQuiescent(this.keepsStandby(pool));
    });
  }

  private onTick(): void {
    const now = this.now();
    for (const pool of this.pools.values()) {
      this.demand.trim(pool);
      const isKept = this.keepsStandby(pool);
      pool.closeIdle(this.limits.shareOf(pool.member), isKept);
      if (isKept && pool.size === 0 && pool.canConnect(1)) {
        pool.connect(SHARED_USER);
      }
    }
    this.judgePrimary();
    this.searchPrimary(now);
    this.waiting.expire(now);
    this.tendWitness();
    const wanted = now - this.lastRead < INTEREST_MS;
    const isOld = now - this.samples.newestAskedAt > SAMPLE_EVERY_MS;
    if (wanted && isOld) this.probePrimary();
    this.dispatch();
    this.demand.report(this.pools.values(), this.belief.instance);
  }

  /** Asks the primary for its position where no request did lately. */
  private probePrimary(): void {
    if (!this.belief.isUsable) return;
    const pool = this.pools.get(this.belief.instance);
    if (pool) this.probeMember(pool);
  }

  /**
   * Asks the member that control named whether it leads by now. Control hears
   * of it too, but its word takes a way more, and none comes while its own
   * leader is lost.
   */
  private searchPrimary(now: number): void {
    if (this.outage.expectedEndAt(now) === undefined) return;
    if (now - this.searchedAt < SEARCH_EVERY_MS) return;
    this.searchedAt = now;
    const pool = this.pools.get(this.belief.instance);
    if (pool && !this.belief.isUsable) this.probeMember(pool);
  }

  private probeMember(pool: MemberPool): void {
    if (this.probe.isRunning(pool.member.instance)) return;
    const pooled = pool.checkoutAny();
    if (pooled) return this.probe.start(pooled, this.belief.epoch);
    const limit = this.limits.limitOf(pool.member);
    if (pool.size === 0 && pool.canConnect(limit)) pool.connect(SHARED_USER);
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
