import type {Clock} from '../../../base/common/clock';
import {err, ok, type Result} from '../../../base/common/result';
import {sleep, settled, type Task} from '../../../base/node/task';
import type {AccountEntry, CounterEntry} from '../../../schema/generated/fleet';
import type {
  GrantedPermits,
  PermitCache,
  PermitDecision,
  PermitLookup,
  RefusedPermit,
} from '../common/permit_counting';
import {RefusalTracker} from '../common/refusal_tracker';
import type {CounterClient} from './counter_directory';
import type {LimitRefusal, OperationLimits} from './operation_limits';

/** Then a counter of another region gets the request instead. */
const MAX_LINK_WAIT_MS = 60;
/** Interval of checks for a counter while none is available. */
const POLL_INTERVAL_MS = 15;
/** Time until all counters are tried again if none made a decision. */
const ROUND_INTERVAL_MS = 100;
/** Long enough to reopen a link, or for a new counter to get its shares. */
const NO_COUNTER_RETRY_MS = 200;
/** How long an operation waits until a counter can get its request. */
const MAX_BUSY_WAIT_MS = 120;
/** Spreads the operations out that counters cannot decide on in time. */
const BUSY_RETRY_MS = 1_000;

/** The last answer of a counter about an account, for the log. */
interface LastAnswer {
  readonly counter: string;
  readonly answer: string;
  readonly receivedAt: number;
}

type PermitRequest = Extract<PermitLookup, {kind: 'request'}>;

/** Why no counter made a decision. */
type NoDecision = 'no counter' | 'counters busy';

interface TimedDecision {
  readonly decision: GrantedPermits | RefusedPermit;
  readonly requestedAt: number;
}

/**
 * Applies the limits of accounts at the proxy that their callers connect to:
 * with cached permits, with a cached refusal, or by a request to a counter.
 */
export class AccountLimits implements OperationLimits {
  private limitedAccounts: ReadonlySet<string> = new Set();
  private readonly lastAnswers = new Map<string, LastAnswer>();
  /** The instance that last granted permits, by account. */
  private readonly lastGranters = new Map<string, string>();

  constructor(
    private readonly permits: PermitCache,
    private readonly counters: CounterClient,
    private readonly clock: Clock,
  ) {}

  /** Takes the accounts of a catalog; those without a limit always pass. */
  setAccounts(accounts: readonly AccountEntry[]): void {
    const limited = accounts.filter(({limit}) => limit !== undefined);
    this.limitedAccounts = new Set(limited.map(({account}) => account));
    for (const byAccount of [this.lastAnswers, this.lastGranters]) {
      for (const account of byAccount.keys()) {
        if (!this.limitedAccounts.has(account)) byAccount.delete(account);
      }
    }
  }

  *admit(account: string, deadline: number): Task<Result<void, LimitRefusal>> {
    if (!this.limitedAccounts.has(account)) return ok(undefined);
    const lookup = this.permits.tryTake(account, this.clock.now());
    switch (lookup.kind) {
      case 'taken':
        return ok(undefined);
      case 'refused':
        return this.refuse(account, lookup.retryAfterMs);
      case 'request':
        return yield* this.requestPermits(account, lookup, deadline);
    }
  }

  refund(account: string): void {
    if (!this.limitedAccounts.has(account)) return;
    if (this.permits.returnPermit(account, this.clock.now())) return;
    const granter = this.lastGranters.get(account);
    if (granter !== undefined) this.counters.returnPermits(granter, account, 1);
  }

  private *requestPermits(
    account: string,
    request: PermitRequest,
    deadline: number,
  ): Task<Result<void, LimitRefusal>> {
    const decided = yield* this.requestDecision(account, request, deadline);
    if (typeof decided === 'string') {
      return this.refuseWithoutDecision(account, decided);
    }
    const {decision, requestedAt} = decided;
    const now = this.clock.now();
    this.permits.onDidReceiveDecision(account, requestedAt, decision, now);
    if (decision.kind === 'refused') {
      return this.refuse(account, decision.retryAfterMs);
    }
    const {waitMs, validMs} = decision;
    if (waitMs <= 0) return ok(undefined);
    const isInTime = now + waitMs <= deadline;
    if (isInTime) yield* sleep(waitMs);
    const isValid = this.clock.now() <= requestedAt + validMs + waitMs;
    if (isInTime && isValid) return ok(undefined);
    this.refund(account);
    return this.refuse(account, waitMs);
  }

