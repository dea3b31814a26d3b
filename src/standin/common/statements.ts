import type {Column} from '../../services/wire/common/backend';
import {
  listOf,
  unwrapNode,
  stringOf,
  type ParsedStatement,
  type SyntaxNode,
} from '../../services/sql/common/syntax_tree';
import {
  DatabaseError,
  DUPLICATE_TABLE,
  UNDEFINED_COLUMN,
} from './database_error';
import {evaluate, functionNameOf, unsupportedError} from './expressions';
import {
  describeOutput,
  filter,
  select,
  type ResultSet,
  type RowSource,
} from './select';
import type {ColumnType, RowValues, Table, Value} from './tables';
import {uniqueViolationError, type Transaction} from './transaction';

/** The transaction and inputs that a statement runs with. */
export interface StatementContext {
  readonly transaction: Transaction;
  readonly parameters: readonly (string | null)[];
  readonly wallTimeMs: number;
  /** Finds a read-only table that shows the member's state. */
  findVirtualTable(name: string): RowSource | undefined;
}

/** The outcome of a statement that succeeded. */
export interface StatementResult {
  /** The command tag; the row count of a SELECT is not part of it yet. */
  readonly tag: string;
  readonly result: ResultSet | undefined;
}

/** Whether a statement may write; only SELECT does not. */
export function isWrite({type}: ParsedStatement): boolean {
  return type !== 'SelectStmt';
}

/** Runs a SELECT, a data change or a CREATE TABLE; rejects the rest. */
export function runStatement(
  statement: ParsedStatement,
  context: StatementContext,
): StatementResult {
  const {type, node} = statement;
  switch (type) {
    case 'SelectStmt':
      return runSelect(node, context);
    case 'InsertStmt':
      return runInsert(node, context);
    case 'UpdateStmt':
      return runUpdate(node, context);
    case 'DeleteStmt':
      return runDelete(node, context);
    case 'CreateStmt':
      return runCreate(node, context);
    default:
      throw unsupportedError(type);
  }
}

/** Returns a statement's output columns; undefined if it has none. */
export function describeStatement(
  {type, node}: ParsedStatement,
  context: StatementContext,
): Column[] | undefined {
  if (type === 'SelectStmt') {
    const {columns} = findRowSource(node, context);
    return describeOutput(listOf(node, 'targetList'), columns);
  }
  const returning = returningTargetsOf(node);
  if (returning.length === 0) return undefined;
  const {columns} = context.transaction.table(relationNameOf(node));
  return describeOutput(returning, columns);
}

function runSelect(
  node: SyntaxNode,
  context: StatementContext,
): StatementResult {
  const result = select(node, findRowSource(node, context), context);
  return {tag: 'SELECT', result};
}

function findRowSource(node: SyntaxNode, context: StatementContext): RowSource {
  const [first, second] = listOf(node, 'fromClause');
  if (second) throw unsupportedError('joins');
  if (!first) return {columns: [], rows: [{}]};
  const [type, from] = unwrapNode(first);
  if (type === 'RangeFunction') return seriesSource(from, context);
  if (type !== 'RangeVar') throw unsupportedError(type);
  const name = String(from['relname']);
  const virtualTable = context.findVirtualTable(name);
  if (virtualTable) return virtualTable;
  const {columns} = context.transaction.table(name);
  return {columns, rows: eachValues(context.transaction.rows(name))};
}

function* eachValues(
  rows: Iterable<{values: RowValues}>,
): Generator<RowValues> {
  for (const {values} of rows) yield values;
}

function seriesSource(from: SyntaxNode, context: StatementContext): RowSource {
  const [, list] = unwrapNode(listOf(from, 'functions')[0]);
  const [, call] = unwrapNode(listOf(list, 'items')[0]);
  if (functionNameOf(call) !== 'generate_series') {
    throw unsupportedError('functions as tables');
  }
  const alias = from['alias'] as SyntaxNode | undefined;
  const name = String(alias?.['aliasname'] ?? 'generate_series');
  const scope = {...context, row: {}};
  const [start = 1, stop = 0] = listOf(call, 'args').map(item => {
    return Number(evaluate(item, scope));
  });
  return {
    columns: [{name, type: 'number'}],
    rows: generateSeries(name, start, stop),
  };
}

function* generateSeries(
  name: string,
  start: number,
  stop: number,
): Generator<RowValues> {
  for (let value = start; value <= stop; value++) yield {[name]: value};
}

function runInsert(
  node: SyntaxNode,
  context: StatementContext,
): StatementResult {
  const table = context.transaction.table(relationNameOf(node));
  const listedNames = listOf(node, 'cols').map(column => {
    return String(unwrapNode(column)[1]['name']);
  });
  const columnNames =
    listedNames.length > 0 ? listedNames : table.columns.map(({name}) => name);
  const skipsDuplicates = node['onConflictClause'] !== undefined;
  const inserted: RowValues[] = [];
  for (const items of listInsertedRows(node)) {
    const values = evaluateInsertedRow(table, columnNames, items, context);
    if (context.transaction.insert(table.name, values)) inserted.push(values);
    else if (!skipsDuplicates) throw duplicateKeyError(table, values);
  }
  const result = selectReturning(node, table, inserted, context);
  return {tag: `INSERT 0 ${inserted.length}`, result};
}

