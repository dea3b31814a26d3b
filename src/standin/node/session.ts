import {setTimeout as sleep} from 'node:timers/promises';
import {settled, type Task} from '../../base/node/task';
import {
  constantOf,
  listOf,
  unwrapNode,
  stringOf,
  type ParsedStatement,
  type SqlGrammar,
  type SyntaxNode,
} from '../../services/sql/common/syntax_tree';
import {formatPosition} from '../../services/position/common/position';
import {
  AUTHENTICATION_OK,
  BIND_COMPLETE,
  CLOSE_COMPLETE,
  EMPTY_QUERY,
  encodeCommandComplete,
  encodeError,
  encodeBackendKeyData,
  encodeParameterStatus,
  encodeParameterDescription,
  encodeReadyForQuery,
  encodeDataRow,
  encodeRowDescription,
  NO_DATA,
  PARSE_COMPLETE,
  TYPE_TEXT,
  type TransactionStatus,
} from '../../services/wire/common/backend';
import type {FrontendMessage} from '../../services/wire/common/frontend';
import {decodeFrontend} from '../../services/wire/common/frontend';
import {BodyReader} from '../../services/wire/common/body_reader';
import type {
  FrameConnection,
  ConnectionInput,
} from '../../services/wire/node/frame_connection';
import {
  DatabaseError,
  FAILED_TRANSACTION,
  INVALID_PARAMETER,
  INVALID_STATEMENT_NAME,
  QUERY_CANCELED,
  SYNTAX_ERROR,
} from '../common/database_error';
import {
  describeStatement,
  isWrite,
  runStatement,
  type StatementContext,
} from '../common/statements';
import {Transaction} from '../common/transaction';
import {readOnlyError, type GroupMember} from './group_member';
import {findMemberTable} from './member_tables';
import type {Slots} from './slots';

const REFUSED_ENCRYPTION = Buffer.from('N');
const ROWS_PER_WRITE = 64;

/** Services and limits that all sessions of a member share. */
export interface SessionDependencies {
  readonly member: GroupMember;
  readonly grammar: SqlGrammar;
  readonly slots: Slots;
  /** Simulated duration of each statement, in milliseconds. */
  readonly statementCostMs: number;
  /** Sets a setting of the member; returns false if the name is unknown. */
  trySet(name: string, value: string): boolean;
}

interface PreparedStatement {
  readonly statement: ParsedStatement | undefined;
}

interface Portal extends PreparedStatement {
  readonly parameters: readonly (string | null)[];
}

/** A PostgreSQL protocol session on a stand-in member. */
export class Session {
  private status: TransactionStatus = 'idle';
  private transaction: Transaction | undefined;
  private holdsSlot = false;
  private skipsUntilSync = false;
  private transactionCount = 0;
  private controller = new AbortController();
  private readonly variables = new Map<string, string>();
  private readonly statements = new Map<string, PreparedStatement>();
  private readonly portals = new Map<string, Portal>();

  constructor(
    private readonly connection: FrameConnection,
    private readonly dependencies: SessionDependencies,
    private readonly processId: number,
    private readonly secret: number,
  ) {}

  /** Whether a cancel request with this key addresses this session. */
  hasCancelKey(processId: number, secret: number): boolean {
    return processId === this.processId && secret === this.secret;
  }

  cancel(): void {
    this.controller.abort();
  }

  static refuseEncryption(connection: FrameConnection): void {
    connection.send(REFUSED_ENCRYPTION);
  }

  *run(): Task<void> {
    this.sendStartupResponse();
    for (;;) {
      const input = yield* this.connection.receive();
      if (!input) break;
      if (!(yield* this.handleInput(input))) break;
      yield* this.connection.waitForDrain();
    }
    this.endTransaction();
    this.connection.end();
  }

  private sendStartupResponse(): void {
    const {connection, dependencies} = this;
    connection.send(AUTHENTICATION_OK);
    connection.send(encodeParameterStatus('server_version', '16.0'));
    connection.send(encodeParameterStatus('client_encoding', 'UTF8'));
    connection.send(encodeParameterStatus('DateStyle', 'ISO, MDY'));
    connection.send(encodeParameterStatus('integer_datetimes', 'on'));
    connection.send(encodeParameterStatus('standard_conforming_strings', 'on'));
    const {incarnation} = dependencies.member.identity;
    connection.send(encodeParameterStatus('group_incarnation', incarnation));
    connection.send(encodeBackendKeyData(this.processId, this.secret));
    connection.send(encodeReadyForQuery('idle'));
  }

