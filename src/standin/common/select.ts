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
  unsupportedError,
  type EvaluationScope,
} from './expressions';
import type {ColumnType, RowValues, TableColumn, Value} from './tables';

const AGGREGATES = new Set(['count', 'sum', 'min', 'max']);

const TYPE_OIDS: Record<ColumnType, number> = {
  text: TYPE_TEXT,
  number: TYPE_INT8,
  boolean: TYPE_BOOL,
};

/** The rows and columns that a SELECT reads. */
export interface RowSource {
  readonly columns: readonly TableColumn[];
  readonly rows: Iterable<RowValues>;
}

/** Output of a SELECT or RETURNING clause; rows are computed lazily. */
export interface ResultSet {
  readonly columns: readonly Column[];
  readonly rows: Iterable<readonly (string | null)[]>;
}

type StatementScope = Omit<EvaluationScope, 'row'>;

interface OutputColumn {
  readonly column: Column;
  readonly evaluateRow: (row: RowValues) => Value;
}

/** Evaluates a SELECT over its row source. */
export function select(
  node: SyntaxNode,
  source: RowSource,
  environment: StatementScope,
): ResultSet {
  const rows = filter(node['whereClause'], source.rows, environment);
  const targets = listOf(node, 'targetList');
  if (targets.some(isAggregate)) {
    return aggregate(targets, [...rows], environment);
  }
  const outputs = targets.flatMap(target => {
    return outputColumnsOf(target, source, environment);
  });
  const sorted = sort(node, rows, environment);
  const limited = limit(node, sorted, environment);
  return {
    columns: outputs.map(({column}) => column),
    rows: map(limited, row =>
      outputs.map(({evaluateRow}) => encodeText(evaluateRow(row))),
    ),
  };
}

/** Yields the rows that satisfy a condition; all if there is none. */
export function* filter(
  condition: unknown,
  rows: Iterable<RowValues>,
  environment: StatementScope,
): Generator<RowValues> {
  for (const row of rows) {
    if (!condition || evaluate(condition, {...environment, row})) yield row;
  }
}

/** Returns the output columns of a select list without evaluating it. */
export function describeOutput(
  targets: readonly SyntaxNode[],
  columns: readonly TableColumn[],
): Column[] {
  const environment = {parameters: [], wallTimeMs: 0};
  const source = {columns, rows: []};
  return targets.flatMap(target => {
    if (isAggregate(target)) return [aggregateColumn(target)];
    return outputColumnsOf(target, source, environment).map(
      ({column}) => column,
    );
  });
}

/** Encodes a value in PostgreSQL's text format. */
export function encodeText(value: Value): string | null {
  if (value === null) return null;
  if (typeof value === 'boolean') return value ? 't' : 'f';
  return String(value);
}

function outputColumnsOf(
  target: SyntaxNode,
  source: RowSource,
  environment: StatementScope,
): OutputColumn[] {
  const [, {val, name}] = unwrapNode(target);
  const [type, node] = unwrapNode(val);
  if (type === 'ColumnRef' && isStar(node)) {
    return source.columns.map(column => ({
      column: {name: column.name, type: TYPE_OIDS[column.type]},
      evaluateRow: row => row[column.name] ?? null,
    }));
  }
  const column = {
    name: name ? String(name) : defaultName(type, node),
    type: typeOidOf(type, node, source.columns),
  };
  const evaluateRow = (row: RowValues) => evaluate(val, {...environment, row});
  return [{column, evaluateRow}];
}

function isStar(node: SyntaxNode): boolean {
  return unwrapNode(listOf(node, 'fields').at(-1))[0] === 'A_Star';
}

function defaultName(type: string, node: SyntaxNode): string {
  if (type === 'ColumnRef') return columnNameOf(node);
  return type === 'FuncCall' ? functionNameOf(node) : '?column?';
}

function typeOidOf(
  type: string,
  node: SyntaxNode,
  columns: readonly TableColumn[],
): number {
  if (type === 'ColumnRef') {
    const name = columnNameOf(node);
    const column = columns.find(candidate => candidate.name === name);
    return column ? TYPE_OIDS[column.type] : TYPE_TEXT;
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
  environment: StatementScope,
): ResultSet {
  const values = targets.map(target => {
    if (!isAggregate(target)) throw unsupportedError('GROUP BY');
    const [, {val}] = unwrapNode(target);
    return aggregateValue(unwrapNode(val)[1], rows, environment);
  });
  return {
    columns: targets.map(aggregateColumn),
    rows: [values.map(encodeText)],
  };
}

function aggregateValue(
  node: SyntaxNode,
  rows: readonly RowValues[],
  environment: StatementScope,
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
  environment: StatementScope,
): Iterable<RowValues> {
  const keys = listOf(node, 'sortClause').map(item => unwrapNode(item)[1]);
  if (keys.length === 0) return rows;
  return [...rows].sort((leftRow, rightRow) => {
    for (const key of keys) {
      const left = evaluate(key['node'], {...environment, row: leftRow});
      const right = evaluate(key['node'], {...environment, row: rightRow});
      const comparison = compareValues(left, right);
      if (comparison === 0) continue;
      return key['sortby_dir'] === 'SORTBY_DESC' ? -comparison : comparison;
    }
    return 0;
  });
}

function* limit(
  node: SyntaxNode,
  rows: Iterable<RowValues>,
  environment: StatementScope,
): Generator<RowValues> {
  const limitNode = node['limitCount'];
  const scope = {...environment, row: {}};
  let remaining = limitNode ? Number(evaluate(limitNode, scope)) : Infinity;
  for (const row of rows) {
    if (remaining-- <= 0) return;
    yield row;
  }
}

function* map<A, B>(
  items: Iterable<A>,
  transform: (item: A) => B,
): Generator<B> {
  for (const item of items) yield transform(item);
}