function duplicateKeyError(table: Table, values: RowValues): DatabaseError {
  return uniqueViolationError(
    table.name,
    String(values[table.primaryKey ?? '']),
  );
}

function listInsertedRows(node: SyntaxNode): SyntaxNode[][] {
  const [, source] = unwrapNode(node['selectStmt']);
  const lists = listOf(source, 'valuesLists');
  if (lists.length === 0) throw unsupportedError('INSERT from SELECT');
  return lists.map(list => listOf(unwrapNode(list)[1], 'items'));
}

function evaluateInsertedRow(
  table: Table,
  columnNames: readonly string[],
  items: readonly SyntaxNode[],
  context: StatementContext,
): RowValues {
  const values: Record<string, Value> = {};
  for (const {name} of table.columns) values[name] = null;
  columnNames.forEach((name, index) => {
    const value = evaluate(items[index], {...context, row: {}});
    values[name] = convertValue(table, name, value);
  });
  return values;
}

function convertValue(table: Table, name: string, value: Value): Value {
  const column = table.columns.find(candidate => candidate.name === name);
  if (!column) {
    const message = `column "${name}" of "${table.name}" does not exist`;
    throw new DatabaseError(UNDEFINED_COLUMN, message);
  }
  if (value === null) return null;
  if (column.type === 'number') return Number(value);
  if (column.type === 'boolean') return value === true || value === 't';
  return String(value);
}

function runUpdate(
  node: SyntaxNode,
  context: StatementContext,
): StatementResult {
  const table = context.transaction.table(relationNameOf(node));
  const updated: RowValues[] = [];
  for (const {key, values} of findMatchingRows(node, table, context)) {
    const newValues: Record<string, Value> = {...values};
    for (const target of listOf(node, 'targetList')) {
      const [, {name, val}] = unwrapNode(target);
      const value = evaluate(val, {...context, row: values});
      newValues[String(name)] = convertValue(table, String(name), value);
    }
    context.transaction.update(table.name, key, newValues);
    updated.push(newValues);
  }
  const result = selectReturning(node, table, updated, context);
  return {tag: `UPDATE ${updated.length}`, result};
}

function runDelete(
  node: SyntaxNode,
  context: StatementContext,
): StatementResult {
  const table = context.transaction.table(relationNameOf(node));
  const deleted = findMatchingRows(node, table, context);
  for (const {key} of deleted) context.transaction.delete(table.name, key);
  const rows = deleted.map(({values}) => values);
  const result = selectReturning(node, table, rows, context);
  return {tag: `DELETE ${deleted.length}`, result};
}

function findMatchingRows(
  node: SyntaxNode,
  table: Table,
  context: StatementContext,
) {
  const condition = node['whereClause'];
  const rows = [...context.transaction.rows(table.name)];
  return rows.filter(({values}) => {
    return [...filter(condition, [values], context)].length > 0;
  });
}

function returningTargetsOf(node: SyntaxNode): SyntaxNode[] {
  const clause = (node['returningClause'] ?? {}) as SyntaxNode;
  return listOf(clause, 'exprs');
}

function selectReturning(
  node: SyntaxNode,
  table: Table,
  rows: readonly RowValues[],
  context: StatementContext,
): ResultSet | undefined {
  const targets = returningTargetsOf(node);
  if (targets.length === 0) return undefined;
  return select({targetList: targets}, {columns: table.columns, rows}, context);
}

function runCreate(
  node: SyntaxNode,
  context: StatementContext,
): StatementResult {
  const name = relationNameOf(node);
  if (context.transaction.findTable(name)) {
    if (node['if_not_exists']) return {tag: 'CREATE TABLE', result: undefined};
    const message = `relation "${name}" already exists`;
    throw new DatabaseError(DUPLICATE_TABLE, message);
  }
  const definitions = listOf(node, 'tableElts').map(
    item => unwrapNode(item)[1],
  );
  const columns = definitions.map(definition => ({
    name: String(definition['colname']),
    type: columnTypeOf(definition['typeName'] as SyntaxNode),
  }));
  const key = definitions.find(isPrimaryKey);
  context.transaction.create({
    name,
    columns,
    primaryKey: key ? String(key['colname']) : null,
    rows: new Map(),
  });
  return {tag: 'CREATE TABLE', result: undefined};
}

function isPrimaryKey(definition: SyntaxNode): boolean {
  return listOf(definition, 'constraints').some(item => {
    return unwrapNode(item)[1]['contype'] === 'CONSTR_PRIMARY';
  });
}

function columnTypeOf(typeName: SyntaxNode): ColumnType {
  const name = stringOf(listOf(typeName, 'names').at(-1));
  if (/^(int|float|numeric)/.test(name)) return 'number';
  return name === 'bool' ? 'boolean' : 'text';
}

function relationNameOf(node: SyntaxNode): string {
  return String((node['relation'] as SyntaxNode)['relname']);
}