  private *handleInput(input: ConnectionInput): Task<boolean> {
    if (input.kind !== 'frame') return false;
    const message = decodeFrontend(input.frame);
    if (!message) return false;
    if (message.kind === 'terminate') return false;
    this.connection.cork();
    try {
      yield* this.handleMessage(message);
    } catch (error) {
      this.failStatement(asDatabaseError(error));
      const endsBatch = message.kind === 'query' || message.kind === 'sync';
      if (endsBatch) this.sendReady();
      else this.skipsUntilSync = true;
    }
    this.connection.uncork();
    return true;
  }

  private *handleMessage(message: FrontendMessage): Task<void> {
    if (message.kind === 'sync') return this.onSync();
    if (this.skipsUntilSync) return;
    switch (message.kind) {
      case 'query':
        return yield* this.onQuery(message.text);
      case 'parse':
        return this.onParse(message.name, message.text);
      case 'bind':
        return this.onBind(message);
      case 'describe':
        return this.onDescribe(message.objectKind, message.name);
      case 'execute':
        return yield* this.onExecute(message.portal);
      case 'close':
        (message.objectKind === 'statement'
          ? this.statements
          : this.portals
        ).delete(message.name);
        this.connection.send(CLOSE_COMPLETE);
        return;
      default:
        return;
    }
  }

  private onSync(): void {
    this.skipsUntilSync = false;
    if (this.status === 'idle') this.commitIfOpen();
    this.sendReady();
  }

  private sendReady(): void {
    if (this.status === 'idle') this.endTransaction();
    this.connection.send(encodeReadyForQuery(this.status));
  }

  private failStatement(error: DatabaseError): void {
    const {code, message} = error;
    this.connection.send(encodeError({severity: 'ERROR', code, message}));
    this.transaction = undefined;
    if (this.status === 'open') this.status = 'failed';
    if (this.status === 'idle') this.endTransaction();
  }

  // ---- Simple query ----

  private *onQuery(text: string): Task<void> {
    const statements = this.parse(text);
    if (statements.length === 0) this.connection.send(EMPTY_QUERY);
    for (const statement of statements) {
      yield* this.executeStatement(statement, [], true);
    }
    if (this.status === 'idle') this.commitIfOpen();
    this.sendReady();
  }

  // ---- Extended query ----

  private onParse(name: string, text: string): void {
    const [statement, extra] = this.parse(text);
    if (extra) throw new DatabaseError(SYNTAX_ERROR, 'several statements');
    this.statements.set(name, {statement});
    this.connection.send(PARSE_COMPLETE);
  }

  private onBind(message: FrontendMessage & {kind: 'bind'}): void {
    const prepared = this.findPrepared(message.statement);
    const parameters = decodeParameters(message.rest);
    this.portals.set(message.portal, {...prepared, parameters});
    this.connection.send(BIND_COMPLETE);
  }

  private onDescribe(objectKind: 'statement' | 'portal', name: string): void {
    if (objectKind === 'portal') {
      this.sendRowDescription(this.findPortal(name).statement);
      return;
    }
    const {statement} = this.findPrepared(name);
    const count = countParameters(statement?.node);
    const types = Array.from({length: count}, () => TYPE_TEXT);
    this.connection.send(encodeParameterDescription(types));
    this.sendRowDescription(statement);
  }

  private *onExecute(portalName: string): Task<void> {
    const {statement, parameters} = this.findPortal(portalName);
    if (statement) yield* this.executeStatement(statement, parameters, false);
    else this.connection.send(EMPTY_QUERY);
  }

  private findPrepared(name: string): PreparedStatement {
    const prepared = this.statements.get(name);
    if (prepared) return prepared;
    throw new DatabaseError(
      INVALID_STATEMENT_NAME,
      `prepared statement "${name}" does not exist`,
    );
  }

