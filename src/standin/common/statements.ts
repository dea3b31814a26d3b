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
import {evaluate, functionNameOf, unsupported} from './expressions';
import {
  describeTargets,
  filter,
  select,
  type Answer,
  type Source,
} from './select';
import type {ColumnType, RowValues, Table, Value} from './tables';
import {uniqueViolation, type Transaction} from './transaction';

/** What a statement runs in. */
export interface StatementContext {
  readonly transaction: Transaction;
  readonly parameters: readonly (string | null)[];
  readonly wallTime: number;
  /** Tables that show the member's own state. */
  virtualTable(name: string): Source | undefined;
}

/** What a statement gives. */
export interface StatementResult {
  /** The command tag; for SELECT the number of rows is added. */
  readonly tag: string;
  readonly answer: Answer | undefined;
}

/** Whether a statement may change rows. */
export function isWrite({type}: ParsedStatement): boolean {
  return type !== 'SelectStmt';
}

/** Runs one statement that is no transaction command. */
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
      throw unsupported(type);
  }
}

/** The columns that a statement answers with; undefined for none. */
export function describeStatement(
  {type, node}: ParsedStatement,
  context: StatementContext,
): Column[] | undefined {
  if (type === 'SelectStmt') {
    const {columns} = sourceOf(node, context);
    return describeTargets(listOf(node, 'targetList'), columns);
  }
  const returning = returningOf(node);
  if (returning.length === 0) return undefined;
  const {columns} = context.transaction.table(relationOf(node));
  return describeTargets(returning, columns);
}

function runSelect(
  node: SyntaxNode,
  context: StatementContext,
): StatementResult {
  const answer = select(node, sourceOf(node, context), context);
  return {tag: 'SELECT', answer};
}

function sourceOf(node: SyntaxNode, context: StatementContext): Source {
  const [first, second] = listOf(node, 'fromClause');
  if (second) throw unsupported('joins');
  if (!first) return {columns: [], rows: [{}]};
  const [type, from] = unwrapNode(first);
  if (type === 'RangeFunction') return seriesOf(from, context);
  if (type !== 'RangeVar') throw unsupported(type);
  const name = String(from['relname']);
  const virtual = context.virtualTable(name);
  if (virtual) return virtual;
  const {columns} = context.transaction.table(name);
  return {columns, rows: valuesOf(context.transaction.rows(name))};
}

function* valuesOf(rows: Iterable<{values: RowValues}>): Generator<RowValues> {
  for (const {values} of rows) yield values;
}

function seriesOf(from: SyntaxNode, context: StatementContext): Source {
  const [, list] = unwrapNode(listOf(from, 'functions')[0]);
  const [, call] = unwrapNode(listOf(list, 'items')[0]);
  if (functionNameOf(call) !== 'generate_series') {
    throw unsupported('functions as tables');
  }
  const alias = from['alias'] as SyntaxNode | undefined;
  const name = String(alias?.['aliasname'] ?? 'generate_series');
  const scope = {...context, row: {}};
  const [low = 1, high = 0] = listOf(call, 'args').map(item => {
    return Number(evaluate(item, scope));
  });
  return {columns: [{name, type: 'number'}], rows: series(name, low, high)};
}

function* series(
  name: string,
  low: number,
  high: number,
): Generator<RowValues> {
  for (let value = low; value <= high; value++) yield {[name]: value};
}

function runInsert(
  node: SyntaxNode,
  context: StatementContext,
): StatementResult {
  const table = context.transaction.table(relationOf(node));
  const named = listOf(node, 'cols').map(column => {
    return String(unwrapNode(column)[1]['name']);
  });
  const names = named.length > 0 ? named : table.columns.map(({name}) => name);
  const ignoreTaken = node['onConflictClause'] !== undefined;
  const inserted: RowValues[] = [];
  for (const items of insertedItems(node)) {
    const values = insertedValues(table, names, items, context);
    if (context.transaction.insert(table.name, values)) inserted.push(values);
    else if (!ignoreTaken) throw takenKey(table, values);
  }
  const answer = returningAnswer(node, table, inserted, context);
  return {tag: `INSERT 0 ${inserted.length}`, answer};
}

