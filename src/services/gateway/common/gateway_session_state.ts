import type {Position} from '../../position/common/position';
import {laterPosition} from '../../position/common/position';
import type {OwnCommit} from '../../dispatch/common/checkout_request';
import type {
  PreparedAction,
  Statement,
  TargetStatement,
} from '../../statement/common/statement';

/** What a prepared statement of a session does. */
export interface PreparedStatement {
  readonly action: PreparedAction;
  readonly shape: string;
}

/** What a connection to a member has of earlier sessions. */
export interface ConnectionState {
  readonly values: Map<string, string>;
  /** Names on the connection, by what they do. */
  readonly prepared: Map<string, string>;
}

/** More values or prepared statements than this a session cannot have. */
const MOST_ENTRIES = 1_000;

/** What a session keeps between transactions, on whichever connection. */
export class GatewaySessionState {
  readonly values = new Map<string, string>();
  private readonly prepared = new Map<string, PreparedStatement>();
  private newest: OwnCommit | undefined;

  /** The session's newest commit. */
  get lastCommit(): OwnCommit | undefined {
    return this.newest;
  }

  /** Takes note of an acknowledged commit and the time of its answer. */
  recordCommit(position: Position | undefined, at: number): void {
    if (!position) return;
    const known = this.newest?.position ?? position;
    this.newest = {
      position: laterPosition(known, position),
      acknowledgedAt: at,
    };
  }

  /** False where the session has as many values as it may. */
  setValue(name: string, value: string): boolean {
    if (this.values.size >= MOST_ENTRIES) return false;
    this.values.set(name, value);
    return true;
  }

  /** False where the session has as many statements as it may. */
  prepare(name: string, statement: PreparedStatement): boolean {
    if (this.prepared.size >= MOST_ENTRIES) return false;
    this.prepared.set(name, statement);
    return true;
  }

  /** False where there is no statement of that name. */
  deallocate(name: string): boolean {
    return this.prepared.delete(name);
  }

  findPrepared(name: string): PreparedStatement | undefined {
    return this.prepared.get(name);
  }

  /**
   * The statements that give a connection this session's values.
   *
   * Values that the session does not have can only be cleared all together,
   * and prepared statements go with them.
   */
  statementsToRestore(link: ConnectionState): TargetStatement[] {
    const statements: TargetStatement[] = [];
    const isForeign = [...link.values.keys()].some(name => {
      return !this.values.has(name);
    });
    if (isForeign) {
      statements.push({kind: 'reset'});
      link.values.clear();
      link.prepared.clear();
    }
    for (const [name, value] of this.values) {
      if (link.values.get(name) === value) continue;
      statements.push({kind: 'set', name, value});
      link.values.set(name, value);
    }
    return statements;
  }

  /**
   * What a member runs for an execution: the statement under its name on the
   * connection, and the preparing of it where it is missing there. Names are
   * the connection's own, by shape: those of sessions collide.
   */
  resolveExecute(
    statement: Statement & {kind: 'execute'},
    link: ConnectionState,
  ): {prelude: TargetStatement[]; statement: TargetStatement} | undefined {
    const known = this.prepared.get(statement.name);
    if (!known) return undefined;
    const {action, shape} = known;
    const key = `${action} ${shape}`;
    const there = link.prepared.get(key);
    if (there) return {prelude: [], statement: {...statement, name: there}};
    const name = `p${link.prepared.size + 1}`;
    link.prepared.set(key, name);
    return {
      prelude: [{kind: 'prepare', name, action, shape}],
      statement: {...statement, name},
    };
  }
}
