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

/** A prepared statement of a session. */
export interface NamedStatement {
  readonly text: string;
  readonly rest: Buffer;
}

/** One message of a caller with its frame. */
export interface BatchMessage {
  readonly message: FrontendMessage;
  readonly frame: Frame;
}

/** What is known of a connection's prepared statements. */
export interface PreparedNames {
  get(key: string): string | undefined;
  set(key: string, name: string): unknown;
  readonly size: number;
}

/** What goes to a target for a batch. */
export interface OutgoingBatch {
  readonly bytes: Buffer;
  /** For each Parse sent, whether the caller is to see its answer. */
  readonly shownParses: boolean[];
  /** CloseComplete answers that the caller is not to see. */
  readonly hiddenCloses: number;
}

const SCRATCH_NAME = 'bulrush_scratch';
const CLOSE_SCRATCH = encodeFrame('C', Buffer.from(`S${SCRATCH_NAME}\0`));

/** What a batch does, taken together. */
export interface BatchPlan {
  readonly statements: readonly StatementClass[];
  readonly isRead: boolean;
  readonly unsupported: string | undefined;
}

/** The session's statements by name; '' is the unnamed one. */
export type NamedStatements = Map<string, NamedStatement>;

/** The classes of all statements that a batch runs. */
export function planBatch(
  messages: readonly BatchMessage[],
  named: NamedStatements,
  classifier: Classifier,
): BatchPlan {
  const statements = messages.flatMap(({message}) => {
    return statementsOf(message, named, classifier);
  });
  return {
    statements,
    isRead: statements.every(({kind}) => kind === 'read' || kind === 'show'),
    unsupported: unsupportedIn(statements),
  };
}

/** Takes note of what a Parse or Close does to the session's names. */
export function noteNames(
  message: FrontendMessage,
  named: NamedStatements,
): void {
  if (message.kind === 'parse') {
    const {name, text, rest} = message;
    named.set(name, {text, rest: Buffer.from(rest)});
  }
  if (message.kind === 'close' && message.objectKind === 'statement') {
    named.delete(message.name);
  }
}

/**
 * Rewrites a batch for one connection. Names of prepared statements are the
 * session's; the connection has names of its own, since others use it too.
 */
export class BatchEncoder {
  private readonly parts: Buffer[] = [];
  private readonly shownParses: boolean[] = [];
  private hiddenCloses = 0;
  private unnamed: string | undefined;

  constructor(
    private readonly named: NamedStatements,
    private readonly prepared: PreparedNames,
  ) {}

  encode(messages: readonly BatchMessage[]): OutgoingBatch {
    for (const {message, frame} of messages) this.add(message, frame);
    return {
      bytes:
        this.parts.length === 1 ? this.parts[0]! : Buffer.concat(this.parts),
      shownParses: this.shownParses,
      hiddenCloses: this.hiddenCloses,
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
        this.parts.push(frame.bytes);
    }
  }

  private addParse(
    message: FrontendMessage & {kind: 'parse'},
    frame: Frame,
  ): void {
    const {name, text, rest} = message;
    this.shownParses.push(true);
    if (name === '') {
      this.unnamed = keyOf(message);
      this.parts.push(frame.bytes);
      return;
    }
    // It may be prepared here already for somebody else: then it is parsed
    // once more under a name that nobody binds, so that the answer is real.
    if (this.prepared.get(keyOf(message))) {
      this.hiddenCloses++;
      this.parts.push(CLOSE_SCRATCH, encodeParse(SCRATCH_NAME, text, rest));
      return;
    }
    this.parts.push(encodeParse(this.newName(message), text, rest));
  }

  private addBind(
    message: FrontendMessage & {kind: 'bind'},
    frame: Frame,
  ): void {
    const name = this.nameHere(message.statement);
    if (name === message.statement) this.parts.push(frame.bytes);
    else this.parts.push(encodeBind(message.portal, name, message.rest));
  }

  private addDescribe(
    message: Extract<FrontendMessage, {kind: 'describe' | 'close'}>,
    frame: Frame,
  ): void {
    if (message.objectKind === 'portal') {
      this.parts.push(frame.bytes);
      return;
    }
    this.parts.push(encodeDescribeStatement(this.nameHere(message.name)));
  }

  /** The connection's name of a statement, preparing it where needed. */
  private nameHere(sessionName: string): string {
    const statement = this.named.get(sessionName);
    if (!statement) return sessionName;
    const {text, rest} = statement;
    if (sessionName === '') {
      if (this.unnamed !== keyOf(statement)) {
        this.unnamed = keyOf(statement);
        this.shownParses.push(false);
        this.parts.push(encodeParse('', text, rest));
      }
      return '';
    }
    const known = this.prepared.get(keyOf(statement));
    if (known) return known;
    const name = this.newName(statement);
    this.shownParses.push(false);
    this.parts.push(encodeParse(name, text, rest));
    return name;
  }

  private newName(statement: NamedStatement): string {
    const name = `bulrush_${this.prepared.size + 1}`;
    this.prepared.set(keyOf(statement), name);
    return name;
  }
}

function keyOf({text, rest}: NamedStatement): string {
  return `${text}\0${rest.toString('latin1')}`;
}

function statementsOf(
  message: FrontendMessage,
  named: NamedStatements,
  classifier: Classifier,
): readonly StatementClass[] {
  if (message.kind === 'query') {
    return classifier.classify(message.text).statements;
  }
  if (message.kind === 'parse') {
    return classifier.classify(message.text).statements;
  }
  if (message.kind !== 'bind') return [];
  const statement = named.get(message.statement);
  if (!statement) return [{kind: 'write'}];
  return classifier.classify(statement.text).statements;
}

function unsupportedIn(
  statements: readonly StatementClass[],
): string | undefined {
  for (const statement of statements) {
    if (statement.kind === 'unsupported') return statement.feature;
  }
  const isMixed = statements.length > 1 && hasInnerCommit(statements);
  return isMixed ? 'COMMIT or ROLLBACK before the end of a batch' : undefined;
}

/** A commit that is followed by other work in the same batch. */
function hasInnerCommit(statements: readonly StatementClass[]): boolean {
  const ends = (kind: string) => kind === 'commit' || kind === 'rollback';
  const at = statements.findIndex(({kind}) => ends(kind));
  return at >= 0 && statements.slice(at).some(({kind}) => !ends(kind));
}
