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

/** The answer to a statement that the proxy carries out by itself. */
export interface LocalAnswer {
  readonly tag: string;
  /** The one value of SHOW, with the column's name. */
  readonly shown: {readonly name: string; readonly value: string} | undefined;
  readonly error: Diagnostic | undefined;
}

const INVALID_PARAMETER = '22023';

/**
 * Carries out a statement on the session's own state; undefined where it is
 * for a target.
 */
export function runLocally(
  statement: StatementClass,
  state: SessionState,
  classes: ReadonlySet<ClassName>,
): LocalAnswer | undefined {
  switch (statement.kind) {
    case 'set':
      return setOwn(statement, state, classes);
    case 'show':
      return showOwn(statement.name, state);
    case 'resetAll':
      state.clearSettings();
      return done('RESET');
    case 'discardAll':
      state.clearSettings();
      return done('DISCARD ALL');
    default:
      return undefined;
  }
}

function setOwn(
  {name, value}: Extract<StatementClass, {kind: 'set'}>,
  state: SessionState,
  classes: ReadonlySet<ClassName>,
): LocalAnswer | undefined {
  if (!SessionState.isProxyVariable(name)) return undefined;
  const fault = state.setProxyVariable(name, value, classes);
  if (!fault) return done('SET');
  const {message} = fault;
  const error = {severity: 'ERROR', code: INVALID_PARAMETER, message} as const;
  return {tag: '', shown: undefined, error};
}

function showOwn(name: string, state: SessionState): LocalAnswer | undefined {
  const value = state.showProxyVariable(name);
  if (value === undefined) return undefined;
  return {tag: 'SHOW', shown: {name, value}, error: undefined};
}

function done(tag: string): LocalAnswer {
  return {tag, shown: undefined, error: undefined};
}

/** The bytes that answer a batch of one local statement. */
export function encodeLocalAnswer(
  messages: readonly BatchMessage[],
  answer: LocalAnswer,
): Buffer {
  if (answer.error) {
    return Buffer.concat([
      encodeError(answer.error),
      encodeReadyForQuery('idle'),
    ]);
  }
  const parts = messages.flatMap(({message}) => {
    switch (message.kind) {
      case 'query':
        return [...description(answer), ...rowAndEnd(answer)];
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
        const columns = description(answer);
        return [...parameters, ...(columns.length > 0 ? columns : [NO_DATA])];
      }
      case 'execute':
        return rowAndEnd(answer);
      default:
        return [];
    }
  });
  return Buffer.concat([...parts, encodeReadyForQuery('idle')]);
}

function description({shown}: LocalAnswer): Buffer[] {
  if (!shown) return [];
  return [encodeRowDescription([{name: shown.name, type: TYPE_TEXT}])];
}

function rowAndEnd({shown, tag}: LocalAnswer): Buffer[] {
  const row = shown ? [encodeDataRow([shown.value])] : [];
  return [...row, encodeCommandComplete(tag)];
}
