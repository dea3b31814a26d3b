import {describe, expect, it} from 'vitest';
import {className, serviceName, siteId} from '../../../../base/common/ids';
import {formatSettingsError, parseSettings} from '../../common/settings';

const BASE = `[system]
control = c1=127.0.0.1:7001

[service.accounts-core-1]
members = 3

[class.review]
age_ms = 5000

[distance.hobart-a/lton-b]
one_way_ms = 20
`;

function errorsOf(base: string, overlay?: string): string[] {
  const parsed = parseSettings(
    {file: 'base.ini', text: base},
    overlay === undefined ? undefined : {file: 'site.ini', text: overlay},
  );
  return parsed.isOk ? [] : parsed.error.map(formatSettingsError);
}

describe('settings', () => {
  it('rejects a boolean that is only a word of the language', () => {
    // Guards against a setting that is switched on by a word that every object
    // of JavaScript has.
    for (const word of Object.getOwnPropertyNames(Object.prototype)) {
      const base = BASE.replace('age_ms = 5000', `older_with_notice = ${word}`);
      expect(errorsOf(base)).toEqual([
        `base.ini:8: older_with_notice: found "${word}"; allowed: true or false`,
      ]);
    }
  });

  it('applies defaults and an overlay to the base file', () => {
    const parsed = parseSettings(
      {file: 'base.ini', text: BASE},
      {file: 'site.ini', text: '[class.review]\nage_ms = 9000\n'},
    );
    if (parsed.isErr) throw new Error('the settings have errors');
    const {services, classes, system} = parsed.value;
    expect(services.get(serviceName('accounts-core-1'))?.slots).toBe(2);
    expect(classes.get(className('review'))?.ageMs).toBe(9_000);
    expect(system.leaseMs).toBe(800);
    const [from, to] = [siteId('lton-b'), siteId('hobart-a')];
    expect(parsed.value.oneWayLatencyMs(from, to)).toBe(20);
  });

  it('reports all errors with file, line, key, value and what is allowed', () => {
    const text = `${BASE}[class.filing]\nage_ms = soon\nagee_ms = 1\nnonsense\n[other]\n`;
    expect(errorsOf(text)).toMatchInlineSnapshot(`
      [
        "base.ini:15: : found "nonsense"; allowed: key = value",
        "base.ini:16: [other]: found an unknown section; allowed: [system], [service.NAME], [class.NAME], [proxy], [distance.NAME]",
        "base.ini:13: age_ms: found "soon"; allowed: integer from 0 to 86400000 ms",
        "base.ini:14: agee_ms: found an unknown key; allowed: age_ms, priority, deadline_ms, older_with_notice",
      ]
    `);
  });

  it('allows an overlay only sections of the base file, except [system]', () => {
    const overlay = '[service.new]\nslots = 2\n[system]\nlease_ms = 500\n';
    expect(errorsOf(BASE, overlay)).toEqual([
      'site.ini:2: slots: found [service.new]; allowed: a section of the base file',
      'site.ini:4: lease_ms: found [system]; allowed: only in the base file',
    ]);
  });

  it('requires 1, 3 or 5 control instances and unique keys', () => {
    const two = BASE.replace(':7001', ':7001, c2=127.0.0.1:7002');
    expect(errorsOf(two)).toHaveLength(1);
    expect(errorsOf(`${BASE}one_way_ms = 3\n`)).toEqual([
      'base.ini:12: one_way_ms: found a second value, the first is on line 11; allowed: one value',
    ]);
  });
});
