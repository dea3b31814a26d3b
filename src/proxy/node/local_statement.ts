import type {ClassName} from '../../base/common/ids';
import type {StatementClass} from '../../services/sql/common/classifier';
import {SessionState} from '../../services/session/common/session_state';
import {
  BIND_COMPLETE,
  CLOSE_COMPLETE,
  encodeCommandComplete,
  encodeError,
  encodeParameterDescription,
  encodeReadyForQuery,
  encodeDataRow,
  encodeRowDescription,
  NO_DATA,
  PARSE_COMPLETE,
  TYPE_TEXT,
  type Diagnostic,
} from '../../services/wire/common/backend';
import type {BatchMessage} from '../common/batch';

/** The result of a statement that the proxy runs without a target. */
export interface LocalResult {
  /** The command tag of CommandComplete. */
  readonly tag: string;
  /** The column that SHOW returns. */
  readonly column: {readonly name: string; readonly value: string} | undefined;
  readonly error: Diagnostic | undefined;
}

const INVALID_PARAMETER_VALUE = '22023';

/** Runs a statement on the session state; undefined if it is for a target. */
export function runLocally(
  statement: StatementClass,
  state: SessionState,
  classes: ReadonlySet<ClassName>,
): LocalResult | undefined {
  switch (statement.kind) {
    case 'set':
      return setProxyVariable(statement, state, classes);
    case 'show':
      return showProxyVariable(statement.name, state);
    case 'resetAll':
      state.clearSettings();
      return completed('RESET');
    case 'discardAll':
      state.clearSettings();
      return completed('DISCARD ALL');
    default:
      return undefined;
  }
}

function setProxyVariable(
  {name, value}: Extract<StatementClass, {kind: 'set'}>,
  state: SessionState,
  classes: ReadonlySet<ClassName>,
): LocalResult | undefined {
  if (!SessionState.isProxyVariable(name)) return undefined;
  const invalid = state.setProxyVariable(name, value, classes);
  if (!invalid) return completed('SET');
  const {message} = invalid;
  const error = {
    severity: 'ERROR',
    code: INVALID_PARAMETER_VALUE,
    message,
  } as const;
  return {tag: '', column: undefined, error};
}

function showProxyVariable(
  name: string,
  state: SessionState,
): LocalResult | undefined {
  const value = state.showProxyVariable(name);
  if (value === undefined) return undefined;
  return {tag: 'SHOW', column: {name, value}, error: undefined};
}

function completed(tag: string): LocalResult {
  return {tag, column: undefined, error: undefined};
}

/** Encodes the reply to a batch of one local statement. */
export function encodeLocalResult(
  messages: readonly BatchMessage[],
  result: LocalResult,
): Buffer {
  if (result.error) {
    return Buffer.concat([
      encodeError(result.error),
      encodeReadyForQuery('idle'),
    ]);
  }
  const parts = messages.flatMap(({message}) => {
    switch (message.kind) {
      case 'query':
        return [...encodeDescription(result), ...encodeExecution(result)];
      case 'parse':
        return [PARSE_COMPLETE];
      case 'bind':
        return [BIND_COMPLETE];
      case 'close':
        return [CLOSE_COMPLETE];
      case 'describe': {
        const parameters =
          message.objectKind === 'statement'
            ? [encodeParameterDescription([])]
            : [];
        const columns = encodeDescription(result);
        return [...parameters, ...(columns.length > 0 ? columns : [NO_DATA])];
      }
      case 'execute':
        return encodeExecution(result);
      default:
        return [];
    }
  });
  return Buffer.concat([...parts, encodeReadyForQuery('idle')]);
}

function encodeDescription({column}: LocalResult): Buffer[] {
  if (!column) return [];
  return [encodeRowDescription([{name: column.name, type: TYPE_TEXT}])];
}

function encodeExecution({column, tag}: LocalResult): Buffer[] {
  const row = column ? [encodeDataRow([column.value])] : [];
  return [...row, encodeCommandComplete(tag)];
}
