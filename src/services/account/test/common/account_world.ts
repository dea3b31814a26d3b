import {ManualClock} from '../../../../base/common/clock';
import type {SeededRandom} from '../../../../base/common/random';
import type {AccountEntry} from '../../../../schema/generated/fleet';
import {AccountLedger} from '../../common/account_ledger';
import {AccountThrottle} from '../../common/account_throttle';

const RENEW_MS = 400;
const PUSH_MS = 250;
const STEP_MS = 10;

/** As on the users' sheet. */
export const PRECISION = {windowMs: 5_000, excess: 0.1, slack: 20};

/** One proxy, as far as limits are concerned. */
export class Runner {
  throttle: AccountThrottle;
  /** No word goes to or from control. */
  isCut = false;
  renewsAt: number;

  constructor(
    readonly name: string,
    private readonly world: AccountWorld,
    firstRenewal: number,
  ) {
    this.throttle = world.makeThrottle();
    this.renewsAt = firstRenewal;
  }

  /** The process starts anew and knows nothing. */
  restart(): void {
    this.throttle = this.world.makeThrottle();
    this.world.ledger.forgetTold(this.name);
  }
}

/** Proxies, a leader of control and the callers of one account "fern". */
export class AccountWorld {
  readonly clock = new ManualClock();
  readonly runners: Runner[];
  ledger = new AccountLedger(-Infinity, PRECISION);
  /** When operations ran, in milliseconds. */
  readonly ran: number[] = [];
  refused = 0;
  private readonly inFlight: {at: number; deliver: () => void}[] = [];
  private pushedAt = 0;
  private due = 0;

  constructor(
    private readonly random: SeededRandom,
    count: number,
    private limit: {perSecond: number; burst: number},
  ) {
    this.runners = Array.from({length: count}, (...[, at]) => {
      return new Runner(`p${at}`, this, random.integer(0, RENEW_MS));
    });
    this.setLimit(limit);
  }

  makeThrottle(): AccountThrottle {
    const throttle = new AccountThrottle(this.clock);
    throttle.setAccounts(this.accounts());
    throttle.onDidHear();
    return throttle;
  }

  setLimit(limit: {perSecond: number; burst: number}): void {
    this.limit = limit;
    this.ledger.setAccounts(this.accounts(), this.clock.now());
    for (const runner of this.runners) {
      runner.throttle.setAccounts(this.accounts());
    }
  }

  /** Another instance leads control, and knows nothing of what ran. */
  changeLeader(): void {
    this.ledger = new AccountLedger(this.clock.now(), PRECISION);
    this.ledger.setAccounts(this.accounts(), this.clock.now());
  }

  /** Lets callers ask at a rate for some time. */
  run(milliseconds: number, perSecond: number): void {
    for (let passed = 0; passed < milliseconds; passed += STEP_MS) {
      this.clock.advance(STEP_MS);
      this.deliver();
      this.push();
      for (const runner of this.runners) this.renew(runner);
      this.due += (perSecond * STEP_MS) / 1_000;
      for (; this.due >= 1; this.due--) this.ask();
    }
  }

  /** The most that ran in any span of a length, from a time on. */
  mostWithin(windowMs: number, from = 0): number {
    const times = this.ran.filter(at => at >= from);
    let most = 0;
    let first = 0;
    for (const [last, at] of times.entries()) {
      while (at - times[first]! > windowMs) first++;
      most = Math.max(most, last - first + 1);
    }
    return most;
  }

  private accounts(): AccountEntry[] {
    return [{account: 'fern', keyDigests: [], limit: this.limit}];
  }

  private ask(): void {
    const at = this.random.integer(0, this.runners.length - 1);
    const {throttle} = this.runners[at]!;
    if (throttle.admit('fern').isOk) this.ran.push(this.clock.now());
    else this.refused++;
  }

  private renew(runner: Runner): void {
    const now = this.clock.now();
    if (now < runner.renewsAt) return;
    runner.renewsAt = now + RENEW_MS;
    if (runner.isCut) return;
    const {throttle, name} = runner;
    const uses = throttle.takeReport();
    this.send(() => {
      this.ledger.report(name, uses, this.clock.now());
      this.tell(runner);
      this.send(() => throttle.onDidHear());
    });
  }

  private push(): void {
    const now = this.clock.now();
    if (now - this.pushedAt < PUSH_MS) return;
    this.pushedAt = now;
    this.ledger.judge(now);
    for (const runner of this.runners) this.tell(runner);
  }

  private tell(runner: Runner): void {
    if (runner.isCut) return;
    const shares = this.ledger.sharesFor(runner.name, this.clock.now());
    const {throttle} = runner;
    if (shares) this.send(() => throttle.setShares(shares));
  }

  /** Ways between sites take up to 22 ms. */
  private send(deliver: () => void): void {
    const at = this.clock.now() + this.random.integer(1, 22);
    this.inFlight.push({at, deliver});
  }

  private deliver(): void {
    const now = this.clock.now();
    const arrived = this.inFlight.filter(({at}) => at <= now);
    const later = this.inFlight.filter(({at}) => at > now);
    this.inFlight.splice(0, this.inFlight.length, ...later);
    for (const {deliver} of arrived) deliver();
  }
}
