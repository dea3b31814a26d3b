import type {
  Classifier,
  StatementClass,
} from '../../services/sql/common/classifier';
import {encodeFrame, type Frame} from '../../services/wire/common/frames';
import {
  encodeBind,
  encodeDescribeStatement,
  encodeParse,
  type FrontendMessage,
} from '../../services/wire/common/frontend';

/** A prepared statement of a session, as its Parse message gave it. */
export interface PreparedStatement {
  readonly text: string;
  /** The Parse message after the text: the parameter types. */
  readonly rest: Buffer;
}

/** One message of a caller, decoded and as received. */
export interface BatchMessage {
  readonly message: FrontendMessage;
  readonly frame: Frame;
}

/** Names of the statements prepared on a connection, by text and types. */
export interface ConnectionStatements {
  get(key: string): string | undefined;
  set(key: string, name: string): unknown;
  readonly size: number;
}

/** A batch as it is sent to a target. */
export interface OutgoingBatch {
  readonly bytes: Buffer;
  /** For each Parse sent, whether its ParseComplete goes to the caller. */
  readonly relayedParses: boolean[];
  /** How many CloseComplete messages don't go to the caller. */
  readonly hiddenCloseCount: number;
}

/** Statement name that is parsed and closed, but never bound. */
const SCRATCH_NAME = 'bulrush_scratch';
const CLOSE_SCRATCH = encodeFrame('C', Buffer.from(`S${SCRATCH_NAME}\0`));

/** The statements of a batch and what they require together. */
export interface BatchPlan {
  readonly statements: readonly StatementClass[];
  readonly isRead: boolean;
  /** A feature of the batch that pooled connections cannot support. */
  readonly unsupported: string | undefined;
}

/** Prepared statements of a session by name; '' is the unnamed one. */
export type PreparedStatements = Map<string, PreparedStatement>;

/** Classifies all statements that a batch parses or runs. */
export function planBatch(
  messages: readonly BatchMessage[],
  sessionStatements: PreparedStatements,
  classifier: Classifier,
): BatchPlan {
  const statements = messages.flatMap(({message}) => {
    return classifyMessage(message, sessionStatements, classifier);
  });
  return {
    statements,
    isRead: statements.every(({kind}) => kind === 'read' || kind === 'show'),
    unsupported: findUnsupported(statements),
  };
}

/** Applies a Parse or Close to the prepared statements of a session. */
export function updateStatements(
  message: FrontendMessage,
  statements: PreparedStatements,
): void {
  if (message.kind === 'parse') {
    const {name, text, rest} = message;
    statements.set(name, {text, rest: Buffer.from(rest)});
  }
  if (message.kind === 'close' && message.objectKind === 'statement') {
    statements.delete(message.name);
  }
}

/**
 * Encodes a batch for one connection. Sessions share connections, so each
 * statement name of the session is replaced by the connection's name for the
 * same text and types.
 */
export class BatchEncoder {
  private readonly chunks: Buffer[] = [];
  private readonly relayedParses: boolean[] = [];
  private hiddenCloseCount = 0;
  private unnamedKey: string | undefined;

  constructor(
    private readonly sessionStatements: PreparedStatements,
    private readonly connectionStatements: ConnectionStatements,
  ) {}

  encode(messages: readonly BatchMessage[]): OutgoingBatch {
    for (const {message, frame} of messages) this.add(message, frame);
    return {
      bytes:
        this.chunks.length === 1 ? this.chunks[0]! : Buffer.concat(this.chunks),
      relayedParses: this.relayedParses,
      hiddenCloseCount: this.hiddenCloseCount,
    };
  }

  private add(message: FrontendMessage, frame: Frame): void {
    switch (message.kind) {
      case 'parse':
        return this.addParse(message, frame);
      case 'bind':
        return this.addBind(message, frame);
      case 'describe':
        return this.addDescribe(message, frame);
      default:
        this.chunks.push(frame.bytes);
    }
  }

  private addParse(
    message: FrontendMessage & {kind: 'parse'},
    frame: Frame,
  ): void {
    const {name, text, rest} = message;
    this.relayedParses.push(true);
    if (name === '') {
      this.unnamedKey = statementKey(message);
      this.chunks.push(frame.bytes);
      return;
    }
    // A statement that is already prepared on the connection is parsed under
    // a scratch name, so that the caller gets the target's own reply.
    if (this.connectionStatements.get(statementKey(message))) {
      this.hiddenCloseCount++;
      this.chunks.push(CLOSE_SCRATCH, encodeParse(SCRATCH_NAME, text, rest));
      return;
    }
    this.chunks.push(encodeParse(this.addName(message), text, rest));
  }

  private addBind(
    message: FrontendMessage & {kind: 'bind'},
    frame: Frame,
  ): void {
    const name = this.connectionNameOf(message.statement);
    if (name === message.statement) this.chunks.push(frame.bytes);
    else this.chunks.push(encodeBind(message.portal, name, message.rest));
  }

  private addDescribe(
    message: Extract<FrontendMessage, {kind: 'describe' | 'close'}>,
    frame: Frame,
  ): void {
    if (message.objectKind === 'portal') {
      this.chunks.push(frame.bytes);
      return;
    }
    this.chunks.push(
      encodeDescribeStatement(this.connectionNameOf(message.name)),
    );
  }

  /** The connection's name of a statement, which is prepared if needed. */
  private connectionNameOf(sessionName: string): string {
    const statement = this.sessionStatements.get(sessionName);
    if (!statement) return sessionName;
    const {text, rest} = statement;
    if (sessionName === '') {
      if (this.unnamedKey !== statementKey(statement)) {
        this.unnamedKey = statementKey(statement);
        this.relayedParses.push(false);
        this.chunks.push(encodeParse('', text, rest));
      }
      return '';
    }
    const existingName = this.connectionStatements.get(statementKey(statement));
    if (existingName) return existingName;
    const name = this.addName(statement);
    this.relayedParses.push(false);
    this.chunks.push(encodeParse(name, text, rest));
    return name;
  }

  private addName(statement: PreparedStatement): string {
    const name = `bulrush_${this.connectionStatements.size + 1}`;
    this.connectionStatements.set(statementKey(statement), name);
    return name;
  }
}

function statementKey({text, rest}: PreparedStatement): string {
  return `${text}\0${rest.toString('latin1')}`;
}

function classifyMessage(
  message: FrontendMessage,
  sessionStatements: PreparedStatements,
  classifier: Classifier,
): readonly StatementClass[] {
  if (message.kind === 'query') {
    return classifier.classify(message.text).statements;
  }
  if (message.kind === 'parse') {
    return classifier.classify(message.text).statements;
  }
  if (message.kind !== 'bind') return [];
  const statement = sessionStatements.get(message.statement);
  if (!statement) return [{kind: 'write'}];
  return classifier.classify(statement.text).statements;
}

function findUnsupported(
  statements: readonly StatementClass[],
): string | undefined {
  for (const statement of statements) {
    if (statement.kind === 'unsupported') return statement.feature;
  }
  const isMixed = statements.length > 1 && hasInnerCommit(statements);
  return isMixed ? 'COMMIT or ROLLBACK before the end of a batch' : undefined;
}

/** Whether a COMMIT or ROLLBACK is followed by other statements. */
function hasInnerCommit(statements: readonly StatementClass[]): boolean {
  const isEnd = (kind: string) => kind === 'commit' || kind === 'rollback';
  const end = statements.findIndex(({kind}) => isEnd(kind));
  return end >= 0 && statements.slice(end).some(({kind}) => !isEnd(kind));
}
