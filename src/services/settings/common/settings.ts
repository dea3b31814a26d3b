import {
  className,
  instanceId,
  serviceName,
  siteId,
  type ClassName,
  type InstanceId,
  type ServiceName,
  type SiteId,
} from '../../../base/common/ids';
import {parseAddress} from '../../../base/common/address';
import {err, ok, type Result} from '../../../base/common/outcome';
import {
  SECTIONS,
  type ClassSettings,
  type DistanceSettings,
  type KeySchema,
  type ProxySettings,
  type SectionSchema,
  type ServiceSettings,
  type SystemSettings,
} from '../../../schema/generated/settings';
import {parseIni, type IniEntry, type IniFile} from './ini_file';

export type {
  ClassSettings,
  ProxySettings,
  ServiceSettings,
  SystemSettings,
} from '../../../schema/generated/settings';

/** One text of settings, with the name that faults are reported under. */
export interface SettingsSource {
  readonly file: string;
  readonly text: string;
}

/** One thing that is wrong with a settings file. */
export interface SettingsError {
  readonly file: string;
  readonly line: number;
  readonly key: string;
  readonly found: string;
  readonly allowed: string;
}

/** One control instance. */
export interface ControlAddress {
  readonly instance: InstanceId;
  readonly address: string;
}

/** Everything that the base file and a site's overlay say. */
export interface Settings {
  readonly system: SystemSettings;
  readonly control: readonly ControlAddress[];
  readonly proxy: ProxySettings;
  readonly services: ReadonlyMap<ServiceName, ServiceSettings>;
  readonly classes: ReadonlyMap<ClassName, ClassSettings>;
  /** One-way latency between two sites, in milliseconds. */
  oneWayLatencyMs(from: SiteId, to: SiteId): number;
}

/** Sections that an overlay may have although the base file lacks them. */
const OVERLAY_SECTIONS = new Set(['proxy']);
/** Sections that are the same everywhere. */
const BASE_ONLY_SECTIONS = new Set(['system']);
const CONTROL_COUNTS = [1, 3, 5];

type Values = Map<string, Record<string, unknown>>;

/** Reads the base file and an overlay; all faults at once. */
export function parseSettings(
  base: SettingsSource,
  overlay?: SettingsSource,
): Result<Settings, readonly SettingsError[]> {
  const faults: SettingsError[] = [];
  const values: Values = new Map();
  const baseFile = parseIni(base.file, base.text, faults);
  take(baseFile, values, faults);
  if (overlay) {
    const overlayFile = parseIni(overlay.file, overlay.text, faults);
    checkOverlay(overlayFile, values, faults);
    take(overlayFile, values, faults);
  }
  fillDefaults(values, base.file, faults);
  const control = readControl(values, base.file, faults);
  return faults.length > 0 ? err(faults) : ok(assemble(values, control));
}

/** A fault as one line for people. */
export function formatSettingsError(fault: SettingsError): string {
  const {file, line, key, found, allowed} = fault;
  return `${file}:${line}: ${key}: found ${found}; allowed: ${allowed}`;
}

function checkOverlay(
  overlay: IniFile,
  values: Values,
  faults: SettingsError[],
): void {
  const known = new Set([...values.keys(), ...OVERLAY_SECTIONS]);
  for (const {section, key, line} of overlay.entries) {
    const allowed = BASE_ONLY_SECTIONS.has(section)
      ? 'only in the base file'
      : 'a section of the base file';
    if (known.has(section) && !BASE_ONLY_SECTIONS.has(section)) continue;
    const {file} = overlay;
    faults.push({file, line, key, found: `[${section}]`, allowed});
  }
}

function take(ini: IniFile, values: Values, faults: SettingsError[]): void {
  for (const {section, line} of ini.sections) {
    if (schemaOf(section)) {
      values.set(section, values.get(section) ?? {});
      continue;
    }
    faults.push({
      file: ini.file,
      line,
      key: `[${section}]`,
      found: 'an unknown section',
      allowed: SECTIONS.map(sectionForm).join(', '),
    });
  }
  for (const entry of ini.entries) takeEntry(ini.file, entry, values, faults);
}

function takeEntry(
  file: string,
  entry: IniEntry,
  values: Values,
  faults: SettingsError[],
): void {
  const {section, key, line} = entry;
  const sectionSchema = schemaOf(section);
  if (!sectionSchema) return;
  const schema = sectionSchema.keys.find(other => other.key === key);
  if (!schema) {
    const allowed = sectionSchema.keys.map(other => other.key).join(', ');
    faults.push({file, line, key, found: 'an unknown key', allowed});
    return;
  }
  const value = convert(schema, entry.value);
  if (value === undefined) {
    const found = `"${entry.value}"`;
    faults.push({file, line, key, found, allowed: allowedBy(schema)});
    return;
  }
  values.get(section)![schema.field] = value;
}

