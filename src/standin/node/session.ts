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
import {readOnly, type GroupMember} from './group_member';
import {memberTable} from './member_tables';
import type {Slots} from './slots';

const REFUSED_ENCRYPTION = Buffer.from('N');
const ROWS_A_WRITE = 64;

/** What all sessions of a member share. */
export interface SessionHost {
  readonly member: GroupMember;
  readonly grammar: SqlGrammar;
  readonly slots: Slots;
  /** Time that each statement takes, in milliseconds. */
  readonly statementCostMs: number;
  /** Sets one of the member's own settings; false where there is none. */
  setting(name: string, value: string): boolean;
}

interface PreparedStatement {
  readonly statement: ParsedStatement | undefined;
}

interface Portal extends PreparedStatement {
  readonly parameters: readonly (string | null)[];
}

/** One caller's session at a stand-in database member. */
export class Session {
  private status: TransactionStatus = 'idle';
  private transaction: Transaction | undefined;
  private holdsSlot = false;
  private failedUntilSync = false;
  private transactionCount = 0;
  private canceled = new AbortController();
  private readonly variables = new Map<string, string>();
  private readonly statements = new Map<string, PreparedStatement>();
  private readonly portals = new Map<string, Portal>();

  constructor(
    private readonly connection: FrameConnection,
    private readonly host: SessionHost,
    private readonly processId: number,
    private readonly secret: number,
  ) {}

  /** Whether a cancel request with this key is for this session. */
  isNamedBy(processId: number, secret: number): boolean {
    return processId === this.processId && secret === this.secret;
  }

  cancel(): void {
    this.canceled.abort();
  }

  static refuseEncryption(connection: FrameConnection): void {
    connection.send(REFUSED_ENCRYPTION);
  }

  *run(): Task<void> {
    this.greet();
    for (;;) {
      const incoming = yield* this.connection.receive();
      if (!incoming) break;
      if (!(yield* this.handle(incoming))) break;
      yield* this.connection.waitForDrain();
    }
    this.endTransaction();
    this.connection.end();
  }

  private greet(): void {
    const {connection, host} = this;
    connection.send(AUTHENTICATION_OK);
    connection.send(encodeParameterStatus('server_version', '16.0'));
    connection.send(encodeParameterStatus('client_encoding', 'UTF8'));
    connection.send(encodeParameterStatus('DateStyle', 'ISO, MDY'));
    connection.send(encodeParameterStatus('integer_datetimes', 'on'));
    connection.send(encodeParameterStatus('standard_conforming_strings', 'on'));
    const {incarnation} = host.member.identity;
    connection.send(encodeParameterStatus('group_incarnation', incarnation));
    connection.send(encodeBackendKeyData(this.processId, this.secret));
    connection.send(encodeReadyForQuery('idle'));
  }

  private *handle(incoming: ConnectionInput): Task<boolean> {
    if (incoming.kind !== 'frame') return false;
    const message = decodeFrontend(incoming.frame);
    if (!message) return false;
    if (message.kind === 'terminate') return false;
    this.connection.cork();
    try {
      yield* this.handleMessage(message);
    } catch (error) {
      this.fail(asDatabaseError(error));
      const ends = message.kind === 'query' || message.kind === 'sync';
      if (ends) this.ready();
      else this.failedUntilSync = true;
    }
    this.connection.uncork();
    return true;
  }

  private *handleMessage(message: FrontendMessage): Task<void> {
    if (message.kind === 'sync') return this.onSync();
    if (this.failedUntilSync) return;
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
    this.failedUntilSync = false;
    if (this.status === 'idle') this.commitIfOpen();
    this.ready();
  }

  private ready(): void {
    if (this.status === 'idle') this.endTransaction();
    this.connection.send(encodeReadyForQuery(this.status));
  }

