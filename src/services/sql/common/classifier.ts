import {
  constantOf,
  listOf,
  unwrapNode,
  stringOf,
  type ParsedStatement,
  type SqlGrammar,
  type SyntaxNode,
} from './syntax_tree';

/** How the proxy handles a statement. */
export type StatementClass =
  /** Known to change nothing, so it may run on a replica. */
  | {readonly kind: 'read'}
  /** Any other statement; it runs on the primary. */
  | {readonly kind: 'write'}
  | {readonly kind: 'begin'; readonly readOnly: boolean}
  | {readonly kind: 'commit'}
  | {readonly kind: 'rollback'}
  /** SET or RESET, of the transaction if local and of the session if not. */
  | {
      readonly kind: 'set';
      readonly name: string;
      /** Undefined for RESET. */
      readonly value: string | undefined;
      readonly local: boolean;
    }
  | {readonly kind: 'resetAll'}
  | {readonly kind: 'discardAll'}
  | {readonly kind: 'show'; readonly name: string}
  /** Would leave state on a connection that other sessions use. */
  | {readonly kind: 'unsupported'; readonly feature: string};

/** The statements of a text, or its syntax error. */
export interface ClassifiedText {
  readonly statements: readonly StatementClass[];
  /** Set if the parser rejects the text. */
  readonly syntaxError: string | undefined;
}

const MAX_CACHED_TEXTS = 5_000;
const MAX_CACHED_LENGTH = 4_000;

/**
 * Functions without side effects that return the same on a replica. A statement
 * with any other function runs on the primary.
 */
const READ_ONLY_FUNCTIONS = new Set(
  (
    'abs array_agg array_length avg btrim ceil char_length coalesce concat ' +
    'count date_part date_trunc floor generate_series greatest initcap ' +
    'json_agg json_build_object jsonb_agg jsonb_build_object least left ' +
    'length lower lpad ltrim max md5 min mod now nullif pg_sleep repeat ' +
    'replace right round row_number rpad rtrim split_part string_agg strpos ' +
    'substr substring sum to_char to_date to_number to_timestamp trim trunc ' +
    'upper version'
  ).split(' '),
);

/** Functions that leave session state beyond their transaction. */
const SESSION_FUNCTIONS = new Set(
  (
    'pg_advisory_lock pg_advisory_lock_shared pg_try_advisory_lock ' +
    'pg_try_advisory_lock_shared pg_advisory_unlock set_config'
  ).split(' '),
);

/** The bit of DECLARE's options for a cursor that outlives its transaction. */
const CURSOR_WITH_HOLD = 0x20;

const UNSUPPORTED: Readonly<Record<string, string>> = {
  PrepareStmt: 'PREPARE; use the protocol’s prepared statements',
  ExecuteStmt: 'EXECUTE; use the protocol’s prepared statements',
  DeallocateStmt: 'DEALLOCATE; use the protocol’s prepared statements',
  ListenStmt: 'LISTEN',
  UnlistenStmt: 'UNLISTEN',
  CopyStmt: 'COPY',
  LoadStmt: 'LOAD',
};

const TRANSACTION_KINDS: Readonly<Record<string, StatementClass>> = {
  TRANS_STMT_COMMIT: {kind: 'commit'},
  TRANS_STMT_ROLLBACK: {kind: 'rollback'},
  TRANS_STMT_SAVEPOINT: {kind: 'write'},
  TRANS_STMT_RELEASE: {kind: 'write'},
  TRANS_STMT_ROLLBACK_TO: {kind: 'write'},
};

/** Classifies statements, with a cache by text. */
export class Classifier {
  private readonly cache = new Map<string, ClassifiedText>();

  constructor(private readonly grammar: SqlGrammar) {}

  classify(text: string): ClassifiedText {
    const cached = this.cache.get(text);
    if (cached) return cached;
    const classified = this.classifyUncached(text);
    this.addToCache(text, classified);
    return classified;
  }

  private classifyUncached(text: string): ClassifiedText {
    const parsed = this.grammar.parse(text);
    if ('message' in parsed) {
      return {statements: [{kind: 'write'}], syntaxError: parsed.message};
    }
    return {statements: parsed.map(classifyStatement), syntaxError: undefined};
  }

  private addToCache(text: string, classified: ClassifiedText): void {
    if (text.length > MAX_CACHED_LENGTH) return;
    if (this.cache.size >= MAX_CACHED_TEXTS) {
      this.cache.delete(this.cache.keys().next().value!);
    }
    this.cache.set(text, classified);
  }
}

