import {loadModule, parseSync} from 'libpg-query';
import {toError} from '../../../base/node/task';
import {
  openNode,
  type ParsedStatement,
  type SqlFault,
  type SqlGrammar,
} from '../common/syntax_tree';

/** PostgreSQL's own grammar, from libpg-query. */
export class PostgresGrammar implements SqlGrammar {
  /** Loads the grammar once; its module is compiled here. */
  static async load(): Promise<PostgresGrammar> {
    await loadModule();
    return new PostgresGrammar();
  }

  parse(text: string): readonly ParsedStatement[] | SqlFault {
    try {
      const {stmts = []} = parseSync(text);
      return stmts.map(({stmt}) => {
        const [type, node] = openNode(stmt);
        return {type, node};
      });
    } catch (thrown) {
      return {message: toError(thrown).message};
    }
  }
}
