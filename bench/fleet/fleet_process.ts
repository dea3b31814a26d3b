import {spawn, type ChildProcess} from 'node:child_process';

const MAX_LOG_LENGTH = 200_000;
const REPORTED_LINE_COUNT = 40;
/** These do not end a process. */
const CONTINUING_SIGNALS: readonly NodeJS.Signals[] = ['SIGSTOP', 'SIGCONT'];

/** The Node.js program of a process. */
export interface ProcessCommand {
  /** The program's file, from the root of the repository. */
  readonly script: string;
  readonly args?: readonly string[];
  readonly environment?: Readonly<Record<string, string>>;
  /** Called with what the process prints. */
  onDidPrint?(text: string): void;
}

/** How a process ended. */
export interface ProcessExit {
  /** The exit code, or the signal that ended it. */
  readonly cause: number | NodeJS.Signals;
  /** Time since the start, in milliseconds. */
  readonly runMs: number;
  /** False if nobody signalled it or waited for its end. */
  readonly isExpected: boolean;
}

/** A process of a fleet, its recent output, and how it ended. */
export class FleetProcess {
  private child: ChildProcess | undefined;
  private output = '';
  private readonly exits: ProcessExit[] = [];
  private isExitExpected = false;
  private suspendedUntil = -Infinity;

  constructor(
    readonly name: string,
    private command: ProcessCommand,
  ) {}

  /** Transforms the arguments; applies from the next start. */
  mapArguments(transform: (argument: string) => string): void {
    const args = this.command.args?.map(transform) ?? [];
    this.command = {...this.command, args};
  }

  get log(): string {
    return this.output;
  }

  /** Operating system process ID; throws if the process is not running. */
  get processId(): number {
    const id = this.child?.pid;
    if (id === undefined) throw new Error(`${this.name} is not running`);
    return id;
  }

  get isRunning(): boolean {
    return this.child !== undefined;
  }

  /** Whether it ended at any time without being told to. */
  get hasFailed(): boolean {
    return this.exits.some(({isExpected}) => !isExpected);
  }

  start(extraArgs: readonly string[] = []): void {
    const {script, args = [], environment} = this.command;
    const startedAt = performance.now();
    const child = spawn(process.execPath, [script, ...args, ...extraArgs], {
      env: {...process.env, ...environment},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.on('data', chunk => this.onDidPrint(String(chunk)));
    child.stderr.on('data', chunk => this.onDidPrint(String(chunk)));
    child.on('exit', (code, signal) => {
      const runMs = Math.round(performance.now() - startedAt);
      const isExpected = this.isExitExpected;
      this.exits.push({cause: code ?? signal!, runMs, isExpected});
      if (this.child === child) this.child = undefined;
    });
    this.isExitExpected = false;
    this.suspendedUntil = -Infinity;
    this.child = child;
  }

  sendSignal(name: NodeJS.Signals): void {
    this.isExitExpected ||= !CONTINUING_SIGNALS.includes(name);
    this.child?.kill(name);
  }

  /**
   * Suspends the process for a time, like a machine that hangs. Of overlapping
   * times the last one to end resumes it.
   */
  suspend(milliseconds: number): void {
    const {child} = this;
    const until = performance.now() + milliseconds;
    this.suspendedUntil = Math.max(this.suspendedUntil, until);
    child?.kill('SIGSTOP');
    setTimeout(() => {
      if (until >= this.suspendedUntil) child?.kill('SIGCONT');
    }, milliseconds);
  }

  /** Signals the process, waits for its exit and returns its exit code. */
  async kill(name: NodeJS.Signals = 'SIGKILL'): Promise<number | null> {
    const exitCode = this.waitForExit();
    this.sendSignal(name);
    if (name !== 'SIGKILL') this.sendSignal('SIGCONT');
    return exitCode;
  }

  /** Waits until the process exits; returns its exit code. */
  async waitForExit(): Promise<number | null> {
    const {child} = this;
    if (!child) return null;
    this.isExitExpected = true;
    return new Promise(resolve => child.once('exit', code => resolve(code)));
  }

  /** Describes each end of the process, and the last lines that it printed. */
  describe(): string {
    const exits = this.exits.map(({cause, runMs, isExpected}) => {
      const how = isExpected ? 'ended' : 'ENDED BY ITSELF';
      return `${how} with ${cause} after ${runMs} ms`;
    });
    if (this.child) exits.push(`running as ${this.child.pid}`);
    const lines = this.output.trimEnd().split('\n');
    return [
      `== ${this.name}: ${exits.join(', ') || 'not started'}`,
      ...lines.slice(-REPORTED_LINE_COUNT),
    ].join('\n');
  }

  private onDidPrint(text: string): void {
    this.output = (this.output + text).slice(-MAX_LOG_LENGTH);
    this.command.onDidPrint?.(text);
  }
}

/** Describes what processes printed and how they ended. */
export function describeProcesses(processes: readonly FleetProcess[]): string {
  return processes.map(process => process.describe()).join('\n');
}

/** Kills processes; throws if one of them had ended by itself. */
export async function killAll(
  processes: readonly FleetProcess[],
): Promise<void> {
  await Promise.all(processes.map(process => process.kill()));
  const failed = processes.filter(({hasFailed}) => hasFailed);
  if (failed.length === 0) return;
  throw new Error(
    `processes ended by themselves\n${describeProcesses(failed)}`,
  );
}
