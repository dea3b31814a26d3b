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

/** How often requests, connections and outages are checked. */
const TICK_MS = 50;
const QUIESCENT_TICK_MS = 250;
/** An older position sample is refreshed by a request to the primary. */
const MAX_SAMPLE_AGE_MS = 400;
/** Positions and verifications are requested only this long after requests. */
const RECENT_REQUEST_MS = 2_000;
/**
 * How long after its lease expired a primary may be verified by the members.
 * A member that this instance does not know cannot become primary that soon.
 */
const MAX_EXPIRED_MS = 8_000;
/**
 * An expired lease is mostly renewed within this. Later, a primary gets no
 * requests unless the members verify it; its replies would not be usable.
 */
const RENEWAL_GRACE_MS = 300;
/** How often the assigned member is probed during an outage. */
const PROBE_INTERVAL_MS = 150;

type PendingRequest = CheckoutRequest<Checkout>;

/** The task that owns the connections to the members of one service. */
export class ServiceDispatcher {
  private readonly mailbox = new Mailbox<DispatcherMessage>();
  private readonly pools = new Map<string, MemberPool>();
  private readonly samples = new PositionSamples();
  private readonly primary = new CurrentPrimary();
  private readonly outage = new PrimaryOutage();
  private readonly queue = new CheckoutQueue<Checkout>(this.outage);
  private readonly connects = new PendingConnects<PendingRequest>();
  private lastReadAt = -Infinity;
  private lastRequestAt = -Infinity;
  private usesClasses = false;
  private readonly probe: PrimaryProbe;
  private readonly verifier: PrimaryVerifier;
  private probedAt = -Infinity;
  private lastAssessment = '';
  private isChangePosted = false;
  private signal = new AbortController().signal;
  private wakeTick = () => {};
  private readonly limits: ConnectionLimits;
  private readonly demand: MemberDemand;

  constructor(private readonly dependencies: DispatcherDependencies) {
    const {service} = dependencies;
    this.limits = new ConnectionLimits(dependencies);
    this.demand = new MemberDemand(dependencies, this.limits);
    this.probe = new PrimaryProbe(
      dependencies.clock,
      (observation, released) => {
        this.mailbox.post({kind: 'observed', observation});
        this.mailbox.post({kind: 'release', released});
      },
    );
    this.verifier = new PrimaryVerifier(
      service,
      dependencies.statusReader,
      {
        instances: () => [...this.pools.keys()],
        checkOut: instance => this.checkOutAny(instance),
        release: (pooled, isClean) => {
          this.mailbox.post({kind: 'release', released: {pooled, isClean}});
        },
      },
      dependencies.clock,
      dependencies.log,
      primary => this.onVerified(primary),
    );
  }

  start(signal: AbortSignal): Promise<void> {
    this.signal = signal;
    const periods = {busyMs: TICK_MS, idleMs: QUIESCENT_TICK_MS};
    this.wakeTick = everyWhileBusy(signal, periods, () => {
      this.mailbox.post({kind: 'tick'});
      return !this.isQuiescent;
    });
    signal.addEventListener('abort', () => this.mailbox.close(), {once: true});
    return startTask(`dispatcher ${this.dependencies.service}`, () =>
      this.run(),
    );
  }

  /** The expected waits of new requests; empty if none are queued. */
  get expectedWaits(): CheckoutWait[] {
    return this.queue.expectedWaits(this.now());
  }

  /** Returns false if the mailbox is full. */
  post(message: DispatcherMessage): boolean {
    return this.mailbox.post(message);
  }

  private *run(): Task<void> {
    for (;;) {
      const message = yield* this.mailbox.receive();
      if (!message) break;
      this.handle(message);
      // Only now is it known whether there is work for the ticks.
      if (message.kind !== 'tick') this.wakeTick();
    }
    for (const pool of this.pools.values()) pool.closeAll();
  }

  private handle(message: DispatcherMessage): void {
    switch (message.kind) {
      case 'request':
        return this.onRequest(message.request);
      case 'cancel':
        return this.queue.cancel(message.request);
      case 'release':
        return this.onReleased(message.released);
      case 'observed':
        return this.onObserved(message.observation);
      case 'members':
        return this.onMembers(message.members, message.peers);
      case 'definition':
        this.limits.setDefinition(message.definition);
        this.usesClasses = message.usesClasses;
        this.queue.setUsesClasses(message.usesClasses);
        return;
      case 'primary':
        return this.onAssignment(message.assignment);
      case 'verify':
        return this.verify(message.request);
      case 'changed':
        this.isChangePosted = false;
        return this.dispatch();
      case 'tick':
        return this.onTick();
    }
  }