  private fail(error: DatabaseError): void {
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
      yield* this.execute(statement, [], true);
    }
    if (this.status === 'idle') this.commitIfOpen();
    this.ready();
  }

  // ---- Extended query ----

  private onParse(name: string, text: string): void {
    const [statement, another] = this.parse(text);
    if (another) throw new DatabaseError(SYNTAX_ERROR, 'several statements');
    this.statements.set(name, {statement});
    this.connection.send(PARSE_COMPLETE);
  }

  private onBind(message: FrontendMessage & {kind: 'bind'}): void {
    const prepared = this.prepared(message.statement);
    const parameters = decodeParameters(message.rest);
    this.portals.set(message.portal, {...prepared, parameters});
    this.connection.send(BIND_COMPLETE);
  }

  private onDescribe(of: 'statement' | 'portal', name: string): void {
    if (of === 'portal') {
      this.sendColumns(this.portal(name).statement);
      return;
    }
    const {statement} = this.prepared(name);
    const count = highestParameter(statement?.node);
    const types = Array.from({length: count}, () => TYPE_TEXT);
    this.connection.send(encodeParameterDescription(types));
    this.sendColumns(statement);
  }

  private *onExecute(portalName: string): Task<void> {
    const {statement, parameters} = this.portal(portalName);
    if (statement) yield* this.execute(statement, parameters, false);
    else this.connection.send(EMPTY_QUERY);
  }

  private prepared(name: string): PreparedStatement {
    const prepared = this.statements.get(name);
    if (prepared) return prepared;
    throw new DatabaseError(
      INVALID_STATEMENT_NAME,
      `prepared statement "${name}" does not exist`,
    );
  }

  private portal(name: string): Portal {
    const portal = this.portals.get(name);
    if (portal) return portal;
    throw new DatabaseError('34000', `portal "${name}" does not exist`);
  }

  private sendColumns(statement: ParsedStatement | undefined): void {
    const columns =
      statement &&
      isPlain(statement) &&
      describeStatement(statement, this.context([], this.current()));
    if (columns) this.connection.send(encodeRowDescription(columns));
    else this.connection.send(NO_DATA);
  }

  // ---- Running ----

  private *execute(
    statement: ParsedStatement,
    parameters: readonly (string | null)[],
    describe: boolean,
  ): Task<void> {
    const {type, node} = statement;
    if (type === 'TransactionStmt') {
      return yield* this.control(String(node['kind']));
    }
    if (this.status === 'failed') {
      const message = 'current transaction is aborted';
      throw new DatabaseError(FAILED_TRANSACTION, message);
    }
    if (type === 'VariableSetStmt') return this.set(statement);
    if (type === 'VariableShowStmt') return this.show(node, describe);
    if (type === 'DiscardStmt') return this.discard();
    yield* this.takeSlot();
    yield* this.spend(statement);
    const {member} = this.host;
    if (isWrite(statement) && !member.isPrimary) throw readOnly();
    member.executed++;
    const context = this.context(parameters, this.current());
    const {tag, answer} = runStatement(statement, context);
    if (!answer) return this.complete(tag);
    if (describe) this.connection.send(encodeRowDescription(answer.columns));
    const count = yield* this.sendRows(answer.rows);
    this.complete(tag === 'SELECT' ? `SELECT ${count}` : tag);
  }

  private *sendRows(rows: Iterable<readonly (string | null)[]>): Task<number> {
    let count = 0;
    let waiting: Buffer[] = [];
    for (const row of rows) {
      waiting.push(encodeDataRow(row));
      count++;
      if (count % ROWS_A_WRITE !== 0) continue;
      const keepsUp = this.connection.send(Buffer.concat(waiting));
      waiting = [];
      if (keepsUp) continue;
      this.connection.uncork();
      yield* this.connection.waitForDrain();
      this.connection.cork();
      if (this.canceled.signal.aborted) throw canceled();
      if (this.connection.closedSignal.aborted) break;
    }
    this.connection.send(Buffer.concat(waiting));
    return count;
  }

  private *control(kind: string): Task<void> {
    if (kind === 'TRANS_STMT_BEGIN' || kind === 'TRANS_STMT_START') {
      yield* this.takeSlot();
      if (this.status === 'idle') this.status = 'open';
      return this.complete('BEGIN');
    }
    const failed = this.status === 'failed';
    this.status = 'idle';
    if (kind === 'TRANS_STMT_COMMIT' && !failed) {
      this.commitIfOpen();
      return this.complete('COMMIT');
    }
    this.transaction = undefined;
    this.complete('ROLLBACK');
  }

  private set({node}: ParsedStatement): void {
    const name = String(node['name'] ?? '');
    const argument = listOf(node, 'args')[0];
    const value = String(constantOf(argument) ?? '');
    if (name === 'datestyle' && value === 'wrong') {
      const message = 'invalid value for parameter "DateStyle"';
      throw new DatabaseError(INVALID_PARAMETER, message);
    }
    if (!this.host.setting(name, value)) this.variables.set(name, value);
    this.complete(node['kind'] === 'VAR_RESET_ALL' ? 'RESET' : 'SET');
  }

  private show(node: SyntaxNode, describe: boolean): void {
    const name = String(node['name']);
    const columns = [{name, type: TYPE_TEXT}];
    if (describe) this.connection.send(encodeRowDescription(columns));
    const value = this.variables.get(name) ?? '';
    this.connection.send(encodeDataRow([value]));
    this.complete('SHOW');
  }

  private discard(): void {
    this.variables.clear();
    this.statements.clear();
    this.complete('DISCARD ALL');
  }

  private complete(tag: string): void {
    this.connection.send(encodeCommandComplete(tag));
  }

  private current(): Transaction {
    if (!this.transaction) {
      const {store, identity} = this.host.member;
      const id = `${identity.incarnation}.${this.processId}.${++this.transactionCount}`;
      this.transaction = new Transaction(store, id);
    }
    return this.transaction;
  }

  private commitIfOpen(): void {
    const transaction = this.transaction;
    this.transaction = undefined;
    if (!transaction?.hasWrites) return;
    const position = this.host.member.commit(transaction);
    const text = formatPosition(position);
    this.connection.send(encodeParameterStatus('group_position', text));
  }

  /** A transaction holds one of the member's slots until it ends. */
  private *takeSlot(): Task<void> {
    if (this.holdsSlot) return;
    if (this.canceled.signal.aborted) this.canceled = new AbortController();
    const signal = AbortSignal.any([
      this.canceled.signal,
      this.connection.closedSignal,
    ]);
    const taken = yield* settled(this.host.slots.acquire(signal));
    if ('value' in taken && taken.value) this.holdsSlot = true;
    else throw canceled();
  }

  private *spend(statement: ParsedStatement): Task<void> {
    const cost = this.host.statementCostMs + sleepOf(statement);
    if (cost <= 0) return;
    this.connection.uncork();
    const {signal} = this.canceled;
    const slept = yield* settled(sleep(cost, undefined, {signal}));
    this.connection.cork();
    if ('error' in slept) throw canceled();
  }

  private endTransaction(): void {
    this.transaction = undefined;
    if (!this.holdsSlot) return;
    this.holdsSlot = false;
    this.host.slots.release();
  }

  private context(
    parameters: readonly (string | null)[],
    transaction: Transaction,
  ): StatementContext {
    return {
      transaction,
      parameters,
      wallTime: Date.now(),
      virtualTable: name => memberTable(name, this.host.member),
    };
  }

  private parse(text: string): readonly ParsedStatement[] {
    const parsed = this.host.grammar.parse(text);
    if (!('message' in parsed)) return parsed;
    throw new DatabaseError(SYNTAX_ERROR, parsed.message);
  }
}

