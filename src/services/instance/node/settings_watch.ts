import {readFileSync} from 'node:fs';
import {toError} from '../../../base/common/errors';
import {every} from '../../../base/node/timers';
import {err, type Result} from '../../../base/common/result';
import type {SettingsError} from '../../settings/common/settings';
import {
  readInstanceSettings,
  type InstanceSettings,
} from '../common/instance_settings';

/** Polls the file, which may change without a signal. */
const CHECK_INTERVAL_MS = 2_000;

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

/** Calls back with new settings when the file changes, or with its errors. */
export function watchInstanceSettings(
  file: string,
  signal: AbortSignal,
  onDidChange: (settings: InstanceSettings) => void,
  onDidFail: (faults: readonly SettingsError[]) => void,
): void {
  let lastText = '';
  const check = () => {
    const loaded = loadInstanceSettings(file);
    if (loaded.isErr) return onDidFail(loaded.error);
    const text = JSON.stringify([loaded.value, [...loaded.value.regionBySite]]);
    if (text === lastText) return;
    const isFirst = lastText === '';
    lastText = text;
    if (!isFirst) onDidChange(loaded.value);
  };
  check();
  every(signal, CHECK_INTERVAL_MS, check);
  process.on('SIGHUP', check);
  signal.addEventListener('abort', () => process.off('SIGHUP', check));
}