  // ---- Requests ----

  private onRequest(request: PendingRequest): void {
    const now = this.now();
    this.lastRequestAt = now;
    if (request.user !== SHARED_USER) this.limits.onAccount();
    if (request.requirement.kind === 'read') this.lastReadAt = now;
    this.queue.add(request, now);
    this.dispatch();
  }

  private dispatch(): void {
    const now = this.now();
    if (this.usesClasses && this.limits.servesAccounts) {
      this.queue.serve(now, request => this.checkOutPending(request));
    }
    this.demand.onServing();
    this.queue.serve(now, request => {
      const checkout = this.checkOut(request);
      if (!checkout) this.demand.onUnserved(request.requirement);
      return checkout;
    });
  }

  /**
   * Guard: a connection that was opened for one account could be closed unused
   * in favor of the next account in the queue, again and again. It serves the
   * request that it was opened for first.
   */
  private checkOutPending(request: PendingRequest): Checkout | undefined {
    const instance = this.connects.instanceFor(request, this.now());
    const pool = this.pools.get(instance ?? '');
    return pool?.hasIdle(request.user) ? this.checkOut(request) : undefined;
  }

  private checkOut(request: PendingRequest): Checkout | undefined {
    const {requirement} = request;
    if (requirement.kind === 'primary') return this.checkOutPrimary(request);
    const sample = this.samples.findCovering(requirement.minReadAt);
    const {ownCommit} = requirement;
    const minPosition =
      sample && ownCommit ? laterPosition(sample, ownCommit.position) : sample;
    if (!minPosition) {
      this.probePrimary();
      if (!this.isVerifiable) return undefined;
    }
    const views = this.views(request);
    const {triedInstances} = request;
    const newestAt = Math.max(
      requirement.minReadAt,
      ownCommit?.acknowledgedAt ?? -Infinity,
    );
    const maxLagMs = this.now() - newestAt;
    const chosen =
      chooseReadMember(views, {minPosition, maxLagMs, triedInstances}) ??
      chooseReadMember(views, {
        minPosition,
        maxLagMs,
        triedInstances: NO_INSTANCES,
      });
    if (!chosen) return undefined;
    return this.checkOutFrom(chosen.instance, request, minPosition);
  }

  private checkOutPrimary(request: PendingRequest): Checkout | undefined {
    if (!this.primary.isUsable || !this.isVerifiable) return undefined;
    return this.checkOutFrom(this.primary.instance, request, undefined);
  }

  private checkOutFrom(
    instance: string,
    request: PendingRequest,
    minPosition: Position | undefined,
  ): Checkout | undefined {
    const pool = this.pools.get(instance);
    if (!pool) return undefined;
    const pooled = pool.hasWindow && pool.checkOut(request);
    if (!pooled) {
      this.connectFor(request, pool);
      return undefined;
    }
    const isPrimary = this.isPrimary(instance);
    const epoch = isPrimary ? this.primary.epoch : NO_EPOCH;
    return {pooled, isPrimary, epoch, minPosition};
  }

  private connectFor(request: PendingRequest, pool: MemberPool): void {
    const {user} = request;
    const limit = this.limits.limitOf(pool.member);
    // Connects in progress serve the requests ahead in the queue.
    if (pool.connectingCountOf(user) > this.demand.unservedCount) return;
    if (this.awaitsConnect(request) || !pool.canConnect(limit, user)) return;
    pool.connectWithin(limit, user);
    this.connects.set(request, pool.member.instance, this.now());
  }

  private awaitsConnect(request: PendingRequest): boolean {
    if (request.user === SHARED_USER) return false;
    const instance = this.connects.instanceFor(request, this.now());
    if (instance === undefined) return false;
    const pool = this.pools.get(instance);
    return pool !== undefined && pool.connectingCountOf(request.user) > 0;
  }

  private views(request: PendingRequest): MemberView[] {
    const {user} = request;
    const mayConnect = !this.awaitsConnect(request);
    return [...this.pools.values()].map(pool => {
      const isPrimary = this.isPrimary(pool.member.instance);
      return makeMemberView(pool, {user, mayConnect, isPrimary}, this.limits);
    });
  }

  private keepsIdle({member}: MemberPool): boolean {
    return this.limits.keepsIdle(member, this.isPrimary(member.instance));
  }

  private onReleased({pooled, isClean}: ReleasedConnection): void {
    const pool = this.pools.get(pooled.instance);
    if (pool) {
      pool.release(pooled, isClean);
      this.demand.trim(pool);
    } else pooled.link.close();
    this.dispatch();
  }

  // ---- Members ----

