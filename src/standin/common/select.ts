import {
  type Column,
  TYPE_BOOL,
  TYPE_FLOAT8,
  TYPE_INT8,
  TYPE_TEXT,
} from '../../services/wire/common/backend';
import {
  listOf,
  unwrapNode,
  stringOf,
  type SyntaxNode,
} from '../../services/sql/common/syntax_tree';
import {
  columnNameOf,
  compareValues,
  evaluate,
  functionNameOf,
  unsupported,
  type Scope,
} from './expressions';
import type {ColumnType, RowValues, TableColumn, Value} from './tables';

const AGGREGATES = new Set(['count', 'sum', 'min', 'max']);

const TYPES: Record<ColumnType, number> = {
  text: TYPE_TEXT,
  number: TYPE_INT8,
  boolean: TYPE_BOOL,
};

/** Where a SELECT takes its rows from. */
export interface Source {
  readonly columns: readonly TableColumn[];
  readonly rows: Iterable<RowValues>;
}

/** What a SELECT or RETURNING gives; rows are made as they are taken. */
export interface Answer {
  readonly columns: readonly Column[];
  readonly rows: Iterable<readonly (string | null)[]>;
}

type Environment = Omit<Scope, 'row'>;

interface Output {
  readonly column: Column;
  readonly value: (row: RowValues) => Value;
}

/** Runs the clauses of a SELECT over its source. */
export function select(
  node: SyntaxNode,
  source: Source,
  environment: Environment,
): Answer {
  const rows = filter(node['whereClause'], source.rows, environment);
  const targets = listOf(node, 'targetList');
  if (targets.some(isAggregate)) {
    return aggregate(targets, [...rows], environment);
  }
  const outputs = targets.flatMap(target => {
    return outputsOf(target, source, environment);
  });
  const sorted = sort(node, rows, environment);
  const limited = limit(node, sorted, environment);
  return {
    columns: outputs.map(({column}) => column),
    rows: map(limited, row => outputs.map(({value}) => toText(value(row)))),
  };
}

/** The rows for which a condition holds. */
export function* filter(
  condition: unknown,
  rows: Iterable<RowValues>,
  environment: Environment,
): Generator<RowValues> {
  for (const row of rows) {
    if (!condition || evaluate(condition, {...environment, row})) yield row;
  }
}

/** The columns that a select list gives, without running it. */
export function describeTargets(
  targets: readonly SyntaxNode[],
  columns: readonly TableColumn[],
): Column[] {
  const environment = {parameters: [], wallTime: 0};
  const source = {columns, rows: []};
  return targets.flatMap(target => {
    if (isAggregate(target)) return [aggregateColumn(target)];
    return outputsOf(target, source, environment).map(({column}) => column);
  });
}

/** The protocol's text of a value. */
export function toText(value: Value): string | null {
  if (value === null) return null;
  if (typeof value === 'boolean') return value ? 't' : 'f';
  return String(value);
}

function outputsOf(
  target: SyntaxNode,
  source: Source,
  environment: Environment,
): Output[] {
  const [, {val, name}] = unwrapNode(target);
  const [type, node] = unwrapNode(val);
  if (type === 'ColumnRef' && isStar(node)) {
    return source.columns.map(column => ({
      column: {name: column.name, type: TYPES[column.type]},
      value: row => row[column.name] ?? null,
    }));
  }
  const column = {
    name: name ? String(name) : defaultName(type, node),
    type: typeOfExpression(type, node, source.columns),
  };
  const value = (row: RowValues) => evaluate(val, {...environment, row});
  return [{column, value}];
}

function isStar(node: SyntaxNode): boolean {
  return unwrapNode(listOf(node, 'fields').at(-1))[0] === 'A_Star';
}

function defaultName(type: string, node: SyntaxNode): string {
  if (type === 'ColumnRef') return columnNameOf(node);
  return type === 'FuncCall' ? functionNameOf(node) : '?column?';
}

function typeOfExpression(
  type: string,
  node: SyntaxNode,
  columns: readonly TableColumn[],
): number {
  if (type === 'ColumnRef') {
    const name = columnNameOf(node);
    const column = columns.find(other => other.name === name);
    return column ? TYPES[column.type] : TYPE_TEXT;
  }
  if (type === 'A_Const' && node['ival']) return TYPE_INT8;
  if (type === 'A_Expr' && stringOf(listOf(node, 'name')[0]) !== '||') {
    return TYPE_FLOAT8;
  }
  return TYPE_TEXT;
}

function isAggregate(target: SyntaxNode): boolean {
  const [, {val}] = unwrapNode(target);
  const [type, node] = unwrapNode(val);
  return type === 'FuncCall' && AGGREGATES.has(functionNameOf(node));
}

function aggregateColumn(target: SyntaxNode): Column {
  const [, {val, name}] = unwrapNode(target);
  const [, node] = unwrapNode(val);
  return {name: String(name ?? functionNameOf(node)), type: TYPE_INT8};
}

function aggregate(
  targets: readonly SyntaxNode[],
  rows: readonly RowValues[],
  environment: Environment,
): Answer {
  const values = targets.map(target => {
    if (!isAggregate(target)) throw unsupported('GROUP BY');
    const [, {val}] = unwrapNode(target);
    return aggregateValue(unwrapNode(val)[1], rows, environment);
  });
  return {columns: targets.map(aggregateColumn), rows: [values.map(toText)]};
}

function aggregateValue(
  node: SyntaxNode,
  rows: readonly RowValues[],
  environment: Environment,
): Value {
  const name = functionNameOf(node);
  if (node['agg_star']) return rows.length;
  const argument = listOf(node, 'args')[0];
  const values = rows
    .map(row => evaluate(argument, {...environment, row}))
    .filter(value => value !== null);
  if (name === 'count') return values.length;
  if (values.length === 0) return null;
  if (name === 'sum') {
    return values.reduce<number>((sum, value) => sum + Number(value), 0);
  }
  const sorted = values.sort(compareValues);
  return (name === 'min' ? sorted[0] : sorted.at(-1)) ?? null;
}

function sort(
  node: SyntaxNode,
  rows: Iterable<RowValues>,
  environment: Environment,
): Iterable<RowValues> {
  const keys = listOf(node, 'sortClause').map(item => unwrapNode(item)[1]);
  if (keys.length === 0) return rows;
  return [...rows].sort((a, b) => {
    for (const key of keys) {
      const first = evaluate(key['node'], {...environment, row: a});
      const second = evaluate(key['node'], {...environment, row: b});
      const order = compareValues(first, second);
      if (order === 0) continue;
      return key['sortby_dir'] === 'SORTBY_DESC' ? -order : order;
    }
    return 0;
  });
}

function* limit(
  node: SyntaxNode,
  rows: Iterable<RowValues>,
  environment: Environment,
): Generator<RowValues> {
  const count = node['limitCount'];
  const scope = {...environment, row: {}};
  let left = count ? Number(evaluate(count, scope)) : Infinity;
  for (const row of rows) {
    if (left-- <= 0) return;
    yield row;
  }
}

function* map<A, B>(items: Iterable<A>, change: (item: A) => B): Generator<B> {
  for (const item of items) yield change(item);
}
