import type {Clock} from '../../../base/common/clock';
import type {Result} from '../../../base/common/outcome';
import type {Log} from '../../../base/node/log';
import {pause, settled, startTask, type Task} from '../../../base/node/task';
import type {Member} from '../../../schema/generated/fleet';
import {chooseHeir, type MemberAnswer} from '../common/heir';
import {judgePrimary} from '../common/verdict';
import type {MemberStatus, MemberWatch} from './member_watch';
import type {PromotionAuthority} from './promotion_authority';

/** What proxies say of a service's primary. */
export interface Complaints {
  readonly proxies: number;
  readonly complaints: number;
  /** For how long at least half complained, in milliseconds. */
  readonly complainedMs: number;
}

/** What a driver is built on; it lives as long as one leadership. */
export interface PromotionSurroundings {
  readonly service: string;
  readonly holder: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly authority: PromotionAuthority;
  /** Members whose logs count, by the control log and their announcements. */
  members(): readonly Member[];
  /** The member that leads, as far as is known. */
  primary(): Member | undefined;
  watchOf(member: Member): MemberWatch;
  complaintsOf(instance: string): Complaints;
  /** Puts the intent into the control log; its index is the token. */
  begin(): Promise<Result<number, string>>;
  onDidPromote(instance: string): void;
}

const LOOK_MS = 100;
/** An order without an answer is repeated, in milliseconds. */
const REPEAT_MS = 250;
/** After an accepted order the member shows that it leads within this. */
const SETTLE_MS = 4_000;
const SETTLE_LOOK_MS = 50;
/** The same reason to wait is logged at most this often, in milliseconds. */
const SAY_AGAIN_MS = 2_000;
/** A new leader first lets the proxies come and say what they see, in ms. */
const WARM_UP_MS = 700;
/** A primary that was silent for longer is not asked to step down, in ms. */
const STEP_DOWN_SILENCE_MS = 400;

/** The task that replaces the primary of one service when it has to be. */
export class PromotionDriver {
  private said = {text: '', at: -Infinity};
  private readonly startedAt: number;
  /** Replicas may be stopped by this leader or by one before it. */
  private mayBeStopped = true;

  constructor(private readonly around: PromotionSurroundings) {
    this.startedAt = around.clock.now();
  }

  start(signal: AbortSignal): Promise<void> {
    const {service} = this.around;
    return startTask(`promotion ${service}`, () => this.run(signal));
  }

  private *run(signal: AbortSignal): Task<void> {
    while (!signal.aborted) {
      yield* pause(LOOK_MS);
      const reason = this.reasonToReplace();
      if (reason) yield* this.replace(reason, signal);
      else if (this.mayBeStopped) yield* this.resume();
    }
  }

  private reasonToReplace(): string | undefined {
    const primary = this.around.primary();
    const warm = this.around.clock.now() - this.startedAt >= WARM_UP_MS;
    if (!primary) return undefined;
    const watch = this.around.watchOf(primary);
    const verdict = judgePrimary({
      silentMs: watch.silentMs,
      refused: watch.refused,
      draining: primary.draining,
      ...this.around.complaintsOf(primary.instance),
    });
    if (verdict.kind === 'keep') return undefined;
    return warm || primary.draining ? verdict.reason : undefined;
  }

  /** Replicas that were stopped for a change that did not come receive again. */
  private *resume(): Task<void> {
    const primary = this.around.primary();
    if (!primary) return;
    const others = this.around
      .members()
      .filter(({instance}) => instance !== primary.instance);
    const statuses = yield* this.orderAll(others, {kind: 'resume'});
    this.mayBeStopped = statuses.some(status => status === undefined);
  }

  private *replace(reason: string, signal: AbortSignal): Task<void> {
    const {around} = this;
    const old = around.primary()!;
    const fields = {service: around.service, primary: old.instance, reason};
    const begun = yield* settled(around.begin());
    if (!('value' in begun) || begun.value.isErr) {
      return this.say('Cannot begin a promotion without a majority.', fields);
    }
    const token = begun.value.value;
    this.mayBeStopped = true;
    const heir = yield* this.findHeir(old, fields);
    if (!heir || signal.aborted) return;
    around.log.info('Promotes.', {...fields, heir, token});
    yield* this.promote(heir, token, signal);
  }

