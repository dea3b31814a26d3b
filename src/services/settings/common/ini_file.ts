import {decode} from 'ini';
import type {SettingsError} from './settings';

/** A key and value of a file with their section and line. */
export interface IniEntry {
  readonly section: string;
  readonly key: string;
  readonly value: string;
  readonly line: number;
}

/** The sections and entries of a settings file. */
export interface IniFile {
  readonly file: string;
  readonly sections: readonly {
    readonly section: string;
    readonly line: number;
  }[];
  readonly entries: readonly IniEntry[];
}

/**
 * Parses an INI text and appends its errors. The ini library decodes each line;
 * sections and line numbers are tracked here, since it does not report them.
 */
export function parseIni(
  file: string,
  text: string,
  errors: SettingsError[],
): IniFile {
  const sections: {section: string; line: number}[] = [];
  const entries: IniEntry[] = [];
  const lineByName = new Map<string, number>();
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
      errors.push({file, line, key: '', found, allowed: 'key = value'});
      return;
    }
    const name = `${section}.${entry.key}`;
    const earlierLine = lineByName.get(name);
    if (earlierLine !== undefined) {
      const found = `a second value, the first is on line ${earlierLine}`;
      errors.push({file, line, key: entry.key, found, allowed: 'one value'});
    }
    lineByName.set(name, line);
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