  private findPortal(name: string): Portal {
    const portal = this.portals.get(name);
    if (portal) return portal;
    throw new DatabaseError('34000', `portal "${name}" does not exist`);
  }

  private sendRowDescription(statement: ParsedStatement | undefined): void {
    const columns =
      statement &&
      isDataStatement(statement) &&
      describeStatement(
        statement,
        this.createContext([], this.ensureTransaction()),
      );
    if (columns) this.connection.send(encodeRowDescription(columns));
    else this.connection.send(NO_DATA);
  }

  // ---- Execution ----

  private *executeStatement(
    statement: ParsedStatement,
    parameters: readonly (string | null)[],
    describes: boolean,
  ): Task<void> {
    const {type, node} = statement;
    if (type === 'TransactionStmt') {
      return yield* this.runTransactionCommand(String(node['kind']));
    }
    if (this.status === 'failed') {
      const message = 'current transaction is aborted';
      throw new DatabaseError(FAILED_TRANSACTION, message);
    }
    if (type === 'VariableSetStmt') return this.runSet(statement);
    if (type === 'VariableShowStmt') return this.runShow(node, describes);
    if (type === 'DiscardStmt') return this.runDiscard();
    yield* this.acquireSlot();
    yield* this.delayStatement(statement);
    const {member} = this.dependencies;
    if (isWrite(statement) && !member.isPrimary) throw readOnlyError();
    member.executedCount++;
    const context = this.createContext(parameters, this.ensureTransaction());
    const {tag, result} = runStatement(statement, context);
    if (!result) return this.sendComplete(tag);
    if (describes) this.connection.send(encodeRowDescription(result.columns));
    const count = yield* this.sendRows(result.rows);
    this.sendComplete(tag === 'SELECT' ? `SELECT ${count}` : tag);
  }

  private *sendRows(rows: Iterable<readonly (string | null)[]>): Task<number> {
    let count = 0;
    let buffered: Buffer[] = [];
    for (const row of rows) {
      buffered.push(encodeDataRow(row));
      count++;
      if (count % ROWS_PER_WRITE !== 0) continue;
      const canSendMore = this.connection.send(Buffer.concat(buffered));
      buffered = [];
      if (canSendMore) continue;
      this.connection.uncork();
      yield* this.connection.waitForDrain();
      this.connection.cork();
      if (this.controller.signal.aborted) throw cancellationError();
      if (this.connection.closedSignal.aborted) break;
    }
    this.connection.send(Buffer.concat(buffered));
    return count;
  }

  private *runTransactionCommand(kind: string): Task<void> {
    if (kind === 'TRANS_STMT_BEGIN' || kind === 'TRANS_STMT_START') {
      yield* this.acquireSlot();
      if (this.status === 'idle') this.status = 'open';
      return this.sendComplete('BEGIN');
    }
    const hasFailed = this.status === 'failed';
    this.status = 'idle';
    if (kind === 'TRANS_STMT_COMMIT' && !hasFailed) {
      this.commitIfOpen();
      return this.sendComplete('COMMIT');
    }
    this.transaction = undefined;
    this.sendComplete('ROLLBACK');
  }

  private runSet({node}: ParsedStatement): void {
    const name = String(node['name'] ?? '');
    const argument = listOf(node, 'args')[0];
    const value = String(constantOf(argument) ?? '');
    if (name === 'datestyle' && value === 'wrong') {
      const message = 'invalid value for parameter "DateStyle"';
      throw new DatabaseError(INVALID_PARAMETER, message);
    }
    if (!this.dependencies.trySet(name, value)) this.variables.set(name, value);
    this.sendComplete(node['kind'] === 'VAR_RESET_ALL' ? 'RESET' : 'SET');
  }

  private runShow(node: SyntaxNode, describes: boolean): void {
    const name = String(node['name']);
    const columns = [{name, type: TYPE_TEXT}];
    if (describes) this.connection.send(encodeRowDescription(columns));
    const value = this.variables.get(name) ?? '';
    this.connection.send(encodeDataRow([value]));
    this.sendComplete('SHOW');
  }

  private runDiscard(): void {
    this.variables.clear();
    this.statements.clear();
    this.sendComplete('DISCARD ALL');
  }