  private onObserved(observation: MemberObservation): void {
    const {instance, requestedAt, receivedAt, position, kind} = observation;
    const pool = this.pools.get(instance);
    if (!pool) return;
    if (kind === 'silent') {
      pool.onSilence();
      return this.assessPrimary();
    }
    if (kind === 'busy') pool.onBusy();
    else pool.onAnswer(receivedAt - requestedAt);
    if (position) pool.onLag(this.samples.minLagMs(position, requestedAt));
    if (kind === 'primary' && position) this.onPrimary(observation, position);
    if (kind === 'not primary' && this.primary.markDemoted(instance)) {
      const {service, log} = this.dependencies;
      log.info('A member reports that it is not primary.', {service, instance});
      this.assessPrimary();
    }
    this.dispatch();
  }

  /**
   * A member's report that it is primary counts only under a lease: a replaced
   * primary may not know yet, and lacks the newest commits.
   */
  private onPrimary(
    {instance, requestedAt, epoch}: MemberObservation,
    position: Position,
  ): void {
    const {leases, service} = this.dependencies;
    if (!this.isPrimary(instance) || !leases.isHeld(service, epoch)) return;
    this.samples.add(requestedAt, position);
    this.markPromoted('its own reply');
  }

  // ---- Verification without control ----

  private verify({epoch, term, timeoutMs, resolve}: VerificationRequest): void {
    const deadline = this.now() + timeoutMs;
    this.verifier.add({epoch, term, deadline, resolve});
    this.updateVerifier();
  }

  /** How long ago the lease on the current primary expired. */
  private get expiredMs(): number {
    const {leases, service} = this.dependencies;
    return leases.expiredForMs(service, this.primary.epoch);
  }

  /** Whether the lease has expired and the members may replace it. */
  private get needsVerification(): boolean {
    const {expiredMs} = this;
    return this.primary.isUsable && expiredMs > 0 && expiredMs < MAX_EXPIRED_MS;
  }

  private get hasRecentRequests(): boolean {
    return this.now() - this.lastRequestAt < RECENT_REQUEST_MS;
  }

  /** Whether a reply of the primary could be verified at present. */
  private get isVerifiable(): boolean {
    const {expiredMs} = this;
    if (expiredMs <= RENEWAL_GRACE_MS || expiredMs === Infinity) return true;
    return expiredMs < MAX_EXPIRED_MS && !this.verifier.isFailing;
  }

  private updateVerifier(): void {
    if (!this.needsVerification) return this.verifier.cancelAll();
    const isOld = this.now() - this.verifier.lastVerifiedAt > MAX_SAMPLE_AGE_MS;
    this.verifier.update(this.primary, this.hasRecentRequests && isOld);
  }

  private checkOutAny(instance: string): PooledConnection | undefined {
    const pool = this.pools.get(instance);
    const pooled = pool?.checkOutAny();
    if (!pooled && pool?.size === 0 && pool.canConnect(1)) {
      pool.connect(SHARED_USER);
    }
    return pooled;
  }

  private onVerified({
    instance,
    epoch,
    askedAt,
    status,
  }: VerifiedPrimary): void {
    if (!this.isPrimary(instance) || epoch !== this.primary.epoch) return;
    this.samples.add(askedAt, status.receivedPosition);
    this.postChange();
  }

  private markPromoted(source: string): void {
    if (this.primary.markPromoted(this.primary.instance)) this.logUse(source);
    this.assessPrimary();
  }

  private onAssignment({instance, epoch}: PrimaryAssignment): void {
    if (!this.primary.update(instance, epoch)) return;
    this.logUse('control');
    this.assessPrimary();
    this.dispatch();
  }

  private isPrimary(instance: string): boolean {
    return instance === this.primary.instance;
  }

  private logUse(source: string): void {
    const {service, log} = this.dependencies;
    const {instance, epoch} = this.primary;
    log.info('Started to use a primary.', {service, instance, epoch, source});
  }

  private onMembers(members: readonly Member[], peers: ConnectionPeers): void {
    this.limits.setPeers(peers);
    const own = members.filter(
      ({service}) => service === this.dependencies.service,
    );
    for (const member of own) this.onMember(member);
    for (const [instance, pool] of this.pools) {
      if (own.some(member => member.instance === instance)) continue;
      pool.closeAll();
      this.pools.delete(instance);
      this.dependencies.connectionQuota.removeMember(
        this.dependencies.service,
        instance,
      );
      const {service, log} = this.dependencies;
      log.info('Removed a member.', {service, instance});
    }
    this.assessPrimary();
    this.dispatch();
  }

