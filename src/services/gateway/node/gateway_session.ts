import {after} from '../../../base/node/timers';
import {Mailbox, startTask, type Task} from '../../../base/node/task';
import type {DatabaseRoute} from '../../../schema/generated/fleet';
import {
  DONE_LOCALLY,
  failure,
  type Statement,
  type StatementResult,
} from '../../statement/common/statement';
import type {CallerChannel, CallerRequest} from '../common/caller_channel';
import type {AccessDenial, CallerAccess} from '../common/caller_access';
import {BEGIN_OUTCOME, type StatementOutcome} from './local_transaction';
import type {SessionContext} from './session_context';
import type {MemberStatement} from './statement_preparation';
import type {SessionTransaction} from './statement_runner';

/** What a session is told. */
export type SessionMessage =
  | {
      readonly kind: 'request';
      readonly request: CallerRequest;
      readonly receivedAt: number;
    }
  /** The transaction rested too long. */
  | {readonly kind: 'rested'; readonly transaction: SessionTransaction}
  /** What its caller may do may have changed. */
  | {readonly kind: 'check'}
  /** End as soon as nothing of the session is under way. */
  | {readonly kind: 'drain'}
  /** End the open transaction too. */
  | {readonly kind: 'cut'};

/** Requests that a caller may send ahead of their answers. */
const MOST_AHEAD = 64;

/**
 * An instance that lost control asks for it again at least as often, in
 * milliseconds; nobody knows when it will be there.
 */
const UNCONFIRMED_MS = 300;

/** The task of one caller's session. */
export class GatewaySession {
  private readonly mailbox = new Mailbox<SessionMessage>(MOST_AHEAD);
  private transaction: SessionTransaction | undefined;
  private cancelRest = () => {};
  private draining = false;
  private hasServed = false;

  constructor(
    private readonly context: SessionContext,
    private readonly admission: Pick<CallerAccess, 'database' | 'denial'>,
    private readonly channel: CallerChannel,
    private readonly restLimitMs: () => number,
  ) {}

  /** Runs until the caller is gone or the session was told to end. */
  start(): Promise<void> {
    const {signal} = this.context;
    signal.addEventListener('abort', () => this.mailbox.close(), {once: true});
    return startTask('session', () => this.run());
  }

  /** False where the caller sends further ahead than it may. */
  post(message: SessionMessage): boolean {
    return this.mailbox.post(message);
  }

  /**
   * Guard: a session that began while this instance stops has its first
   * request on the way. Closing it at rest would cut that request off; it is
   * closed with its first answer instead.
   */
  private get mayClose(): boolean {
    return this.draining && this.hasServed && !this.transaction;
  }

  private *run(): Task<void> {
    for (;;) {
      const message = yield* this.mailbox.receive();
      if (!message) break;
      yield* this.handle(message);
      if (this.mayClose) this.channel.close();
    }
    this.cancelRest();
    // The caller left: what it did not commit is not kept.
    this.transaction?.abort('the caller left');
  }

  private *handle(message: SessionMessage): Task<void> {
    switch (message.kind) {
      case 'request':
        return yield* this.onRequest(message.request, message.receivedAt);
      case 'rested':
        if (message.transaction !== this.transaction) return;
        return this.transaction.abort('it rested too long');
      case 'check':
        return this.checkAccess();
      case 'drain':
        this.draining = true;
        return;
      case 'cut':
        this.draining = true;
        this.hasServed = true;
        this.transaction?.abort('this instance stops');
        return;
    }
  }

  private *onRequest(
    {requestId, statement}: CallerRequest,
    since: number,
  ): Task<void> {
    this.cancelRest();
    const denied = this.deny(requestId);
    const {result, state} =
      denied ?? (yield* this.stepOf(requestId, statement, since));
    if (state !== 'idle') this.watchRest();
    const position = this.context.sessionState.lastCommit?.position;
    // What follows a prepared statement or a value is on its way already.
    this.hasServed ||= result.kind === 'error' || result.signature !== '';
    this.channel.answer({result, state, position});
    const route = this.context.route();
    if (!route) return;
    const tookMs = this.context.clock.now() - since;
    const {user, telemetry} = this.context;
    telemetry.recordAnswer(user, route, result, tookMs);
  }

  /**
   * Refuses a statement that its caller may not run. Looked at once it is
   * handled, after whatever it waited for: a key that was withdrawn meanwhile
   * no longer counts.
   */
  private deny(requestId: string): StatementOutcome | undefined {
    const denial = this.admission.denial();
    if (!denial) return undefined;
    this.context.telemetry.recordUnauthorized(
      requestId,
      this.context.caller,
      denial,
    );
    const wasOpen = this.endForbidden(denial);
    // Only what this instance cannot confirm may be allowed again here.
    if (denial !== 'unconfirmed') this.endAtRest();
    const {database} = this.admission;
    const result = denialResult(denial, database, wasOpen);
    return {result, state: 'idle'};
  }

  /** Undoes the transaction of a caller that may not go on with it. */
  private endForbidden(denial: AccessDenial): boolean {
    const {transaction} = this;
    transaction?.abort(denial);
    this.transaction = undefined;
    return transaction !== undefined;
  }

