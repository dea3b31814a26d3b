import {loadModule, parseSync} from 'libpg-query';
import {toError} from '../../../base/node/task';
import {
  unwrapNode,
  type ParsedStatement,
  type SqlSyntaxError,
  type SqlGrammar,
} from '../common/syntax_tree';

const MOST_KEPT_TEXTS = 1_000;
const MOST_KEPT_LENGTH = 2_000;

/** PostgreSQL's own grammar, from libpg-query; trees that it made are kept. */
export class PostgresGrammar implements SqlGrammar {
  private readonly kept = new Map<string, readonly ParsedStatement[]>();

  /** Loads the grammar once; its module is compiled here. */
  static async load(): Promise<PostgresGrammar> {
    await loadModule();
    return new PostgresGrammar();
  }

  parse(text: string): readonly ParsedStatement[] | SqlSyntaxError {
    const known = this.kept.get(text);
    if (known) return known;
    const parsed = this.parseAnew(text);
    if (!('message' in parsed)) this.keep(text, parsed);
    return parsed;
  }

  private keep(text: string, parsed: readonly ParsedStatement[]): void {
    if (text.length > MOST_KEPT_LENGTH) return;
    if (this.kept.size >= MOST_KEPT_TEXTS) {
      this.kept.delete(this.kept.keys().next().value!);
    }
    this.kept.set(text, parsed);
  }

  private parseAnew(text: string): readonly ParsedStatement[] | SqlSyntaxError {
    try {
      const {stmts = []} = parseSync(text);
      return stmts.map(({stmt}) => {
        const [type, node] = unwrapNode(stmt);
        return {type, node};
      });
    } catch (thrown) {
      return {message: toError(thrown).message};
    }
  }
}
