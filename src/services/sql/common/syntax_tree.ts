/**
 * A node of PostgreSQL's syntax tree, as libpg-query returns it: a plain object
 * with one key, the node's type.
 */
export type SyntaxNode = Readonly<Record<string, unknown>>;

/** One statement of a text. */
export interface ParsedStatement {
  /** The node's type, like SelectStmt. */
  readonly type: string;
  readonly node: SyntaxNode;
}

/** Parses a text into its statements, or returns a syntax error. */
export interface SqlGrammar {
  parse(text: string): readonly ParsedStatement[] | SqlSyntaxError;
}

/** Why a text is not valid SQL. */
export interface SqlSyntaxError {
  readonly message: string;
}

/** The type and fields of a node; '' and no fields for no node. */
export function unwrapNode(node: unknown): [string, SyntaxNode] {
  const entry = Object.entries((node ?? {}) as SyntaxNode)[0];
  return entry ? [entry[0], entry[1] as SyntaxNode] : ['', {}];
}

/** A list field of a node. */
export function listOf(node: SyntaxNode, field: string): SyntaxNode[] {
  return (node[field] ?? []) as SyntaxNode[];
}

/** The text of a String node; '' for any other node. */
export function stringOf(node: unknown): string {
  const [, {sval}] = unwrapNode(node);
  return String(sval ?? '');
}

/** The value of a constant; undefined for any other node. */
export function constantOf(
  node: unknown,
): string | number | boolean | null | undefined {
  const [type, fields] = unwrapNode(node);
  if (type !== 'A_Const') return undefined;
  if (fields['isnull']) return null;
  const {ival, fval, sval, boolval} = fields as Record<
    string,
    SyntaxNode | undefined
  >;
  if (ival) return Number(ival['ival'] ?? 0);
  if (fval) return Number(fval['fval']);
  if (sval) return String(sval['sval'] ?? '');
  if (boolval) return Boolean(boolval['boolval']);
  return null;
}