  /** Gives back at once what a caller holds whose key was withdrawn. */
  private checkAccess(): void {
    const denial = this.admission.denial();
    if (!denial || denial === 'unconfirmed') return;
    // The caller hears why with its next statement.
    if (this.transaction) return this.transaction.abort(denial);
    this.endAtRest();
  }

  private endAtRest(): void {
    this.draining = true;
    this.hasServed = true;
  }

  private *stepOf(
    requestId: string,
    statement: Statement | undefined,
    since: number,
  ): Task<StatementOutcome> {
    if (!statement) return this.here(failure('bad message', 'no statement'));
    const {transaction} = this;
    if (transaction) {
      return yield* this.inTransaction(transaction, requestId, statement);
    }
    const route = this.context.route();
    if (!route) {
      return this.here(failure('unknown database', 'the route was dropped'));
    }
    switch (statement.kind) {
      case 'begin':
        this.transaction = this.context
          .runnerOf(route.service)
          .beginTransaction(this.context, route, statement.readOnly, since);
        return BEGIN_OUTCOME;
      case 'commit':
      case 'rollback':
        return this.here(failure('bad message', 'no transaction is open'));
      default:
        return this.here(
          yield* this.runAlone(requestId, statement, route, since),
        );
    }
  }

  private *runAlone(
    requestId: string,
    statement: Exclude<Statement, {kind: 'begin' | 'commit' | 'rollback'}>,
    route: DatabaseRoute,
    since: number,
  ): Task<StatementResult> {
    const local = this.runHere(statement);
    if (local) return local;
    const work = statement as MemberStatement;
    const isWrite = this.isWrite(work);
    if (isWrite === undefined) return unknownName(work);
    const request = {requestId, statement: work, isWrite, route, since};
    const runner = this.context.runnerOf(route.service);
    return yield* runner.runStatement(this.context, request);
  }

  private *inTransaction(
    transaction: SessionTransaction,
    requestId: string,
    statement: Statement,
  ): Task<StatementOutcome> {
    switch (statement.kind) {
      case 'begin':
        return {
          result: failure('bad message', 'a transaction is open'),
          state: 'open',
        };
      case 'commit': {
        const step = yield* transaction.commit(requestId);
        this.transaction = undefined;
        return step;
      }
      case 'rollback':
        yield* transaction.rollback();
        this.transaction = undefined;
        return {result: DONE_LOCALLY, state: 'idle'};
      default: {
        const local = this.runHere(statement);
        if (local) return {result: local, state: transaction.state};
        const work = statement as MemberStatement;
        const isWrite = this.isWrite(work);
        if (isWrite === undefined) {
          return {result: unknownName(work), state: transaction.state};
        }
        return yield* transaction.run(requestId, work, isWrite);
      }
    }
  }

  /** Statements that need no member; undefined for the others. */
  private runHere(statement: Statement): StatementResult | undefined {
    const {sessionState} = this.context;
    switch (statement.kind) {
      case 'set':
        return sessionState.setValue(statement.name, statement.value)
          ? DONE_LOCALLY
          : failure('busy', 'too many values');
      case 'prepare': {
        const {name, action, shape} = statement;
        return sessionState.prepare(name, {action, shape})
          ? DONE_LOCALLY
          : failure('busy', 'too many prepared statements');
      }
      case 'deallocate':
        return sessionState.deallocate(statement.name)
          ? DONE_LOCALLY
          : failure('unknown name', `no statement ${statement.name}`);
      default:
        return undefined;
    }
  }

  private isWrite(statement: MemberStatement): boolean | undefined {
    if (statement.kind !== 'execute') return statement.kind === 'write';
    const known = this.context.sessionState.findPrepared(statement.name);
    return known && known.action === 'write';
  }

  private here(result: StatementResult): StatementOutcome {
    return {result, state: this.transaction ? 'open' : 'idle'};
  }

  private watchRest(): void {
    const {transaction} = this;
    const limit = this.restLimitMs();
    if (!transaction || limit <= 0) return;
    this.cancelRest = after(this.context.signal, limit, () => {
      this.mailbox.post({kind: 'rested', transaction});
    });
  }
}

/** What a caller is told that may not run a statement; nothing is kept. */
export function denialResult(
  denial: AccessDenial,
  database: string,
  wasOpen = false,
): StatementResult {
  switch (denial) {
    case 'not authorized':
      return failure('not authorized', 'no account holds this key');
    case 'unknown database':
      return failure('unknown database', database);
    case 'route changed':
      return failure(wasOpen ? 'aborted' : 'busy', 'connect again');
    case 'unconfirmed': {
      const text = `keys cannot be confirmed, retry after ${UNCONFIRMED_MS} ms`;
      return failure(wasOpen ? 'aborted' : 'busy', text);
    }
  }
}

function unknownName(statement: Statement): StatementResult {
  const name = statement.kind === 'execute' ? statement.name : '';
  return failure('unknown name', `no statement ${name}`);
}
