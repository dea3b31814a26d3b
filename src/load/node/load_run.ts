import {build, type Histogram} from 'hdr-histogram-js';
import {SeededRandom} from '../../base/common/random';
import {arrivals, type LoadClass} from '../common/plan';
import {LoadClient} from './load_client';

export const LOAD_TABLE = 'bulrush_load';
const TIMELINE_STEP_MS = 100;
const REOPEN_MS = 50;

/** What a run is made of. */
export interface LoadPlan {
  readonly proxies: readonly string[];
  readonly service: string;
  readonly classes: readonly LoadClass[];
  readonly seconds: number;
  readonly seed: number;
}

/** What became of the requests of one class. */
export interface ClassReport {
  readonly name: string;
  readonly caller: string;
  readonly kind: 'read' | 'write';
  readonly offered: number;
  readonly done: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly failed: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
  /** The longest time without a completed request, in milliseconds. */
  readonly gapMs: number;
  /** Completed requests in each tenth of a second. */
  readonly timeline: readonly number[];
}

/** What a whole run came to. */
export interface LoadReport {
  readonly seed: number;
  readonly seconds: number;
  readonly classes: readonly ClassReport[];
  /** Writes that were done and are not there. */
  readonly lost: number;
  /** Writes that are there more than once. */
  readonly doubled: number;
  /** Writes that were called not run and are there. */
  readonly returned: number;
}

class ClassRun {
  readonly latency: Histogram = build({
    numberOfSignificantValueDigits: 3,
    autoResize: true,
  });
  readonly counts = {offered: 0, done: 0, notRun: 0, unknown: 0, failed: 0};
  readonly doneIds: string[] = [];
  readonly notRunIds: string[] = [];
  readonly timeline: number[];
  gapMs = 0;
  private readonly waiting: {readonly id: string; readonly dueAt: number}[] =
    [];
  private lastDoneAt = 0;
  private stopped = false;
  private sequence = 0;

  constructor(
    readonly load: LoadClass,
    private readonly plan: LoadPlan,
    private readonly prefix: string,
    private readonly signal: AbortSignal,
  ) {
    const steps = Math.ceil((plan.seconds * 1_000) / TIMELINE_STEP_MS);
    this.timeline = Array.from({length: steps}, () => 0);
  }

  /** Offers requests at their times, whether or not earlier ones are done. */
  async run(startedAt: number): Promise<void> {
    const {rate, sessions, name, caller} = this.load;
    const random = new SeededRandom(
      hash(`${this.plan.seed} ${name} ${caller}`),
    );
    const times = arrivals(rate, this.plan.seconds * 1_000, random);
    this.lastDoneAt = startedAt;
    const workers = Array.from({length: sessions}, (...[, at]) => {
      return this.work(at, startedAt);
    });
    let next = 0;
    while (next < times.length) {
      const now = performance.now() - startedAt;
      while (next < times.length && times[next]! <= now) {
        const id = `${this.prefix}-${name}-${caller}-${this.sequence++}`;
        this.counts.offered++;
        this.waiting.push({id, dueAt: startedAt + times[next]!});
        next++;
      }
      await pause(1);
    }
    this.stopped = true;
    await Promise.all(workers);
  }

  report(): ClassReport {
    const {name, caller, kind} = this.load;
    const at = (percentile: number) => {
      return this.latency.getValueAtPercentile(percentile) / 1_000;
    };
    return {
      name,
      caller,
      kind,
      ...this.counts,
      p50Ms: at(50),
      p99Ms: at(99),
      maxMs: this.latency.maxValue / 1_000,
      gapMs: this.gapMs,
      timeline: this.timeline,
    };
  }

  private async work(at: number, startedAt: number): Promise<void> {
    const {proxies, service} = this.plan;
    const {name, caller: user} = this.load;
    const options = `-c bulrush.class=${name}`;
    let proxy = at;
    let client: LoadClient | undefined;
    for (;;) {
      const request = this.waiting.shift();
      if (!request && this.stopped) break;
      if (!request) {
        await pause(1);
        continue;
      }
      while (!client || client.isClosed) {
        const address = proxies[proxy++ % proxies.length]!;
        const login = {address, user, database: service, options};
        const opened = await LoadClient.open(login, this.signal);
        if (opened.isOk) client = opened.value;
        else await pause(REOPEN_MS);
      }
      const {code} = await client.query(this.statement(request.id));
      this.note(request.id, request.dueAt, code, startedAt);
    }
    client?.close();
  }

