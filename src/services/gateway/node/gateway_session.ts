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

/** A message to a session's mailbox. */
export type SessionMessage =
  | {
      readonly kind: 'request';
      readonly request: CallerRequest;
      readonly receivedAt: number;
    }
  /** The transaction was idle for too long. */
  | {readonly kind: 'idle timeout'; readonly transaction: SessionTransaction}
  /** The caller's access may have changed. */
  | {readonly kind: 'check access'}
  /** End as soon as the session is idle. */
  | {readonly kind: 'drain'}
  /** Abort the open transaction and end. */
  | {readonly kind: 'abort'};

const MAX_PIPELINED_REQUESTS = 64;

/** About the interval at which an instance tries to reach control again. */
const KEY_RETRY_MS = 300;

/** The task of one caller's session. */
export class GatewaySession {
  private readonly mailbox = new Mailbox<SessionMessage>(
    MAX_PIPELINED_REQUESTS,
  );
  private transaction: SessionTransaction | undefined;
  private cancelIdleTimeout = () => {};
  private isDraining = false;
  private hasAnswered = false;

  constructor(
    private readonly context: SessionContext,
    private readonly access: Pick<CallerAccess, 'database' | 'denial'>,
    private readonly channel: CallerChannel,
    private readonly idleLimitMs: () => number,
  ) {}

  /** Runs until the caller disconnects or the session ends. */
  start(): Promise<void> {
    const {signal} = this.context;
    signal.addEventListener('abort', () => this.mailbox.close(), {once: true});
    return startTask('session', () => this.run());
  }

  /** False if the caller has too many pipelined requests. */
  post(message: SessionMessage): boolean {
    return this.mailbox.post(message);
  }

  /**
   * Guard: a session that begins while this instance drains is closed after its
   * first reply. Closing it earlier would lose the request that the caller has
   * already sent.
   */
  private get canClose(): boolean {
    return this.isDraining && this.hasAnswered && !this.transaction;
  }

  private *run(): Task<void> {
    for (;;) {
      const message = yield* this.mailbox.receive();
      if (!message) break;
      yield* this.handleMessage(message);
      if (this.canClose) this.channel.close();
    }
    this.cancelIdleTimeout();
    // The caller disconnected: roll back what it did not commit.
    this.transaction?.abort('the caller left');
  }

  private *handleMessage(message: SessionMessage): Task<void> {
    switch (message.kind) {
      case 'request':
        return yield* this.handleRequest(message.request, message.receivedAt);
      case 'idle timeout':
        if (message.transaction !== this.transaction) return;
        return this.transaction.abort('it rested too long');
      case 'check access':
        return this.checkAccess();
      case 'drain':
        this.isDraining = true;
        return;
      case 'abort':
        this.isDraining = true;
        this.hasAnswered = true;
        this.transaction?.abort('this instance stops');
        return;
    }
  }

  private *handleRequest(
    {requestId, statement}: CallerRequest,
    receivedAt: number,
  ): Task<void> {
    this.cancelIdleTimeout();
    const denial = this.deny(requestId);
    const {result, state} =
      denial ?? (yield* this.runRequest(requestId, statement, receivedAt));
    if (state !== 'idle') this.startIdleTimeout();
    const position = this.context.sessionState.lastCommit?.position;
    // A request that follows a PREPARE or SET may already have been sent.
    this.hasAnswered ||= result.kind === 'error' || result.signature !== '';
    this.channel.sendReply({result, state, position});
    const route = this.context.route();
    if (!route) return;
    const tookMs = this.context.clock.now() - receivedAt;
    const {user, telemetry} = this.context;
    telemetry.recordAnswer(user, route, result, tookMs);
  }

  /**
   * Refuses a statement that its caller may not run. Checked when the statement
   * is handled, so that a key withdrawn while it was queued is rejected.
   */
  private deny(requestId: string): StatementOutcome | undefined {
    const denial = this.access.denial();
    if (!denial) return undefined;
    this.context.telemetry.recordUnauthorized(
      requestId,
      this.context.caller,
      denial,
    );
    const wasOpen = this.abortDenied(denial);
    // An unconfirmed key may become valid again; other denials are final.
    if (denial !== 'unconfirmed') this.closeWhenIdle();
    const {database} = this.access;
    const result = denialResult(denial, database, wasOpen);
    return {result, state: 'idle'};
  }

