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

/** One histogram as a proxy's status endpoint gives it. */
export interface EncodedHistogram {
  readonly service: string;
  readonly caller: string;
  readonly requestClass: string;
  readonly phase: string;
  readonly histogram: string;
}

/** One merged histogram, in milliseconds. */
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

/** Merges the histograms of several proxies exactly, series by series. */
export function mergeHistograms(
  pages: readonly (readonly EncodedHistogram[])[],
): HistogramRow[] {
  const merged = new Map<
    string,
    {readonly first: EncodedHistogram; readonly sum: Histogram}
  >();
  for (const item of pages.flat()) {
    const {service, caller, requestClass, phase} = item;
    const key = [service, caller, requestClass, phase].join('\0');
    const known = merged.get(key) ?? {first: item, sum: emptyHistogram()};
    known.sum.add(decodeFromCompressedBase64(item.histogram));
    merged.set(key, known);
  }
  return [...merged.values()].map(({first, sum}) => rowOf(first, sum));
}

/** Rows of texts as aligned columns. */
export function table(
  head: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string {
  const texts = [head, ...rows].map(row => row.map(String));
  const widths = head.map((...[, at]) => {
    return Math.max(...texts.map(row => row[at]!.length));
  });
  return texts
    .map(row => {
      const cells = row.map((cell, at) => cell.padEnd(widths[at]!));
      return cells.join('  ').trimEnd();
    })
    .join('\n');
}

/** The status of the system for people. */
export function describeStatus(status: StatusReply): string {
  const {state, proxies, leader, instance} = status;
  const voters = status.configuration?.peers ?? [];
  const lines = [
    leader
      ? `control: ${instance} leads term ${status.consensusTerm}`
      : `control: no leader answered; as ${instance} last knew it:`,
    `control members: ${voters.map(describeVoter).join(', ')}`,
    `settings: version ${state?.settingsVersion ?? 0}`,
    '',
    table(
      ['service', 'term', 'phase', 'primary', 'members'],
      (state?.services ?? []).map(serviceRow),
    ),
    '',
    table(
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

/** Journal entries for people, oldest first. */
export function describeJournal(entries: readonly JournalEntry[]): string {
  return entries
    .map(({wallTimeMs, subject, event, cause, inputs}) => {
      const time = new Date(wallTimeMs).toISOString();
      const detail = inputs === '' ? '' : `\n    inputs: ${inputs}`;
      return `${time} ${subject}: ${event}\n    cause: ${cause}${detail}`;
    })
    .join('\n');
}

function describeVoter({id, voter}: {id: string; voter: boolean}): string {
  return voter ? id : `${id} (catching up)`;
}

function serviceRow(record: ServiceRecord): (string | number)[] {
  const members = record.members.map(({instance, draining}) => {
    return draining ? `${instance} (draining)` : instance;
  });
  const phase = PHASE_NAMES[record.phase] ?? 'unknown';
  return [record.name, record.term, phase, record.primary, members.join(' ')];
}

function rowOf(first: EncodedHistogram, sum: Histogram): HistogramRow {
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

function emptyHistogram(): Histogram {
  return build({numberOfSignificantValueDigits: 2, autoResize: true});
}
