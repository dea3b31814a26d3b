import {build, type Histogram} from 'hdr-histogram-js';
import {SeededRandom} from '../../base/common/random';
import {arrivalTimes, type LoadClass} from '../common/plan';
import {LoadClient} from './load_client';

/** Table that the load writes to and reads from. */
export const LOAD_TABLE = 'bulrush_load';
const TIMELINE_STEP_MS = 100;
const RECONNECT_DELAY_MS = 50;

/** Proxies, load and duration of a run. */
export interface LoadPlan {
  readonly proxies: readonly string[];
  readonly service: string;
  readonly classes: readonly LoadClass[];
  readonly seconds: number;
  readonly seed: number;
}

/** Outcomes and latencies of one class's requests. */
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
  /** Longest interval without a completed request, in milliseconds. */
  readonly gapMs: number;
  /** Completed requests in each interval of 100 ms. */
  readonly timeline: readonly number[];
}

/** Results of a run: load per class and violated guarantees. */
export interface LoadReport {
  readonly seed: number;
  readonly seconds: number;
  readonly classes: readonly ClassReport[];
  /** Number of acknowledged writes that are not stored. */
  readonly lost: number;
  /** Number of writes that are stored more than once. */
  readonly doubled: number;
  /** Number of writes that were reported as not run but are stored. */
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
  private readonly queue: {readonly id: string; readonly dueAt: number}[] = [];
  private lastDoneAt = 0;
  private isStopped = false;
  private sequence = 0;

  constructor(
    readonly loadClass: LoadClass,
    private readonly plan: LoadPlan,
    private readonly idPrefix: string,
    private readonly signal: AbortSignal,
  ) {
    const steps = Math.ceil((plan.seconds * 1_000) / TIMELINE_STEP_MS);
    this.timeline = Array.from({length: steps}, () => 0);
  }

  /** Queues requests at their arrival times without awaiting earlier ones. */
  async run(runStartedAt: number): Promise<void> {
    const {rate, sessions, name, caller} = this.loadClass;
    const random = new SeededRandom(
      hashText(`${this.plan.seed} ${name} ${caller}`),
    );
    const times = arrivalTimes(rate, this.plan.seconds * 1_000, random);
    this.lastDoneAt = runStartedAt;
    const workers = Array.from({length: sessions}, (...[, index]) => {
      return this.runWorker(index, runStartedAt);
    });
    let nextIndex = 0;
    while (nextIndex < times.length) {
      const elapsedMs = performance.now() - runStartedAt;
      while (nextIndex < times.length && times[nextIndex]! <= elapsedMs) {
        const id = `${this.idPrefix}-${name}-${caller}-${this.sequence++}`;
        this.counts.offered++;
        this.queue.push({id, dueAt: runStartedAt + times[nextIndex]!});
        nextIndex++;
      }
      await pause(1);
    }
    this.isStopped = true;
    await Promise.all(workers);
  }

  createReport(): ClassReport {
    const {name, caller, kind} = this.loadClass;
    const latencyMsAt = (percentile: number) => {
      return this.latency.getValueAtPercentile(percentile) / 1_000;
    };
    return {
      name,
      caller,
      kind,
      ...this.counts,
      p50Ms: latencyMsAt(50),
      p99Ms: latencyMsAt(99),
      maxMs: this.latency.maxValue / 1_000,
      gapMs: this.gapMs,
      timeline: this.timeline,
    };
  }

  private async runWorker(
    workerIndex: number,
    runStartedAt: number,
  ): Promise<void> {
    const {proxies, service} = this.plan;
    const {name, caller: user} = this.loadClass;
    const options = `-c bulrush.class=${name}`;
    let proxyIndex = workerIndex;
    let client: LoadClient | undefined;
    for (;;) {
      const request = this.queue.shift();
      if (!request && this.isStopped) break;
      if (!request) {
        await pause(1);
        continue;
      }
      while (!client || client.isClosed) {
        const address = proxies[proxyIndex++ % proxies.length]!;
        const login = {address, user, database: service, options};
        const opened = await LoadClient.open(login, this.signal);
        if (opened.isOk) client = opened.value;
        else await pause(RECONNECT_DELAY_MS);
      }
      const {code} = await client.query(this.createStatement(request.id));
      this.recordOutcome(request.id, request.dueAt, code, runStartedAt);
    }
    client?.close();
  }