  private sendComplete(tag: string): void {
    this.connection.send(encodeCommandComplete(tag));
  }

  private ensureTransaction(): Transaction {
    if (!this.transaction) {
      const {store, identity} = this.dependencies.member;
      const id = `${identity.incarnation}.${this.processId}.${++this.transactionCount}`;
      this.transaction = new Transaction(store, id);
    }
    return this.transaction;
  }

  private commitIfOpen(): void {
    const transaction = this.transaction;
    this.transaction = undefined;
    if (!transaction?.hasWrites) return;
    const position = this.dependencies.member.commit(transaction);
    const text = formatPosition(position);
    this.connection.send(encodeParameterStatus('group_position', text));
  }

  /** Acquires a slot, which the transaction holds until it ends. */
  private *acquireSlot(): Task<void> {
    if (this.holdsSlot) return;
    if (this.controller.signal.aborted) this.controller = new AbortController();
    const signal = AbortSignal.any([
      this.controller.signal,
      this.connection.closedSignal,
    ]);
    const acquired = yield* settled(this.dependencies.slots.acquire(signal));
    if ('value' in acquired && acquired.value) this.holdsSlot = true;
    else throw cancellationError();
  }

  private *delayStatement(statement: ParsedStatement): Task<void> {
    const durationMs = this.dependencies.statementCostMs + sleepMsOf(statement);
    if (durationMs <= 0) return;
    this.connection.uncork();
    const {signal} = this.controller;
    const slept = yield* settled(sleep(durationMs, undefined, {signal}));
    this.connection.cork();
    if ('error' in slept) throw cancellationError();
  }

  private endTransaction(): void {
    this.transaction = undefined;
    if (!this.holdsSlot) return;
    this.holdsSlot = false;
    this.dependencies.slots.release();
  }

  private createContext(
    parameters: readonly (string | null)[],
    transaction: Transaction,
  ): StatementContext {
    return {
      transaction,
      parameters,
      wallTimeMs: Date.now(),
      findVirtualTable: name => findMemberTable(name, this.dependencies.member),
    };
  }

  private parse(text: string): readonly ParsedStatement[] {
    const parsed = this.dependencies.grammar.parse(text);
    if (!('message' in parsed)) return parsed;
    throw new DatabaseError(SYNTAX_ERROR, parsed.message);
  }
}

function cancellationError(): DatabaseError {
  const message = 'canceling statement due to user request';
  return new DatabaseError(QUERY_CANCELED, message);
}

function asDatabaseError(error: unknown): DatabaseError {
  if (error instanceof DatabaseError) return error;
  throw error;
}

function isDataStatement({type}: ParsedStatement): boolean {
  return ['SelectStmt', 'InsertStmt', 'UpdateStmt', 'DeleteStmt'].includes(
    type,
  );
}

/** Returns the duration of a leading pg_sleep call, in milliseconds. */
function sleepMsOf({type, node}: ParsedStatement): number {
  if (type !== 'SelectStmt') return 0;
  const [, target] = unwrapNode(listOf(node, 'targetList')[0]);
  const [callType, call] = unwrapNode(target['val']);
  if (callType !== 'FuncCall') return 0;
  if (stringOf(listOf(call, 'funcname').at(-1)) !== 'pg_sleep') return 0;
  return Number(constantOf(listOf(call, 'args')[0])) * 1_000;
}

function countParameters(node: unknown): number {
  const text = JSON.stringify(node ?? {});
  const numbers = [...text.matchAll(/"ParamRef":\{"number":(\d+)/g)];
  return Math.max(0, ...numbers.map(([, number]) => Number(number)));
}

function decodeParameters(rest: Buffer): (string | null)[] {
  const reader = new BodyReader(rest);
  const formatCount = reader.int16() ?? 0;
  for (let index = 0; index < formatCount; index++) reader.int16();
  const count = reader.int16() ?? 0;
  const values: (string | null)[] = [];
  for (let index = 0; index < count; index++) {
    const length = reader.int32() ?? -1;
    const bytes = length < 0 ? undefined : reader.bytes(length);
    values.push(bytes ? bytes.toString() : null);
  }
  return values;
}