  /** Tries counters in turn until one decides, at most until the deadline. */
  private *requestDecision(
    account: string,
    {wanted, maxFurtherCounters}: PermitRequest,
    deadline: number,
  ): Task<TimedDecision | NoDecision> {
    const {clock, counters} = this;
    const startedAt = clock.now();
    const excluded = new Set<string>();
    const refusals = new RefusalTracker(maxFurtherCounters);
    while (clock.now() < deadline && refusals.canTryAnother) {
      const requestedAt = clock.now();
      const canWaitForLink = requestedAt - startedAt < MAX_LINK_WAIT_MS;
      const counter = counters.choose(account, {excluded, canWaitForLink});
      if (counter === 'busy') {
        if (refusals.refusalAt(requestedAt)) break;
        if (requestedAt - startedAt >= MAX_BUSY_WAIT_MS) {
          counters.onDidWithhold();
          return 'counters busy';
        }
        yield* sleep(POLL_INTERVAL_MS);
      } else if (counter === undefined) {
        if (refusals.refusalAt(requestedAt)) break;
        yield* sleep(excluded.size > 0 ? ROUND_INTERVAL_MS : POLL_INTERVAL_MS);
        excluded.clear();
      } else if (counter === 'connecting') {
        yield* sleep(POLL_INTERVAL_MS);
      } else {
        excluded.add(counter.instance);
        const decision = yield* this.requestFrom(counter, account, wanted);
        if (decision?.kind === 'granted') return {decision, requestedAt};
        if (decision?.kind === 'refused') refusals.add(requestedAt, decision);
      }
    }
    const now = clock.now();
    const refusal = refusals.refusalAt(now);
    if (!refusal) return 'no counter';
    return {decision: refusal, requestedAt: now};
  }

  /**
   * Guard: a proxy that was frozen reads answers that are seconds old. Used
   * then, their permits would add to what the counter granted since, and the
   * account would exceed its limit.
   */
  private *requestFrom(
    counter: CounterEntry,
    account: string,
    wanted: number,
  ): Task<PermitDecision | undefined> {
    const {instance} = counter;
    const requestedAt = this.clock.now();
    const pending = this.counters.requestPermits(counter, account, wanted);
    const done = yield* settled(pending);
    const decision = 'value' in done ? done.value : undefined;
    const answer = describe(decision);
    const receivedAt = this.clock.now();
    this.lastAnswers.set(account, {counter: instance, answer, receivedAt});
    if (decision?.kind !== 'granted') return decision;
    if (receivedAt > requestedAt + decision.validMs) {
      this.counters.returnPermits(instance, account, decision.count);
      return undefined;
    }
    this.lastGranters.set(account, instance);
    return decision;
  }

  private refuse(
    account: string,
    retryAfterMs: number,
  ): Result<void, LimitRefusal> {
    const rounded = Math.ceil(retryAfterMs);
    const detail = this.detailOf(account);
    return err({reason: 'over its limit', retryAfterMs: rounded, detail});
  }

  private refuseWithoutDecision(
    account: string,
    reason: NoDecision,
  ): Result<void, LimitRefusal> {
    const detail = this.detailOf(account);
    const retryAfterMs =
      reason === 'counters busy' ? BUSY_RETRY_MS : NO_COUNTER_RETRY_MS;
    return err({reason, retryAfterMs, detail});
  }

  private detailOf(account: string): string {
    const last = this.lastAnswers.get(account);
    if (!last) return 'counter=none';
    const age = Math.round(this.clock.now() - last.receivedAt);
    return `counter=${last.counter} answer="${last.answer}" age=${age}ms`;
  }
}

function describe(decision: PermitDecision | undefined): string {
  switch (decision?.kind) {
    case 'granted':
      return `${decision.count} after ${decision.waitMs} ms`;
    case 'refused':
      return `retry after ${decision.retryAfterMs} ms`;
    default:
      return decision?.kind ?? 'no answer';
  }
}
