import {readFileSync} from 'node:fs';
import {err, type Result} from '../../../base/common/outcome';
import {toError} from '../../../base/node/task';
import {
  parseSettings,
  type Settings,
  type SettingsFault,
  type SettingsSource,
} from '../common/settings';

/** Reads the base file and an overlay from disk. */
export function loadSettings(
  baseFile: string,
  overlayFile: string,
): Result<Settings, readonly SettingsFault[]> {
  try {
    const base = readSource(baseFile);
    const overlay = overlayFile === '' ? undefined : readSource(overlayFile);
    return parseSettings(base, overlay);
  } catch (thrown) {
    const found = toError(thrown).message;
    const fault = {file: baseFile, line: 0, key: 'file', found};
    return err([{...fault, allowed: 'a readable file'}]);
  }
}

/** One file as a source of settings. */
export function readSource(file: string): SettingsSource {
  return {file, text: readFileSync(file, 'utf8')};
}