  /** Aborts the open transaction; false if there is none. */
  private abortDenied(denial: AccessDenial): boolean {
    const {transaction} = this;
    transaction?.abort(denial);
    this.transaction = undefined;
    return transaction !== undefined;
  }

  /** Releases the connection of a caller whose key was withdrawn. */
  private checkAccess(): void {
    const denial = this.access.denial();
    if (!denial || denial === 'unconfirmed') return;
    // The caller gets the reason with its next statement.
    if (this.transaction) return this.transaction.abort(denial);
    this.closeWhenIdle();
  }

  private closeWhenIdle(): void {
    this.isDraining = true;
    this.hasAnswered = true;
  }

  private *runRequest(
    requestId: string,
    statement: Statement | undefined,
    receivedAt: number,
  ): Task<StatementOutcome> {
    if (!statement) return this.answer(failure('bad message', 'no statement'));
    const {transaction} = this;
    if (transaction) {
      return yield* this.runInTransaction(transaction, requestId, statement);
    }
    const route = this.context.route();
    if (!route) {
      return this.answer(failure('unknown database', 'the route was dropped'));
    }
    switch (statement.kind) {
      case 'begin':
        this.transaction = this.context
          .runnerOf(route.service)
          .beginTransaction(
            this.context,
            route,
            statement.readOnly,
            receivedAt,
          );
        return BEGIN_OUTCOME;
      case 'commit':
      case 'rollback':
        return this.answer(failure('bad message', 'no transaction is open'));
      default:
        return this.answer(
          yield* this.runOutsideTransaction(
            requestId,
            statement,
            route,
            receivedAt,
          ),
        );
    }
  }

  private *runOutsideTransaction(
    requestId: string,
    statement: Exclude<Statement, {kind: 'begin' | 'commit' | 'rollback'}>,
    route: DatabaseRoute,
    receivedAt: number,
  ): Task<StatementResult> {
    const local = this.runLocally(statement);
    if (local) return local;
    const memberStatement = statement as MemberStatement;
    const isWrite = this.isWrite(memberStatement);
    if (isWrite === undefined) return unknownNameResult(memberStatement);
    const request = {
      requestId,
      statement: memberStatement,
      isWrite,
      route,
      receivedAt,
    };
    const runner = this.context.runnerOf(route.service);
    return yield* runner.runStatement(this.context, request);
  }

  private *runInTransaction(
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
        const outcome = yield* transaction.commit(requestId);
        this.transaction = undefined;
        return outcome;
      }
      case 'rollback':
        yield* transaction.rollback();
        this.transaction = undefined;
        return {result: DONE_LOCALLY, state: 'idle'};
      default: {
        const local = this.runLocally(statement);
        if (local) return {result: local, state: transaction.state};
        const memberStatement = statement as MemberStatement;
        const isWrite = this.isWrite(memberStatement);
        if (isWrite === undefined) {
          return {
            result: unknownNameResult(memberStatement),
            state: transaction.state,
          };
        }
        return yield* transaction.run(requestId, memberStatement, isWrite);
      }
    }
  }

  /** Runs a statement that needs no member; undefined for others. */
  private runLocally(statement: Statement): StatementResult | undefined {
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
    const prepared = this.context.sessionState.findPrepared(statement.name);
    return prepared && prepared.action === 'write';
  }

  private answer(result: StatementResult): StatementOutcome {
    return {result, state: this.transaction ? 'open' : 'idle'};
  }

  private startIdleTimeout(): void {
    const {transaction} = this;
    const idleLimitMs = this.idleLimitMs();
    if (!transaction || idleLimitMs <= 0) return;
    this.cancelIdleTimeout = after(this.context.signal, idleLimitMs, () => {
      this.mailbox.post({kind: 'idle timeout', transaction});
    });
  }
}

/** The reply to a statement that its caller may not run. */
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
      const text = `keys cannot be confirmed, retry after ${KEY_RETRY_MS} ms`;
      return failure(wasOpen ? 'aborted' : 'busy', text);
    }
  }
}

function unknownNameResult(statement: Statement): StatementResult {
  const name = statement.kind === 'execute' ? statement.name : '';
  return failure('unknown name', `no statement ${name}`);
}
