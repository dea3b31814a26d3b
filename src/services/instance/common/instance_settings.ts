import {err, ok, type Result} from '../../../base/common/result';
import type {LimitPrecision} from '../../account/common/limit_precision';
import type {InstanceCapacity} from '../../connection_quota/common/capacity';
import {parseIni} from '../../settings/common/ini_file';
import type {SettingsError} from '../../settings/common/settings';

/** The settings of one process of a fleet, from its settings file. */
export interface InstanceSettings {
  readonly instance: string;
  readonly site: string;
  readonly region: string;
  readonly ip: string;
  /** Port for connections between instances. */
  readonly internalPort: number;
  /** Address for callers; '' if it serves none. */
  readonly callersAddress: string;
  readonly readinessAddress: string;
  /** Address for operators and members; '' if it serves none. */
  readonly operatorsAddress: string;
  /** Empty for an instance without a disk. */
  readonly dataFolder: string;
  /** Operator addresses of some control instances. */
  readonly seedAddresses: readonly string[];
  /** Whether the whole system starts for the first time. */
  readonly isBootstrap: boolean;
  /** Number of control instances that may be lost at the same time. */
  readonly toleratedControlLosses: number;
  /**
   * Time after its start at which a new control instance must be able to
   * replace a lost one, in milliseconds; 0 if there is no bound.
   */
  readonly controlCatchUpMs: number;
  /** Time from the signal to stop to the kill, in milliseconds. */
  readonly shutdownGraceMs: number;
  /** Address of the service that carries promotions out; '' without one. */
  readonly promotionAuthorityAddress: string;
  /** Whether that service rejects outdated fencing tokens. */
  readonly isPromotionFenced: boolean;
  /**
   * Upper bound of the time that a withdrawn key remains usable, in milliseconds;
   * 0 if there is none for instances without a connection to control.
   */
  readonly revocationMs: number;
  /** How precisely account limits are enforced. */
  readonly limitPrecision: LimitPrecision;
  /** CPU and network capacity; 0 if unknown. */
  readonly capacity: InstanceCapacity;
  readonly regionBySite: ReadonlyMap<string, string>;
}

type Entries = ReadonlyMap<string, string>;

/** Reads the settings of one instance from an INI text. */
export function readInstanceSettings(
  file: string,
  text: string,
): Result<InstanceSettings, readonly SettingsError[]> {
  const errors: SettingsError[] = [];
  const ini = parseIni(file, text, errors);
  const texts = new Map<string, string>();
  const regions = new Map<string, string>();
  for (const {section, key, value} of ini.entries) {
    if (section === 'instance') texts.set(key, value);
    if (section === 'regions') regions.set(key, value);
  }
  const numberOf = (key: string, min: number) => {
    const value = Number(texts.get(key) ?? '');
    if (texts.has(key) && Number.isFinite(value) && value >= min) return value;
    const found = texts.get(key) ?? 'nothing';
    errors.push({
      file,
      line: 0,
      key,
      found,
      allowed: `a number from ${min}`,
    });
    return min;
  };
  const numberOr = (key: string, defaultValue: number) => {
    return textOf(texts, key) === '' ? defaultValue : numberOf(key, 0);
  };
  for (const key of ['name', 'site', 'ip']) checkText(texts, key, file, errors);
  const hasRevocationBound = textOf(texts, 'revocation_strict') === 'true';
  const settings: InstanceSettings = {
    instance: textOf(texts, 'name'),
    site: textOf(texts, 'site'),
    region: textOf(texts, 'region'),
    ip: textOf(texts, 'ip'),
    internalPort: numberOf('internal_port', 1),
    callersAddress: textOf(texts, 'callers'),
    readinessAddress: textOf(texts, 'readiness'),
    operatorsAddress: textOf(texts, 'operators'),
    dataFolder: textOf(texts, 'data'),
    seedAddresses: textOf(texts, 'seeds')
      .split(',')
      .filter(seed => seed !== ''),
    isBootstrap: textOf(texts, 'bootstrap') === 'true',
    toleratedControlLosses: numberOf('losses', 0),
    controlCatchUpMs: numberOr('catch_up_s', 0) * 1_000,
    shutdownGraceMs: numberOf('grace_s', 1) * 1_000,
    promotionAuthorityAddress: textOf(texts, 'promotions'),
    isPromotionFenced: textOf(texts, 'promotions_fenced') === 'true',
    revocationMs: hasRevocationBound ? numberOf('revocation_ms', 1) : 0,
    limitPrecision: {
      windowMs: numberOr('limit_window_s', 0) * 1_000,
      excess: numberOr('limit_excess', 0),
      slack: numberOr('limit_slack', 0),
    },
    capacity: {
      cores: numberOr('capacity_cores', 0),
      linkMbps: numberOr('capacity_link_mbps', 0),
    },
    regionBySite: regions,
  };
  return errors.length > 0 ? err(errors) : ok(settings);
}

function textOf(entries: Entries, key: string): string {
  return (entries.get(key) ?? '').trim();
}

function checkText(
  entries: Entries,
  key: string,
  file: string,
  errors: SettingsError[],
): void {
  if (textOf(entries, key) !== '') return;
  errors.push({file, line: 0, key, found: 'nothing', allowed: 'a text'});
}
