import type {ControlMachine} from '../../services/control_state/common/control_machine';
import {
  formatSettingsError,
  parseSettings,
  type Settings,
} from '../../services/settings/common/settings';

/** The settings that control goes by: the accepted ones, or its own file's. */
export class SettingsInForce {
  private version = 0;
  private current: Settings;

  constructor(
    private readonly machine: ControlMachine,
    private readonly own: Settings,
  ) {
    this.current = own;
  }

  get(): Settings {
    const {settingsVersion, settingsText} = this.machine.state;
    if (settingsVersion === this.version) return this.current;
    const parsed = parseSettings({file: 'settings', text: settingsText});
    if (parsed.isOk) this.current = parsed.value;
    this.version = settingsVersion;
    return this.current;
  }

  /** What is wrong with a text that an operator wants in force, or ''. */
  faultsOf(text: string): string {
    const parsed = parseSettings({file: 'settings', text});
    if (parsed.isErr) return parsed.error.map(formatSettingsError).join('\n');
    // Leases that are out were given by the old times: a leader that went by
    // shorter ones would not wait them out.
    const same =
      JSON.stringify(parsed.value.system) === JSON.stringify(this.own.system);
    return same
      ? ''
      : '[system] is read when a process starts; keep it as it is';
  }
}