/** Classifies one parsed statement. */
export function classifyStatement({
  type,
  node,
}: ParsedStatement): StatementClass {
  const feature = UNSUPPORTED[type];
  if (feature) return {kind: 'unsupported', feature: feature};
  switch (type) {
    case 'SelectStmt':
      return classifySelect(node);
    case 'TransactionStmt':
      return classifyTransaction(node);
    case 'VariableSetStmt':
      return classifySet(node);
    case 'VariableShowStmt':
      return {kind: 'show', name: String(node['name'])};
    case 'DiscardStmt':
      return {kind: 'discardAll'};
    case 'DeclareCursorStmt':
      return classifyCursor(node);
    default:
      return classifyOther(node);
  }
}

function classifySelect(node: SyntaxNode): StatementClass {
  const scan = new TreeScan();
  scan.visit(node);
  if (scan.sessionFunction) {
    return {
      kind: 'unsupported',
      feature: `the function ${scan.sessionFunction}`,
    };
  }
  const hasChanges = scan.hasLock || scan.hasWrite || node['intoClause'];
  return hasChanges || scan.hasUnsafeFunction
    ? {kind: 'write'}
    : {kind: 'read'};
}

function classifyTransaction(node: SyntaxNode): StatementClass {
  const kind = String(node['kind']);
  if (kind === 'TRANS_STMT_BEGIN' || kind === 'TRANS_STMT_START') {
    return {kind: 'begin', readOnly: isReadOnly(node)};
  }
  const known = TRANSACTION_KINDS[kind];
  return known ?? {kind: 'unsupported', feature: 'two-phase commit'};
}

function isReadOnly(node: SyntaxNode): boolean {
  return listOf(node, 'options').some(option => {
    const [, {defname, arg}] = unwrapNode(option);
    return defname === 'transaction_read_only' && constantOf(arg) === 1;
  });
}

function classifySet(node: SyntaxNode): StatementClass {
  const kind = String(node['kind']);
  const name = String(node['name'] ?? '');
  if (kind === 'VAR_RESET_ALL') return {kind: 'resetAll'};
  if (name === 'SESSION CHARACTERISTICS') {
    return {kind: 'unsupported', feature: 'SET SESSION CHARACTERISTICS'};
  }
  const local = Boolean(node['is_local']) || name === 'TRANSACTION';
  if (kind === 'VAR_RESET' || kind === 'VAR_SET_DEFAULT') {
    return {kind: 'set', name, value: undefined, local};
  }
  const [argument] = listOf(node, 'args');
  return {kind: 'set', name, value: String(constantOf(argument) ?? ''), local};
}

function classifyCursor(node: SyntaxNode): StatementClass {
  const holdOption = Number(node['options'] ?? 0) & CURSOR_WITH_HOLD;
  if (holdOption) return {kind: 'unsupported', feature: 'cursors WITH HOLD'};
  return {kind: 'write'};
}

function classifyOther(node: SyntaxNode): StatementClass {
  const relation = node['relation'] as SyntaxNode | undefined;
  if (relation?.['relpersistence'] === 't') {
    return {kind: 'unsupported', feature: 'temporary tables'};
  }
  const scan = new TreeScan();
  scan.visit(node);
  if (scan.sessionFunction) {
    return {
      kind: 'unsupported',
      feature: `the function ${scan.sessionFunction}`,
    };
  }
  return {kind: 'write'};
}

/** Searches a tree for what a replica must not run. */
class TreeScan {
  hasUnsafeFunction = false;
  hasLock = false;
  hasWrite = false;
  sessionFunction: string | undefined;

  visit(value: unknown): void {
    if (Array.isArray(value)) {
      for (const item of value) this.visit(item);
      return;
    }
    if (typeof value !== 'object' || value === null) return;
    for (const [field, child] of Object.entries(value)) {
      this.inspect(field, child as SyntaxNode);
      this.visit(child);
    }
  }

  private inspect(field: string, child: SyntaxNode): void {
    if (field === 'lockingClause') this.hasLock = true;
    if (/^(Insert|Update|Delete|Merge)Stmt$/.test(field)) this.hasWrite = true;
    if (field !== 'FuncCall') return;
    const name = stringOf(listOf(child, 'funcname').at(-1));
    if (SESSION_FUNCTIONS.has(name)) this.sessionFunction = name;
    if (!READ_ONLY_FUNCTIONS.has(name)) this.hasUnsafeFunction = true;
  }
}
