import {decode} from 'ini';
import type {SettingsError} from './settings';

/** One key of a file, with where it stands. */
export interface IniEntry {
  readonly section: string;
  readonly key: string;
  readonly value: string;
  readonly line: number;
}

/** A file of settings with the line of everything in it. */
export interface IniFile {
  readonly file: string;
  readonly sections: readonly {
    readonly section: string;
    readonly line: number;
  }[];
  readonly entries: readonly IniEntry[];
}

/**
 * Reads an INI text. Each line is decoded by the ini library; only sections
 * and line numbers, which it does not report, are kept track of here.
 */
export function parseIni(
  file: string,
  text: string,
  faults: SettingsError[],
): IniFile {
  const sections: {section: string; line: number}[] = [];
  const entries: IniEntry[] = [];
  const seen = new Map<string, number>();
  let section = '';
  text.split(/\r?\n/).forEach((content, index) => {
    const line = index + 1;
    const trimmed = content.trim();
    if (trimmed === '' || /^[;#]/.test(trimmed)) return;
    const header = /^\[([^\]]+)\]$/.exec(trimmed);
    if (header) {
      section = header[1]!.trim();
      sections.push({section, line});
      return;
    }
    const entry = readEntry(section, trimmed, line);
    if (!entry) {
      const found = `"${trimmed}"`;
      faults.push({file, line, key: '', found, allowed: 'key = value'});
      return;
    }
    const name = `${section}.${entry.key}`;
    const earlier = seen.get(name);
    if (earlier !== undefined) {
      const found = `a second value, the first is on line ${earlier}`;
      faults.push({file, line, key: entry.key, found, allowed: 'one value'});
    }
    seen.set(name, line);
    entries.push(entry);
  });
  return {file, sections, entries};
}

function readEntry(
  section: string,
  content: string,
  line: number,
): IniEntry | undefined {
  const [pair] = Object.entries(decode(content));
  if (!pair || !content.includes('=')) return undefined;
  const [key, value] = pair;
  return {section, key, value: String(value), line};
}