  private createStatement(id: string): string {
    if (this.loadClass.kind === 'read') {
      return `SELECT count(*) FROM ${LOAD_TABLE} WHERE id = 'first'`;
    }
    return `INSERT INTO ${LOAD_TABLE} (id) VALUES ('${id}')`;
  }

  private recordOutcome(
    id: string,
    dueAt: number,
    code: string,
    runStartedAt: number,
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
    if (this.loadClass.kind === 'write') this.doneIds.push(id);
    this.latency.recordValue(Math.max(0, Math.round((now - dueAt) * 1_000)));
    this.gapMs = Math.max(this.gapMs, now - this.lastDoneAt);
    this.lastDoneAt = now;
    const step = Math.floor((now - runStartedAt) / TIMELINE_STEP_MS);
    if (step < this.timeline.length) this.timeline[step]!++;
  }
}

/** Runs a load, then compares the stored rows with each write's outcome. */
export async function runLoad(
  plan: LoadPlan,
  signal: AbortSignal,
): Promise<LoadReport> {
  await createTable(plan, signal);
  const idPrefix = `r${Date.now().toString(36)}`;
  const runs = plan.classes.map(loadClass => {
    return new ClassRun(loadClass, plan, idPrefix, signal);
  });
  const startedAt = performance.now();
  await Promise.all(runs.map(run => run.run(startedAt)));
  const storedCounts = await countStoredWrites(plan, signal);
  const done = runs.flatMap(({doneIds}) => doneIds);
  const notRun = runs.flatMap(({notRunIds}) => notRunIds);
  return {
    seed: plan.seed,
    seconds: plan.seconds,
    classes: runs.map(run => run.createReport()),
    lost: done.filter(id => !storedCounts.has(id)).length,
    doubled: [...storedCounts.values()].filter(count => count > 1).length,
    returned: notRun.filter(id => storedCounts.has(id)).length,
  };
}

async function createTable(plan: LoadPlan, signal: AbortSignal): Promise<void> {
  const client = await connectToAnyProxy(plan, signal);
  await client.query(`CREATE TABLE IF NOT EXISTS ${LOAD_TABLE} (id text)`);
  await client.query(`INSERT INTO ${LOAD_TABLE} (id) VALUES ('first')`);
  client.close();
}

async function countStoredWrites(
  plan: LoadPlan,
  signal: AbortSignal,
): Promise<Map<string, number>> {
  const client = await connectToAnyProxy(plan, signal);
  const {firstValues} = await client.query(`SELECT id FROM ${LOAD_TABLE}`);
  client.close();
  const counts = new Map<string, number>();
  for (const id of firstValues) counts.set(id, (counts.get(id) ?? 0) + 1);
  counts.delete('first');
  return counts;
}

async function connectToAnyProxy(
  {proxies, service}: LoadPlan,
  signal: AbortSignal,
): Promise<LoadClient> {
  for (let attempt = 0; ; attempt++) {
    const address = proxies[attempt % proxies.length]!;
    const login = {address, user: 'load', database: service};
    const opened = await LoadClient.open(login, signal);
    if (opened.isOk) return opened.value;
    if (signal.aborted || attempt > 200) {
      throw new Error(
        `could not connect to any proxy: ${JSON.stringify(opened.error)}`,
      );
    }
    await pause(RECONNECT_DELAY_MS);
  }
}

function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

/** Derives a seed from a text with FNV-1a. */
function hashText(text: string): number {
  let value = 0x811c9dc5;
  for (const byte of Buffer.from(text)) {
    value = Math.imul(value ^ byte, 0x01000193) >>> 0;
  }
  return value >>> 1;
}
