import type {Log} from '../../base/node/log';
import type {ControlMachine} from '../../services/control_state/common/control_machine';
import {
  formatSettingsError,
  parseSettings,
  type Settings,
} from '../../services/settings/common/settings';

/** The settings in force: those in the replicated log, or the local file's. */
export class SettingsInForce {
  private version = 0;
  private current: Settings;

  constructor(
    private readonly machine: ControlMachine,
    private readonly fileSettings: Settings,
    private readonly log: Log,
  ) {
    this.current = fileSettings;
  }

  get(): Settings {
    const {settingsVersion, settingsText} = this.machine.state;
    if (settingsVersion === this.version) return this.current;
    const parsed = parseSettings({file: 'settings', text: settingsText});
    this.version = settingsVersion;
    if (parsed.isOk) {
      this.current = parsed.value;
    } else {
      const reason = parsed.error.map(formatSettingsError).join('; ');
      const fields = {version: settingsVersion, reason};
      this.log.error('Skipped committed settings that are invalid.', fields);
    }
    return this.current;
  }

  /** Returns why settings proposed by an operator are invalid, or ''. */
  validate(text: string): string {
    const parsed = parseSettings({file: 'settings', text});
    if (parsed.isErr) return parsed.error.map(formatSettingsError).join('\n');
    // Outstanding leases were granted with the old durations; a leader that
    // used shorter ones would not wait until they expire.
    const isSameSystem =
      JSON.stringify(parsed.value.system) ===
      JSON.stringify(this.fileSettings.system);
    return isSameSystem
      ? ''
      : '[system] is read when a process starts; keep it as it is';
  }
}
