import {loadModule, parseSync} from 'libpg-query';
import {toError} from '../../../base/common/errors';
import {
  unwrapNode,
  type ParsedStatement,
  type SqlSyntaxError,
  type SqlGrammar,
} from '../common/syntax_tree';

const MAX_CACHED_TEXTS = 1_000;
const MAX_CACHED_LENGTH = 2_000;

/** PostgreSQL's own parser, from libpg-query, with a cache of its trees. */
export class PostgresGrammar implements SqlGrammar {
  private readonly cache = new Map<string, readonly ParsedStatement[]>();

  /** Loads and compiles the parser's WebAssembly module. */
  static async load(): Promise<PostgresGrammar> {
    await loadModule();
    return new PostgresGrammar();
  }

  parse(text: string): readonly ParsedStatement[] | SqlSyntaxError {
    const cached = this.cache.get(text);
    if (cached) return cached;
    const parsed = this.parseUncached(text);
    if (!('message' in parsed)) this.addToCache(text, parsed);
    return parsed;
  }

  private addToCache(text: string, parsed: readonly ParsedStatement[]): void {
    if (text.length > MAX_CACHED_LENGTH) return;
    if (this.cache.size >= MAX_CACHED_TEXTS) {
      this.cache.delete(this.cache.keys().next().value!);
    }
    this.cache.set(text, parsed);
  }

  private parseUncached(
    text: string,
  ): readonly ParsedStatement[] | SqlSyntaxError {
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
