import {readdirSync} from 'node:fs';
import {join} from 'node:path';
import {describe, expect, it} from 'vitest';
import {
  formatSettingsError,
  siteOf,
} from '../src/services/settings/common/settings';
import {loadSettings} from '../src/services/settings/node/settings_files';

describe.each(['derwent', 'volta'])('settings of %s', user => {
  const folder = join('config', user);
  const overlays = readdirSync(folder).filter(name => name !== 'base.ini');

  it('are valid at all three sites', () => {
    expect(overlays).toHaveLength(3);
    for (const overlay of overlays) {
      const loaded = loadSettings(
        join(folder, 'base.ini'),
        join(folder, overlay),
      );
      const errors = loaded.isErr ? loaded.error.map(formatSettingsError) : [];
      expect(errors).toEqual([]);
      if (loaded.isErr) continue;
      expect(`${siteOf(loaded.value)}.ini`).toBe(overlay);
      expect(loaded.value.services.size).toBe(3);
      for (const {members} of loaded.value.services.values()) {
        expect(members).toBe(3);
      }
    }
  });
});
