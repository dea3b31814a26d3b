import {
  build,
  decodeFromCompressedBase64,
  type Histogram,
} from 'hdr-histogram-js';
import {
  Phase,
  type JournalEntry,
  type ServiceRecord,
  type StatusReply,
} from '../../schema/generated/control';

const PHASE_NAMES: Record<number, string> = {
  [Phase.PHASE_FORMING]: 'forming',
  [Phase.PHASE_STEADY]: 'steady',
  [Phase.PHASE_CHANGING]: 'changing',
};

/** One histogram as served by the status endpoint of a proxy. */
export interface EncodedHistogram {
  readonly service: string;
  readonly caller: string;
  readonly requestClass: string;
  readonly phase: string;
  readonly histogram: string;
}

/** Statistics of one merged histogram. */
export interface HistogramRow {
  readonly service: string;
  readonly caller: string;
  readonly requestClass: string;
  readonly phase: string;
  readonly count: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

/** Merges the histograms of several proxies, without loss, by series. */
export function mergeHistograms(
  pages: readonly (readonly EncodedHistogram[])[],
): HistogramRow[] {
  const merged = new Map<
    string,
    {readonly first: EncodedHistogram; readonly sum: Histogram}
  >();
  for (const encoded of pages.flat()) {
    const {service, caller, requestClass, phase} = encoded;
    const key = [service, caller, requestClass, phase].join('\0');
    const entry = merged.get(key) ?? {first: encoded, sum: createHistogram()};
    entry.sum.add(decodeFromCompressedBase64(encoded.histogram));
    merged.set(key, entry);
  }
  return [...merged.values()].map(({first, sum}) =>
    makeHistogramRow(first, sum),
  );
}

/** Formats rows as left-aligned columns. */
export function formatTable(
  headings: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string {
  const cellRows = [headings, ...rows].map(row => row.map(String));
  const widths = headings.map((...[, at]) => {
    return Math.max(...cellRows.map(row => row[at]!.length));
  });
  return cellRows
    .map(row => {
      const cells = row.map((cell, at) => cell.padEnd(widths[at]!));
      return cells.join('  ').trimEnd();
    })
    .join('\n');
}

/** Formats the status of the system as text. */
export function formatStatus(status: StatusReply): string {
  const {state, proxies, leader, instance} = status;
  const voters = status.configuration?.peers ?? [];
  const lines = [
    leader
      ? `control: ${instance} is leader in term ${status.consensusTerm}`
      : `control: no leader replied; last state known to ${instance}:`,
    `control members: ${voters.map(formatVoter).join(', ')}`,
    `settings: version ${state?.settingsVersion ?? 0}`,
    '',
    formatTable(
      ['service', 'term', 'phase', 'primary', 'members'],
      (state?.services ?? []).map(makeServiceRow),
    ),
    '',
    formatTable(
      ['proxy', 'attached', 'settings'],
      proxies.map(proxy => [
        proxy.instance,
        proxy.attached ? 'yes' : 'no',
        proxy.settingsVersion,
      ]),
    ),
  ];
  return lines.join('\n');
}

/** Formats journal entries as text, oldest first. */
export function formatJournal(entries: readonly JournalEntry[]): string {
  return entries
    .map(({wallTimeMs, subject, event, cause, inputs}) => {
      const time = new Date(wallTimeMs).toISOString();
      const detail = inputs === '' ? '' : `\n    inputs: ${inputs}`;
      return `${time} ${subject}: ${event}\n    cause: ${cause}${detail}`;
    })
    .join('\n');
}

function formatVoter({id, voter}: {id: string; voter: boolean}): string {
  return voter ? id : `${id} (catching up)`;
}

function makeServiceRow(record: ServiceRecord): (string | number)[] {
  const members = record.members.map(({instance, draining}) => {
    return draining ? `${instance} (draining)` : instance;
  });
  const phase = PHASE_NAMES[record.phase] ?? 'unknown';
  return [record.name, record.term, phase, record.primary, members.join(' ')];
}

function makeHistogramRow(
  first: EncodedHistogram,
  sum: Histogram,
): HistogramRow {
  const {service, caller, requestClass, phase} = first;
  return {
    service,
    caller,
    requestClass,
    phase,
    count: sum.totalCount,
    p50Ms: sum.getValueAtPercentile(50) / 1_000,
    p99Ms: sum.getValueAtPercentile(99) / 1_000,
    maxMs: sum.maxValue / 1_000,
  };
}

function createHistogram(): Histogram {
  return build({numberOfSignificantValueDigits: 2, autoResize: true});
}
