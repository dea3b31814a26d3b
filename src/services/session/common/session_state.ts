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

/** Session variables that the proxy itself handles. */
export const POSITION_VARIABLE = 'bulrush.position';
export const CLASS_VARIABLE = 'bulrush.class';
export const KEY_VARIABLE = 'bulrush.request_key';
const PROXY_VARIABLE_PREFIX = 'bulrush.';
const MAX_KEY_LENGTH = 200;
const MAX_SETTINGS = 100;

/** Why a value was rejected. */
export interface VariableError {
  readonly message: string;
}

/** The state of a session that outlives its transactions. */
export class SessionState {
  requestClass = className('default');
  /** Idempotency key of the next write, which consumes it. */
  writeKey: RequestKey | undefined;
  private position: Position | undefined;
  /** SET statements to apply to each connection, by parameter. */
  private readonly settings = new Map<string, string>();

  /** The position that reads must see; undefined if there is none yet. */
  get requiredPosition(): Position | undefined {
    return this.position;
  }

  /** Records the position of an acknowledged write or a position variable. */
  recordPosition(position: Position): void {
    this.position = this.position
      ? laterPosition(this.position, position)
      : position;
  }

  /** The statements that apply this session's settings to a connection. */
  get settingStatements(): readonly string[] {
    return [...this.settings.values()];
  }

  static isProxyVariable(name: string): boolean {
    return name.startsWith(PROXY_VARIABLE_PREFIX);
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

  /** The value that SHOW returns for one of the proxy's own variables. */
  showProxyVariable(name: string): string | undefined {
    switch (name) {
      case POSITION_VARIABLE:
        return this.position ? formatPosition(this.position) : '';
      case CLASS_VARIABLE:
        return this.requestClass;
      case KEY_VARIABLE:
        return this.writeKey ?? '';
      default:
        return undefined;
    }
  }

  /** Saves a SET that a target accepted; undefined removes it (RESET). */
  saveSetting(name: string, statement: string | undefined): void {
    this.settings.delete(name);
    if (statement === undefined) return;
    this.settings.set(name, statement);
  }

  /** Whether a setting can be saved within the bound. */
  canSaveSetting(name: string): boolean {
    return this.settings.has(name) || this.settings.size < MAX_SETTINGS;
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
    if (value.length > MAX_KEY_LENGTH) {
      return {message: `a request key has at most ${MAX_KEY_LENGTH} letters`};
    }
    this.writeKey = value === '' ? undefined : requestKey(value);
    return undefined;
  }
}

/** Parses `-c name=value` pairs of the startup parameter `options`. */
export function parseStartupOptions(options: string): [string, string][] {
  const matches = options.matchAll(/(?:-c\s*|--)([\w.]+)=(\S+)/g);
  return [...matches].map(([, name, value]) => [name!, value!]);
}