  private statement(id: string): string {
    if (this.load.kind === 'read') {
      return `SELECT count(*) FROM ${LOAD_TABLE} WHERE id = 'first'`;
    }
    return `INSERT INTO ${LOAD_TABLE} (id) VALUES ('${id}')`;
  }

  private note(
    id: string,
    dueAt: number,
    code: string,
    startedAt: number,
  ): void {
    const now = performance.now();
    const {counts} = this;
    if (code !== '') {
      const isNotRun = code.startsWith('RN');
      if (isNotRun) this.notRunIds.push(id);
      if (isNotRun) counts.notRun++;
      else if (code === '08007' || code === 'lost') counts.unknown++;
      else counts.failed++;
      return;
    }
    counts.done++;
    if (this.load.kind === 'write') this.doneIds.push(id);
    this.latency.recordValue(Math.max(0, Math.round((now - dueAt) * 1_000)));
    this.gapMs = Math.max(this.gapMs, now - this.lastDoneAt);
    this.lastDoneAt = now;
    const step = Math.floor((now - startedAt) / TIMELINE_STEP_MS);
    if (step < this.timeline.length) this.timeline[step]!++;
  }
}

/** Runs a load and checks afterwards what became of each write. */
export async function runLoad(
  plan: LoadPlan,
  signal: AbortSignal,
): Promise<LoadReport> {
  await prepare(plan, signal);
  const prefix = `r${Date.now().toString(36)}`;
  const runs = plan.classes.map(load => {
    return new ClassRun(load, plan, prefix, signal);
  });
  const startedAt = performance.now();
  await Promise.all(runs.map(run => run.run(startedAt)));
  const found = await readBack(plan, signal);
  const done = runs.flatMap(({doneIds}) => doneIds);
  const notRun = runs.flatMap(({notRunIds}) => notRunIds);
  return {
    seed: plan.seed,
    seconds: plan.seconds,
    classes: runs.map(run => run.report()),
    lost: done.filter(id => !found.has(id)).length,
    doubled: [...found.values()].filter(count => count > 1).length,
    returned: notRun.filter(id => found.has(id)).length,
  };
}

async function prepare(plan: LoadPlan, signal: AbortSignal): Promise<void> {
  const client = await openAny(plan, signal);
  await client.query(`CREATE TABLE IF NOT EXISTS ${LOAD_TABLE} (id text)`);
  await client.query(`INSERT INTO ${LOAD_TABLE} (id) VALUES ('first')`);
  client.close();
}

async function readBack(
  plan: LoadPlan,
  signal: AbortSignal,
): Promise<Map<string, number>> {
  const client = await openAny(plan, signal);
  const {firstValues} = await client.query(`SELECT id FROM ${LOAD_TABLE}`);
  client.close();
  const found = new Map<string, number>();
  for (const id of firstValues) found.set(id, (found.get(id) ?? 0) + 1);
  found.delete('first');
  return found;
}

async function openAny(
  {proxies, service}: LoadPlan,
  signal: AbortSignal,
): Promise<LoadClient> {
  for (let at = 0; ; at++) {
    const address = proxies[at % proxies.length]!;
    const login = {address, user: 'load', database: service};
    const opened = await LoadClient.open(login, signal);
    if (opened.isOk) return opened.value;
    if (signal.aborted || at > 200) {
      throw new Error(`no proxy answers: ${JSON.stringify(opened.error)}`);
    }
    await pause(REOPEN_MS);
  }
}

function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

/** A seed from a text, by FNV-1a. */
function hash(text: string): number {
  let value = 0x811c9dc5;
  for (const byte of Buffer.from(text)) {
    value = Math.imul(value ^ byte, 0x01000193) >>> 0;
  }
  return value >>> 1;
}