function takenKey(table: Table, values: RowValues): DatabaseError {
  return uniqueViolation(table.name, String(values[table.primaryKey ?? '']));
}

function insertedItems(node: SyntaxNode): SyntaxNode[][] {
  const [, source] = unwrapNode(node['selectStmt']);
  const lists = listOf(source, 'valuesLists');
  if (lists.length === 0) throw unsupported('INSERT from SELECT');
  return lists.map(list => listOf(unwrapNode(list)[1], 'items'));
}

function insertedValues(
  table: Table,
  names: readonly string[],
  items: readonly SyntaxNode[],
  context: StatementContext,
): RowValues {
  const values: Record<string, Value> = {};
  for (const {name} of table.columns) values[name] = null;
  names.forEach((name, at) => {
    const value = evaluate(items[at], {...context, row: {}});
    values[name] = convert(table, name, value);
  });
  return values;
}

function convert(table: Table, name: string, value: Value): Value {
  const column = table.columns.find(other => other.name === name);
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
  const table = context.transaction.table(relationOf(node));
  const updated: RowValues[] = [];
  for (const {key, values} of matching(node, table, context)) {
    const next: Record<string, Value> = {...values};
    for (const target of listOf(node, 'targetList')) {
      const [, {name, val}] = unwrapNode(target);
      const value = evaluate(val, {...context, row: values});
      next[String(name)] = convert(table, String(name), value);
    }
    context.transaction.update(table.name, key, next);
    updated.push(next);
  }
  const answer = returningAnswer(node, table, updated, context);
  return {tag: `UPDATE ${updated.length}`, answer};
}

function runDelete(
  node: SyntaxNode,
  context: StatementContext,
): StatementResult {
  const table = context.transaction.table(relationOf(node));
  const deleted = matching(node, table, context);
  for (const {key} of deleted) context.transaction.delete(table.name, key);
  const rows = deleted.map(({values}) => values);
  const answer = returningAnswer(node, table, rows, context);
  return {tag: `DELETE ${deleted.length}`, answer};
}

function matching(node: SyntaxNode, table: Table, context: StatementContext) {
  const condition = node['whereClause'];
  const rows = [...context.transaction.rows(table.name)];
  return rows.filter(({values}) => {
    return [...filter(condition, [values], context)].length > 0;
  });
}

function returningOf(node: SyntaxNode): SyntaxNode[] {
  const clause = (node['returningClause'] ?? {}) as SyntaxNode;
  return listOf(clause, 'exprs');
}

function returningAnswer(
  node: SyntaxNode,
  table: Table,
  rows: readonly RowValues[],
  context: StatementContext,
): Answer | undefined {
  const targets = returningOf(node);
  if (targets.length === 0) return undefined;
  return select({targetList: targets}, {columns: table.columns, rows}, context);
}

function runCreate(
  node: SyntaxNode,
  context: StatementContext,
): StatementResult {
  const name = relationOf(node);
  if (context.transaction.findTable(name)) {
    if (node['if_not_exists']) return {tag: 'CREATE TABLE', answer: undefined};
    const message = `relation "${name}" already exists`;
    throw new DatabaseError(DUPLICATE_TABLE, message);
  }
  const definitions = listOf(node, 'tableElts').map(
    item => unwrapNode(item)[1],
  );
  const columns = definitions.map(definition => ({
    name: String(definition['colname']),
    type: columnType(definition['typeName'] as SyntaxNode),
  }));
  const key = definitions.find(isPrimaryKey);
  context.transaction.create({
    name,
    columns,
    primaryKey: key ? String(key['colname']) : null,
    rows: new Map(),
  });
  return {tag: 'CREATE TABLE', answer: undefined};
}

function isPrimaryKey(definition: SyntaxNode): boolean {
  return listOf(definition, 'constraints').some(item => {
    return unwrapNode(item)[1]['contype'] === 'CONSTR_PRIMARY';
  });
}

function columnType(typeName: SyntaxNode): ColumnType {
  const name = stringOf(listOf(typeName, 'names').at(-1));
  if (/^(int|float|numeric)/.test(name)) return 'number';
  return name === 'bool' ? 'boolean' : 'text';
}

function relationOf(node: SyntaxNode): string {
  return String((node['relation'] as SyntaxNode)['relname']);
}
