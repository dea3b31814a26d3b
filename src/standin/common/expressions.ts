import {
  constantOf,
  listOf,
  unwrapNode,
  stringOf,
  type SyntaxNode,
} from '../../services/sql/common/syntax_tree';
import {
  DatabaseError,
  FEATURE_NOT_SUPPORTED,
  UNDEFINED_COLUMN,
  UNDEFINED_FUNCTION,
} from './database_error';
import type {RowValues, Value} from './tables';

/** The row, parameters and time that an expression can refer to. */
export interface EvaluationScope {
  readonly row: RowValues;
  readonly parameters: readonly (string | null)[];
  /** Result of now(), as milliseconds since the Unix epoch. */
  readonly wallTimeMs: number;
}

type Evaluator = (node: SyntaxNode, scope: EvaluationScope) => Value;

const EVALUATORS: Record<string, Evaluator> = {
  ParamRef: (node, scope) => {
    return scope.parameters[Number(node['number']) - 1] ?? null;
  },
  ColumnRef: evaluateColumn,
  TypeCast: (node, scope) => castValue(node, evaluate(node['arg'], scope)),
  A_Expr: evaluateOperator,
  BoolExpr: evaluateBoolean,
  NullTest: (node, scope) => {
    const isNull = evaluate(node['arg'], scope) === null;
    return node['nulltesttype'] === 'IS_NULL' ? isNull : !isNull;
  },
  FuncCall: evaluateFunction,
  CoalesceExpr: (node, scope) => {
    const values = listOf(node, 'args').map(item => evaluate(item, scope));
    return values.find(value => value !== null) ?? null;
  },
};

/** Evaluates an expression; throws a `DatabaseError` if it cannot. */
export function evaluate(expression: unknown, scope: EvaluationScope): Value {
  const constant = constantOf(expression);
  if (constant !== undefined) return constant;
  const [type, node] = unwrapNode(expression);
  const evaluator = EVALUATORS[type];
  if (!evaluator) throw unsupportedError(type);
  return evaluator(node, scope);
}

/** Creates the error for SQL that the stand-in does not implement. */
export function unsupportedError(what: string): DatabaseError {
  return new DatabaseError(
    FEATURE_NOT_SUPPORTED,
    `the stand-in does not support ${what}`,
  );
}

/** Returns the name in a column reference, without its table. */
export function columnNameOf(node: SyntaxNode): string {
  return stringOf(listOf(node, 'fields').at(-1));
}

/** Returns the name in a function call, without its schema. */
export function functionNameOf(node: SyntaxNode): string {
  return stringOf(listOf(node, 'funcname').at(-1));
}

function evaluateColumn(node: SyntaxNode, scope: EvaluationScope): Value {
  const name = columnNameOf(node);
  const value = scope.row[name];
  if (Object.hasOwn(scope.row, name) && value !== undefined) return value;
  throw new DatabaseError(UNDEFINED_COLUMN, `column "${name}" does not exist`);
}

function castValue(node: SyntaxNode, value: Value): Value {
  if (value === null) return null;
  const type = node['typeName'] as SyntaxNode;
  const name = stringOf(listOf(type, 'names').at(-1));
  if (/^(int|float|numeric)/.test(name)) return Number(value);
  return name === 'text' ? String(value) : value;
}

function evaluateBoolean(node: SyntaxNode, scope: EvaluationScope): Value {
  const values = listOf(node, 'args').map(item => evaluate(item, scope));
  if (node['boolop'] === 'NOT_EXPR') return !values[0];
  if (node['boolop'] === 'AND_EXPR') return values.every(Boolean);
  return values.some(Boolean);
}

function evaluateOperator(node: SyntaxNode, scope: EvaluationScope): Value {
  const left = evaluate(node['lexpr'], scope);
  if (node['kind'] === 'AEXPR_IN') {
    const [, list] = unwrapNode(node['rexpr']);
    const values = listOf(list, 'items').map(item => evaluate(item, scope));
    return values.some(value => compareValues(left, value) === 0);
  }
  const right = evaluate(node['rexpr'], scope);
  if (left === null || right === null) return null;
  return applyOperator(stringOf(listOf(node, 'name')[0]), left, right);
}

function applyOperator(
  operator: string,
  left: NonNullable<Value>,
  right: NonNullable<Value>,
): Value {
  const comparison = compareValues(left, right);
  switch (operator) {
    case '=':
      return comparison === 0;
    case '<>':
      return comparison !== 0;
    case '<':
      return comparison < 0;
    case '<=':
      return comparison <= 0;
    case '>':
      return comparison > 0;
    case '>=':
      return comparison >= 0;
    case '+':
      return Number(left) + Number(right);
    case '-':
      return Number(left) - Number(right);
    case '*':
      return Number(left) * Number(right);
    case '%':
      return Number(left) % Number(right);
    case '||':
      return `${left}${right}`;
    default:
      throw unsupportedError(`the operator ${operator}`);
  }
}

/** Compares numerically if either value is a number; NULL sorts last. */
export function compareValues(left: Value, right: Value): number {
  if (left === null || right === null) {
    return Number(left === null) - Number(right === null);
  }
  if (typeof left === 'number' || typeof right === 'number') {
    return Number(left) - Number(right);
  }
  const [leftText, rightText] = [String(left), String(right)];
  if (leftText === rightText) return 0;
  return leftText < rightText ? -1 : 1;
}

function evaluateFunction(node: SyntaxNode, scope: EvaluationScope): Value {
  const name = functionNameOf(node);
  const values = listOf(node, 'args').map(item => evaluate(item, scope));
  switch (name) {
    case 'now':
      return new Date(scope.wallTimeMs).toISOString();
    case 'lower':
      return String(values[0]).toLowerCase();
    case 'upper':
      return String(values[0]).toUpperCase();
    case 'length':
      return String(values[0]).length;
    case 'repeat':
      return String(values[0]).repeat(Number(values[1]));
    case 'pg_sleep':
      return '';
    default:
      throw new DatabaseError(
        UNDEFINED_FUNCTION,
        `function ${name} does not exist`,
      );
  }
}
