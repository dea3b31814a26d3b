import type {Clock} from '../../../base/common/clock';
import {err, ok, type Result} from '../../../base/common/outcome';
import {pause, settled, type Task} from '../../../base/node/task';
import type {AccountEntry, CounterEntry} from '../../../schema/generated/fleet';
import type {
  GrantedPermits,
  PermitCache,
  PermitDecision,
  PermitLookup,
  RefusedPermit,
} from '../common/permit_counting';
import {PermitQuestion} from '../common/refusal_tracker';
import type {CounterClient} from './counter_directory';
import type {OperationLimits, LimitRefusal} from './operation_limits';

/**
 * A link that is being opened is waited for so long, in milliseconds, before a
 * counter of another region is asked.
 */
const CONNECT_WAIT_MS = 60;
/** While no counter can be asked, one is looked for this often, in ms. */
const LOOK_MS = 15;
/** Where none decided on an account they are asked again, in ms. */
const ROUND_MS = 100;
/**
 * Whoever found no counter is asked to come back after this, in milliseconds:
 * links are opened anew, and counters get their shares, within about that.
 */
const NO_COUNTER_RETRY_MS = 200;

/** The newest word of a counter about an account. */
interface Word {
  readonly counter: string;
  readonly answer: string;
  readonly at: number;
}

type Asking = Extract<PermitLookup, {kind: 'ask'}>;

/** A decision, and since when it counts. */
interface Decided {
  readonly decision: GrantedPermits | RefusedPermit;
  readonly askedAt: number;
}

/**
 * Keeps accounts to their limits at the proxy that their callers came to: by
 * permits in hand, by what a counter said a moment ago, or by asking one.
 */
export class AccountLimits implements OperationLimits {
  private limited: ReadonlySet<string> = new Set();
  private readonly words = new Map<string, Word>();
  /** Who granted last, to give back what did not run. */
  private readonly granters = new Map<string, string>();

  constructor(
    private readonly book: PermitCache,
    private readonly counters: CounterClient,
    private readonly clock: Clock,
  ) {}

  /** Takes the accounts in force; those without a limit are never asked for. */
  setAccounts(accounts: readonly AccountEntry[]): void {
    const limited = accounts.filter(({limit}) => limit !== undefined);
    this.limited = new Set(limited.map(({account}) => account));
    for (const kept of [this.words, this.granters]) {
      for (const account of kept.keys()) {
        if (!this.limited.has(account)) kept.delete(account);
      }
    }
  }

  *admit(account: string, deadline: number): Task<Result<void, LimitRefusal>> {
    if (!this.limited.has(account)) return ok(undefined);
    const known = this.book.tryTake(account, this.clock.now());
    switch (known.kind) {
      case 'taken':
        return ok(undefined);
      case 'refused':
        return this.refuse(account, known.retryAfterMs);
      case 'ask':
        return yield* this.askFor(account, known, deadline);
    }
  }

  refund(account: string): void {
    if (!this.limited.has(account)) return;
    if (this.book.returnPermit(account, this.clock.now())) return;
    const granter = this.granters.get(account);
    if (granter !== undefined) this.counters.returnPermits(granter, account, 1);
  }

  private *askFor(
    account: string,
    asking: Asking,
    deadline: number,
  ): Task<Result<void, LimitRefusal>> {
    const decided = yield* this.decide(account, asking, deadline);
    if (!decided) return this.refuseWithoutCounter(account);
    const {decision, askedAt} = decided;
    const now = this.clock.now();
    this.book.onDidReceiveDecision(account, askedAt, decision, now);
    if (decision.kind === 'refused') {
      return this.refuse(account, decision.retryAfterMs);
    }
    const {waitMs, validMs} = decision;
    if (waitMs <= 0) return ok(undefined);
    const isInTime = now + waitMs <= deadline;
    if (isInTime) yield* pause(waitMs);
    const isValid = this.clock.now() <= askedAt + validMs + waitMs;
    if (isInTime && isValid) return ok(undefined);
    this.refund(account);
    return this.refuse(account, waitMs);
  }

  /** Asks one counter after the other; undefined where none decides in time. */
  private *decide(
    account: string,
    {wanted, further}: Asking,
    deadline: number,
  ): Task<Decided | undefined> {
    const {clock, counters} = this;
    const since = clock.now();
    const passed = new Set<string>();
    const question = new PermitQuestion(further);
    while (clock.now() < deadline && question.mayGoOn) {
      const askedAt = clock.now();
      const mayWait = askedAt - since < CONNECT_WAIT_MS;
      const counter = counters.choose(account, {
        excluded: passed,
        canWaitForLink: mayWait,
      });
      if (counter === undefined) {
        if (question.refusalAt(askedAt)) break;
        yield* pause(passed.size > 0 ? ROUND_MS : LOOK_MS);
        passed.clear();
      } else if (counter === 'soon') {
        yield* pause(LOOK_MS);
      } else {
        passed.add(counter.instance);
        const decision = yield* this.askOne(counter, account, wanted);
        if (decision?.kind === 'granted') return {decision, askedAt};
        if (decision?.kind === 'refused') question.onRefused(askedAt, decision);
      }
    }
    const now = clock.now();
    const refusal = question.refusalAt(now);
    return refusal && {decision: refusal, askedAt: now};
  }

  /**
   * Guard: a proxy that was frozen reads answers of seconds ago. Run then, its
   * operations would come on top of what the counter granted since, and an
   * account would run beyond its limit.
   */
  private *askOne(
    counter: CounterEntry,
    account: string,
    wanted: number,
  ): Task<PermitDecision | undefined> {
    const {instance} = counter;
    const askedAt = this.clock.now();
    const asked = this.counters.requestPermits(counter, account, wanted);
    const done = yield* settled(asked);
    const decision = 'value' in done ? done.value : undefined;
    const answer = describe(decision);
    const at = this.clock.now();
    this.words.set(account, {counter: instance, answer, at});
    if (decision?.kind !== 'granted') return decision;
    if (at > askedAt + decision.validMs) {
      this.counters.returnPermits(instance, account, decision.count);
      return undefined;
    }
    this.granters.set(account, instance);
    return decision;
  }

  private refuse(
    account: string,
    retryAfterMs: number,
  ): Result<void, LimitRefusal> {
    const whole = Math.ceil(retryAfterMs);
    const detail = this.detailOf(account);
    return err({reason: 'over its limit', retryAfterMs: whole, detail});
  }

  private refuseWithoutCounter(account: string): Result<void, LimitRefusal> {
    const detail = this.detailOf(account);
    const retryAfterMs = NO_COUNTER_RETRY_MS;
    return err({reason: 'no counter', retryAfterMs, detail});
  }

  /** What decided: the counter's newest word, and how old it is. */
  private detailOf(account: string): string {
    const word = this.words.get(account);
    if (!word) return 'counter=none';
    const age = Math.round(this.clock.now() - word.at);
    return `counter=${word.counter} answer="${word.answer}" age=${age}ms`;
  }
}

function describe(decision: PermitDecision | undefined): string {
  switch (decision?.kind) {
    case 'granted':
      return `${decision.count} after ${decision.waitMs} ms`;
    case 'refused':
      return `room in ${decision.retryAfterMs} ms`;
    default:
      return decision?.kind ?? 'no answer';
  }
}
