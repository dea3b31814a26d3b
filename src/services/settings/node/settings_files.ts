import {readFileSync} from 'node:fs';
import {toError} from '../../../base/common/errors';
import {err, type Result} from '../../../base/common/result';
import {
  parseSettings,
  type Settings,
  type SettingsError,
  type SettingsSource,
} from '../common/settings';

/** Reads the base file and an overlay from disk. */
export function loadSettings(
  baseFile: string,
  overlayFile: string,
): Result<Settings, readonly SettingsError[]> {
  try {
    const base = readSettingsSource(baseFile);
    const overlay =
      overlayFile === '' ? undefined : readSettingsSource(overlayFile);
    return parseSettings(base, overlay);
  } catch (thrown) {
    const found = toError(thrown).message;
    const error = {file: baseFile, line: 0, key: 'file', found};
    return err([{...error, allowed: 'a readable file'}]);
  }
}

/** Reads one file; throws if it cannot be read. */
export function readSettingsSource(file: string): SettingsSource {
  return {file, text: readFileSync(file, 'utf8')};
}