function canceled(): DatabaseError {
  const message = 'canceling statement due to user request';
  return new DatabaseError(QUERY_CANCELED, message);
}

function asDatabaseError(error: unknown): DatabaseError {
  if (error instanceof DatabaseError) return error;
  throw error;
}

function isPlain({type}: ParsedStatement): boolean {
  return ['SelectStmt', 'InsertStmt', 'UpdateStmt', 'DeleteStmt'].includes(
    type,
  );
}

/** Seconds of a pg_sleep in the select list, as milliseconds. */
function sleepOf({type, node}: ParsedStatement): number {
  if (type !== 'SelectStmt') return 0;
  const [, target] = unwrapNode(listOf(node, 'targetList')[0]);
  const [callType, call] = unwrapNode(target['val']);
  if (callType !== 'FuncCall') return 0;
  if (stringOf(listOf(call, 'funcname').at(-1)) !== 'pg_sleep') return 0;
  return Number(constantOf(listOf(call, 'args')[0])) * 1_000;
}

function highestParameter(node: unknown): number {
  const text = JSON.stringify(node ?? {});
  const numbers = [...text.matchAll(/"ParamRef":\{"number":(\d+)/g)];
  return Math.max(0, ...numbers.map(([, number]) => Number(number)));
}

function decodeParameters(rest: Buffer): (string | null)[] {
  const reader = new BodyReader(rest);
  const formats = reader.int16() ?? 0;
  for (let at = 0; at < formats; at++) reader.int16();
  const count = reader.int16() ?? 0;
  const values: (string | null)[] = [];
  for (let at = 0; at < count; at++) {
    const length = reader.int32() ?? -1;
    const bytes = length < 0 ? undefined : reader.bytes(length);
    values.push(bytes ? bytes.toString() : null);
  }
  return values;
}
