import {err, ok, type Result} from '../../../base/common/outcome';
import type {LimitPrecision} from '../../account/common/limit_precision';
import type {InstanceCapacity} from '../../connection_quota/common/capacity';
import {parseIni} from '../../settings/common/ini_file';
import type {SettingsError} from '../../settings/common/settings';

/** What one process of a fleet learns from its settings file. */
export interface InstanceSettings {
  readonly instance: string;
  readonly site: string;
  readonly region: string;
  readonly ip: string;
  /** Port for the exchange between instances. */
  readonly internalPort: number;
  /** Address for callers; '' where none are served. */
  readonly callersAddress: string;
  readonly readinessAddress: string;
  /** Address for operators and members; '' where none are served. */
  readonly operatorsAddress: string;
  /** Data folder; '' without a disk. */
  readonly dataFolder: string;
  /** Addresses for operators of some control instances. */
  readonly seedAddresses: readonly string[];
  /** The whole system starts for the first time. */
  readonly isBootstrap: boolean;
  /** Control instances that may be lost at once. */
  readonly toleratedControlLosses: number;
  /** From the order to stop to the forced end, in milliseconds. */
  readonly shutdownGraceMs: number;
  /** Address of whoever carries promotions out; '' without one. */
  readonly promotionAuthorityAddress: string;
  /** Whether it refuses an order with a lower token than one it has seen. */
  readonly isPromotionFenced: boolean;
  /**
   * How long after its withdrawal a key may be in use anywhere, in
   * milliseconds; 0 where that is not promised for instances without control.
   */
  readonly revocationMs: number;
  /** How exactly limits of accounts have to be kept. */
  readonly limitPrecision: LimitPrecision;
  /** Processor time and link; 0 where they are not known. */
  readonly capacity: InstanceCapacity;
  /** The region of each site. */
  readonly regionBySite: ReadonlyMap<string, string>;
}

type Entries = ReadonlyMap<string, string>;

/** Reads the settings of one instance from an INI text. */
export function readInstanceSettings(
  file: string,
  text: string,
): Result<InstanceSettings, readonly SettingsError[]> {
  const faults: SettingsError[] = [];
  const ini = parseIni(file, text, faults);
  const own = new Map<string, string>();
  const regions = new Map<string, string>();
  for (const {section, key, value} of ini.entries) {
    if (section === 'instance') own.set(key, value);
    if (section === 'regions') regions.set(key, value);
  }
  const numberOf = (key: string, least: number) => {
    const value = Number(own.get(key) ?? '');
    if (own.has(key) && Number.isFinite(value) && value >= least) return value;
    const found = own.get(key) ?? 'nothing';
    faults.push({file, line: 0, key, found, allowed: `a number from ${least}`});
    return least;
  };
  const numberOr = (key: string, usual: number) => {
    return textOf(own, key) === '' ? usual : numberOf(key, 0);
  };
  for (const key of ['name', 'site', 'ip']) requireText(own, key, file, faults);
  const isRevocationBound = textOf(own, 'revocation_strict') === 'true';
  const settings: InstanceSettings = {
    instance: textOf(own, 'name'),
    site: textOf(own, 'site'),
    region: textOf(own, 'region'),
    ip: textOf(own, 'ip'),
    internalPort: numberOf('internal_port', 1),
    callersAddress: textOf(own, 'callers'),
    readinessAddress: textOf(own, 'readiness'),
    operatorsAddress: textOf(own, 'operators'),
    dataFolder: textOf(own, 'data'),
    seedAddresses: textOf(own, 'seeds')
      .split(',')
      .filter(seed => seed !== ''),
    isBootstrap: textOf(own, 'bootstrap') === 'true',
    toleratedControlLosses: numberOf('losses', 0),
    shutdownGraceMs: numberOf('grace_s', 1) * 1_000,
    promotionAuthorityAddress: textOf(own, 'promotions'),
    isPromotionFenced: textOf(own, 'promotions_fenced') === 'true',
    revocationMs: isRevocationBound ? numberOf('revocation_ms', 1) : 0,
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
  return faults.length > 0 ? err(faults) : ok(settings);
}

function textOf(entries: Entries, key: string): string {
  return (entries.get(key) ?? '').trim();
}

function requireText(
  entries: Entries,
  key: string,
  file: string,
  faults: SettingsError[],
): void {
  if (textOf(entries, key) !== '') return;
  faults.push({file, line: 0, key, found: 'nothing', allowed: 'a text'});
}