  private *findHeir(
    old: Member,
    fields: Record<string, string>,
  ): Task<string | undefined> {
    const {around} = this;
    const members = around.members();
    const terms = members.map(member => around.watchOf(member).term);
    const term = Math.max(0, ...terms) + 1;
    const stepped = yield* this.stepDown(old, term);
    const hasSteppedDown = stepped !== undefined && !stepped.leads;
    const others = members.filter(({instance}) => instance !== old.instance);
    // After the old primary stepped down nothing new is acknowledged, and its
    // replicas may catch up; otherwise they have to stop before they count.
    const statuses = yield* this.orderAll(
      others,
      hasSteppedDown ? {kind: 'status'} : {kind: 'pause', term},
    );
    const replicas = others.map((member, index) => {
      return answerOf(member, statuses[index]);
    });
    const oldPrimary = answerOf(old, hasSteppedDown ? stepped : undefined);
    const choice = chooseHeir({oldPrimary, replicas});
    const answers = [oldPrimary, ...replicas].map(describe).join(' ');
    if (choice.kind === 'wait') {
      const why = choice.reason;
      this.say('Cannot promote safely.', {...fields, why, answers});
      return undefined;
    }
    const {log} = around;
    log.info('Compared the logs.', {...fields, answers, heir: choice.instance});
    return choice.instance;
  }

  private *stepDown(old: Member, term: number): Task<MemberStatus | undefined> {
    const watch = this.around.watchOf(old);
    // Waiting for the word of one that is gone would only add to the gap.
    if (watch.silentMs > STEP_DOWN_SILENCE_MS) return undefined;
    const [status] = yield* this.orderAll([old], {kind: 'stepDown', term});
    return status;
  }

  private *orderAll(
    members: readonly Member[],
    statement: Parameters<MemberWatch['order']>[0],
  ): Task<(MemberStatus | undefined)[]> {
    const orders = members.map(member => {
      return this.around.watchOf(member).order(statement);
    });
    const statuses: (MemberStatus | undefined)[] = [];
    for (const order of orders) {
      const done = yield* settled(order);
      statuses.push('value' in done ? done.value : undefined);
    }
    return statuses;
  }

  /**
   * Repeats one order until it is answered or the member leads. The same token
   * each time: a copy that is carried out late names the same member, and the
   * next decision's higher token shuts it out.
   */
  private *promote(
    instance: string,
    token: number,
    signal: AbortSignal,
  ): Task<void> {
    const {service, holder, clock, log, authority} = this.around;
    const order = {service, instance, holder, token};
    const until = clock.now() + SETTLE_MS;
    let accepted = false;
    let next = -Infinity;
    while (clock.now() < until && !signal.aborted) {
      if (!accepted && clock.now() >= next) {
        const done = yield* settled(authority.promote(order, signal));
        const outcome = 'value' in done ? done.value : 'unknown';
        log.info('Ordered a promotion.', {service, instance, token, outcome});
        if (outcome === 'refused') return;
        accepted = outcome === 'accepted';
        next = clock.now() + REPEAT_MS;
      }
      if (yield* this.leads(instance)) {
        log.info('A member leads.', {service, instance, token});
        this.around.onDidPromote(instance);
        return;
      }
      yield* pause(SETTLE_LOOK_MS);
    }
  }

  private *leads(instance: string): Task<boolean> {
    const member = this.around.members().find(other => {
      return other.instance === instance;
    });
    if (!member) return false;
    const [status] = yield* this.orderAll([member], {kind: 'status'});
    return status?.leads === true;
  }

  private say(sentence: string, fields: Record<string, string>): void {
    const text = `${sentence} ${fields['why'] ?? ''}`;
    const now = this.around.clock.now();
    if (text === this.said.text && now - this.said.at < SAY_AGAIN_MS) return;
    this.said = {text, at: now};
    this.around.log.warn(sentence, fields);
  }
}

function answerOf(
  {instance, draining}: Member,
  status: MemberStatus | undefined,
): MemberAnswer {
  return {instance, draining, received: status?.received};
}

function describe({instance, received}: MemberAnswer): string {
  const at = received ? `${received.term}/${received.offset}` : 'silent';
  return `${instance}:${at}`;
}