function schemaOf(section: string): SectionSchema | undefined {
  const dot = section.indexOf('.');
  const name = dot < 0 ? section : section.slice(0, dot);
  const schema = SECTIONS.find(other => other.name === name);
  return schema?.repeated === dot > 0 ? schema : undefined;
}

function sectionForm({name, repeated}: SectionSchema): string {
  return repeated ? `[${name}.NAME]` : `[${name}]`;
}

function convert(schema: KeySchema, text: string): unknown {
  switch (schema.type) {
    case 'integer':
    case 'number':
      return convertNumber(schema, text);
    case 'boolean':
      return {true: true, false: false}[text];
    case 'list':
      return text.split(',').map(item => item.trim());
    default:
      return text;
  }
}

function convertNumber(schema: KeySchema, text: string): number | undefined {
  const {type, minimum = -Infinity, maximum = Infinity} = schema;
  if (!/^-?\d+(\.\d+)?$/.test(text)) return undefined;
  const value = Number(text);
  if (type === 'integer' && !Number.isInteger(value)) return undefined;
  return value >= minimum && value <= maximum ? value : undefined;
}

function allowedBy(schema: KeySchema): string {
  const {type, minimum, maximum, unit} = schema;
  if (type === 'boolean') return 'true or false';
  if (minimum === undefined) return type;
  return `${type} from ${minimum} to ${maximum} ${unit ?? ''}`.trim();
}

function fillDefaults(
  values: Values,
  file: string,
  faults: SettingsError[],
): void {
  for (const section of SECTIONS) {
    if (!section.repeated && !values.has(section.name)) {
      values.set(section.name, {});
    }
  }
  for (const [section, fields] of values) {
    for (const {key, field, required, defaultValue} of schemaOf(section)!
      .keys) {
      if (fields[field] !== undefined) continue;
      fields[field] = defaultValue;
      if (!required) continue;
      const fault = {file, line: 1, found: 'nothing', allowed: 'a value'};
      faults.push({...fault, key: `${section}.${key}`});
    }
  }
}

function readControl(
  values: Values,
  file: string,
  faults: SettingsError[],
): ControlAddress[] {
  const texts = (values.get('system')?.['control'] ?? []) as string[];
  const addresses = texts.map(text => {
    const [instance = '', address = ''] = text.split('=');
    return {instance: instanceId(instance.trim()), address: address.trim()};
  });
  const wellFormed = addresses.every(({instance, address}) => {
    return instance !== '' && parseAddress(address) !== undefined;
  });
  const counted = CONTROL_COUNTS.includes(addresses.length);
  if (texts.length > 0 && (!wellFormed || !counted)) {
    faults.push({
      file,
      line: 1,
      key: 'system.control',
      found: `"${texts.join(', ')}"`,
      allowed: '1, 3 or 5 of instance=host:port',
    });
  }
  return addresses;
}

function assemble(
  values: Values,
  control: readonly ControlAddress[],
): Settings {
  const section = <T>(name: string) => values.get(name) as T;
  const distances = named<DistanceSettings>(values, 'distance');
  return {
    system: section<SystemSettings>('system'),
    control,
    proxy: section<ProxySettings>('proxy'),
    services: keyed<ServiceName, ServiceSettings>(
      values,
      'service',
      serviceName,
    ),
    classes: keyed<ClassName, ClassSettings>(values, 'class', className),
    oneWayLatencyMs(from, to) {
      if (from === to) return 0;
      const pair =
        distances.get(`${from}/${to}`) ?? distances.get(`${to}/${from}`);
      return pair?.oneWayMs ?? 0;
    },
  };
}

function named<T>(values: Values, kind: string): Map<string, T> {
  const prefix = `${kind}.`;
  const found = new Map<string, T>();
  for (const [section, fields] of values) {
    if (!section.startsWith(prefix)) continue;
    found.set(section.slice(prefix.length), fields as T);
  }
  return found;
}

function keyed<K, T>(
  values: Values,
  kind: string,
  brand: (text: string) => K,
): Map<K, T> {
  return new Map(
    [...named<T>(values, kind)].map(([name, fields]) => [brand(name), fields]),
  );
}

/** The site that settings name, or the empty one. */
export function siteOf(settings: Settings): SiteId {
  return siteId(settings.proxy.site);
}
