import type {Position} from '../../position/common/position';
import {laterPosition} from '../../position/common/position';
import type {OwnCommit} from '../../dispatch/common/checkout_request';
import type {
  PreparedAction,
  Statement,
  TargetStatement,
} from '../../statement/common/statement';

/** A prepared statement of a session. */
export interface PreparedStatement {
  readonly action: PreparedAction;
  readonly shape: string;
}

/** The session state that earlier sessions left on a connection. */
export interface ConnectionState {
  readonly values: Map<string, string>;
  /** Names of prepared statements, by action and shape. */
  readonly prepared: Map<string, string>;
}

/** Bound of a session's values, and of its prepared statements. */
const MAX_ENTRIES = 1_000;

/** Session state that is independent of the connection in use. */
export class GatewaySessionState {
  readonly values = new Map<string, string>();
  private readonly prepared = new Map<string, PreparedStatement>();
  private latestCommit: OwnCommit | undefined;

  get lastCommit(): OwnCommit | undefined {
    return this.latestCommit;
  }

  /** Records an acknowledged commit and the time of its reply. */
  recordCommit(position: Position | undefined, acknowledgedAt: number): void {
    if (!position) return;
    const lastPosition = this.latestCommit?.position ?? position;
    this.latestCommit = {
      position: laterPosition(lastPosition, position),
      acknowledgedAt,
    };
  }

  /** False if the session has too many values. */
  setValue(name: string, value: string): boolean {
    if (this.values.size >= MAX_ENTRIES) return false;
    this.values.set(name, value);
    return true;
  }

  /** False if the session has too many prepared statements. */
  prepare(name: string, statement: PreparedStatement): boolean {
    if (this.prepared.size >= MAX_ENTRIES) return false;
    this.prepared.set(name, statement);
    return true;
  }

  /** False if there is no statement of that name. */
  deallocate(name: string): boolean {
    return this.prepared.delete(name);
  }

  findPrepared(name: string): PreparedStatement | undefined {
    return this.prepared.get(name);
  }

  /**
   * The statements that set this session's values on a connection.
   *
   * Values of another session can only be cleared with a reset, which also
   * drops all prepared statements.
   */
  statementsToRestore(connection: ConnectionState): TargetStatement[] {
    const statements: TargetStatement[] = [];
    const hasForeignValue = [...connection.values.keys()].some(name => {
      return !this.values.has(name);
    });
    if (hasForeignValue) {
      statements.push({kind: 'reset'});
      connection.values.clear();
      connection.prepared.clear();
    }
    for (const [name, value] of this.values) {
      if (connection.values.get(name) === value) continue;
      statements.push({kind: 'set', name, value});
      connection.values.set(name, value);
    }
    return statements;
  }

  /**
   * Translates an execution for a connection and prepares its statement there
   * if needed. Prepared statements have names per connection, since the names
   * of different sessions collide.
   */
  resolveExecute(
    statement: Statement & {kind: 'execute'},
    connection: ConnectionState,
  ): {prelude: TargetStatement[]; statement: TargetStatement} | undefined {
    const prepared = this.prepared.get(statement.name);
    if (!prepared) return undefined;
    const {action, shape} = prepared;
    const key = `${action} ${shape}`;
    const found = connection.prepared.get(key);
    if (found) return {prelude: [], statement: {...statement, name: found}};
    const name = `p${connection.prepared.size + 1}`;
    connection.prepared.set(key, name);
    return {
      prelude: [{kind: 'prepare', name, action, shape}],
      statement: {...statement, name},
    };
  }
}
