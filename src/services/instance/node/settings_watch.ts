import {readFileSync} from 'node:fs';
import {every} from '../../../base/node/timers';
import {err, type Result} from '../../../base/common/outcome';
import {toError} from '../../../base/node/task';
import type {SettingsError} from '../../settings/common/settings';
import {
  readInstanceSettings,
  type InstanceSettings,
} from '../common/instance_settings';

/** The file may change without a signal; it is looked at this often, in ms. */
const LOOK_MS = 2_000;

/** Reads the settings file of an instance. */
export function loadInstanceSettings(
  file: string,
): Result<InstanceSettings, readonly SettingsError[]> {
  try {
    return readInstanceSettings(file, readFileSync(file, 'utf8'));
  } catch (thrown) {
    const found = toError(thrown).message;
    return err([{file, line: 0, key: '', found, allowed: 'a readable file'}]);
  }
}

/** Calls back with new settings when the file has changed. */
export function watchInstanceSettings(
  file: string,
  signal: AbortSignal,
  onDidChange: (settings: InstanceSettings) => void,
  onDidFail: (faults: readonly SettingsError[]) => void,
): void {
  let last = '';
  const look = () => {
    const loaded = loadInstanceSettings(file);
    if (loaded.isErr) return onDidFail(loaded.error);
    const text = JSON.stringify([loaded.value, [...loaded.value.regionBySite]]);
    if (text === last) return;
    const isFirst = last === '';
    last = text;
    if (!isFirst) onDidChange(loaded.value);
  };
  look();
  every(signal, LOOK_MS, look);
  process.on('SIGHUP', look);
  signal.addEventListener('abort', () => process.off('SIGHUP', look));
}