  private onMember(member: Member): void {
    const existing = this.pools.get(member.instance);
    const {service, log, connector, clock} = this.dependencies;
    if (existing && existing.member.address === member.address) {
      const hasNewRole = member.role !== existing.member.role;
      existing.member = member;
      const isAssigned = this.isPrimary(member.instance);
      if (hasNewRole && isAssigned && claimsPrimary(member)) {
        this.markPromoted('its announcement');
      }
      return;
    }
    existing?.closeAll();
    const {instance, address, draining} = member;
    log.info('Added a member.', {service, instance, address, draining});
    const listener = {
      onDidChange: () => this.postChange(),
      onDidConnect: () => this.assessPrimary(),
      onDidFailToConnect: (name: string, failure: ConnectFailure) => {
        if (failure === 'too many connections') this.onMemberFull(name);
        this.assessPrimary();
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
    if (this.keepsIdle(pool)) pool.connect(SHARED_USER);
  }

  private onMemberFull(instance: string): void {
    const open = this.pools.get(instance)?.size ?? 0;
    this.dependencies.connectionQuota.onDidRefuseConnection(
      this.dependencies.service,
      instance,
      open,
    );
  }

  private postChange(): void {
    if (this.isChangePosted) return;
    this.isChangePosted = this.mailbox.post({kind: 'changed'});
  }

  /** Records outages, and reports when trouble with the primary changes. */
  private assessPrimary(): void {
    const {instance, isUsable} = this.primary;
    const pool = this.pools.get(instance);
    // No member is assigned for a moment while control replaces a primary.
    const isReplaced = instance === '' && this.primary.epoch > 0;
    const isDown = pool ? pool.isFailing || !this.isVerifiable : !isReplaced;
    const state = isUsable ? 'serving' : 'replaced';
    this.outage.setState(isDown ? 'unreachable' : state, this.now());
    const trouble = pool?.isFailing ? 'unreachable' : '';
    const assessment = `${instance} ${trouble}`;
    if (assessment === this.lastAssessment) return;
    this.lastAssessment = assessment;
    this.dependencies.onDidAssessPrimary(instance, trouble);
  }

  // ---- Time ----

  /** Whether there are no requests, outages or connections to check. */
  private get isQuiescent(): boolean {
    if (this.queue.size > 0 || this.hasRecentRequests) return false;
    if (this.outage.expectedEndAt(this.now()) !== undefined) return false;
    return [...this.pools.values()].every(pool => {
      return pool.isQuiescent(this.keepsIdle(pool));
    });
  }

  private onTick(): void {
    const now = this.now();
    for (const pool of this.pools.values()) {
      this.demand.trim(pool);
      const isKept = this.keepsIdle(pool);
      pool.closeIdle(this.limits.shareOf(pool.member), isKept);
      if (isKept && pool.size === 0 && pool.canConnect(1)) {
        pool.connect(SHARED_USER);
      }
    }
    this.assessPrimary();
    this.probeAssigned(now);
    this.queue.expire(now);
    this.updateVerifier();
    const hasRecentReads = now - this.lastReadAt < RECENT_REQUEST_MS;
    const isOld = now - this.samples.newestAskedAt > MAX_SAMPLE_AGE_MS;
    if (hasRecentReads && isOld) this.probePrimary();
    this.dispatch();
    this.demand.report(this.pools.values(), this.primary.instance);
  }

  private probePrimary(): void {
    if (!this.primary.isUsable) return;
    const pool = this.pools.get(this.primary.instance);
    if (pool) this.probeMember(pool);
  }

  /**
   * Probes whether the assigned member is primary by now. Control's notice
   * takes longer, and does not arrive while control has no leader.
   */
  private probeAssigned(now: number): void {
    if (this.outage.expectedEndAt(now) === undefined) return;
    if (now - this.probedAt < PROBE_INTERVAL_MS) return;
    this.probedAt = now;
    const pool = this.pools.get(this.primary.instance);
    if (pool && !this.primary.isUsable) this.probeMember(pool);
  }

  private probeMember(pool: MemberPool): void {
    if (this.probe.isRunning(pool.member.instance)) return;
    const pooled = pool.checkOutAny();
    if (pooled) return this.probe.start(pooled, this.primary.epoch);
    const limit = this.limits.limitOf(pool.member);
    if (pool.size === 0 && pool.canConnect(limit)) pool.connect(SHARED_USER);
  }

  private now(): number {
    return this.dependencies.clock.now();
  }
}

/** The epoch of members that are not primary. */
const NO_EPOCH = -1;
const NO_INSTANCES: ReadonlySet<string> = new Set();

function claimsPrimary({role}: Member): boolean {
  return role === ClaimedRole.CLAIMED_ROLE_PRIMARY;
}
