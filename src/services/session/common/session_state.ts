import {
  className,
  requestKey,
  type ClassName,
  type RequestKey,
} from '../../../base/common/ids';
import {
  formatPosition,
  laterPosition,
  parsePosition,
  type Position,
} from '../../position/common/position';

/** Settings of a session that the proxy itself keeps. */
export const POSITION_VARIABLE = 'bulrush.position';
export const CLASS_VARIABLE = 'bulrush.class';
export const KEY_VARIABLE = 'bulrush.request_key';
const OWN_PREFIX = 'bulrush.';
const MOST_KEY_LENGTH = 200;
const MOST_REPLAYED = 100;

/** Why a value was not taken. */
export interface VariableError {
  readonly message: string;
}

/** What a session has beyond its transactions. */
export class SessionState {
  requestClass = className('default');
  /** The key of the next write, used up by it. */
  writeKey: RequestKey | undefined;
  private seen: Position | undefined;
  /** SET statements to repeat on each connection, by parameter. */
  private readonly settings = new Map<string, string>();

  /** What reads must see; undefined until it is known. */
  get requiredPosition(): Position | undefined {
    return this.seen;
  }

  /** A write of this session was acknowledged, or a position brought along. */
  recordPosition(position: Position): void {
    this.seen = this.seen ? laterPosition(this.seen, position) : position;
  }

  /** The statements that give a connection this session's settings. */
  get settingStatements(): readonly string[] {
    return [...this.settings.values()];
  }

  static isProxyVariable(name: string): boolean {
    return name.startsWith(OWN_PREFIX);
  }

  /** Sets one of the proxy's own variables. */
  setProxyVariable(
    name: string,
    value: string | undefined,
    classes: ReadonlySet<ClassName>,
  ): VariableError | undefined {
    switch (name) {
      case POSITION_VARIABLE:
        return this.setPosition(value ?? '');
      case CLASS_VARIABLE:
        return this.setClass(className(value ?? 'default'), classes);
      case KEY_VARIABLE:
        return this.setKey(value ?? '');
      default:
        return {message: `unrecognized parameter "${name}"`};
    }
  }

  /** What SHOW answers for one of the proxy's own variables. */
  showProxyVariable(name: string): string | undefined {
    switch (name) {
      case POSITION_VARIABLE:
        return this.seen ? formatPosition(this.seen) : '';
      case CLASS_VARIABLE:
        return this.requestClass;
      case KEY_VARIABLE:
        return this.writeKey ?? '';
      default:
        return undefined;
    }
  }

  /** Keeps a SET that a target accepted; undefined for a RESET. */
  saveSetting(name: string, statement: string | undefined): void {
    this.settings.delete(name);
    if (statement === undefined) return;
    this.settings.set(name, statement);
  }

  /** Whether one more setting can be kept. */
  canSaveSetting(name: string): boolean {
    return this.settings.has(name) || this.settings.size < MOST_REPLAYED;
  }

  clearSettings(): void {
    this.settings.clear();
  }

  private setPosition(value: string): VariableError | undefined {
    const position = parsePosition(value);
    if (!position) return {message: `invalid position "${value}"`};
    this.recordPosition(position);
    return undefined;
  }

  private setClass(
    name: ClassName,
    classes: ReadonlySet<ClassName>,
  ): VariableError | undefined {
    if (name !== 'default' && !classes.has(name)) {
      return {message: `unknown class "${name}"`};
    }
    this.requestClass = name;
    return undefined;
  }

  private setKey(value: string): VariableError | undefined {
    if (value.length > MOST_KEY_LENGTH) {
      return {message: `a request key has at most ${MOST_KEY_LENGTH} letters`};
    }
    this.writeKey = value === '' ? undefined : requestKey(value);
    return undefined;
  }
}

/** Reads `-c name=value` pairs of the startup parameter `options`. */
export function parseStartupOptions(options: string): [string, string][] {
  const matches = options.matchAll(/(?:-c\s*|--)([\w.]+)=(\S+)/g);
  return [...matches].map(([, name, value]) => [name!, value!]);
}
