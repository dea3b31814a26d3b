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
import {err, ok, type Result} from '../../../base/common/result';
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

/** A settings text and the file name that its errors are reported with. */
export interface SettingsSource {
  readonly file: string;
  readonly text: string;
}

/** An error in a settings file. */
export interface SettingsError {
  readonly file: string;
  readonly line: number;
  readonly key: string;
  readonly found: string;
  readonly allowed: string;
}

/** A control instance and its address. */
export interface ControlAddress {
  readonly instance: InstanceId;
  readonly address: string;
}

/** The settings of the base file and a site's overlay. */
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
/** Sections that an overlay may not change. */
const BASE_ONLY_SECTIONS = new Set(['system']);
const CONTROL_COUNTS = [1, 3, 5];

type Values = Map<string, Record<string, unknown>>;

/** Parses the base file and an overlay; reports all errors together. */
export function parseSettings(
  base: SettingsSource,
  overlay?: SettingsSource,
): Result<Settings, readonly SettingsError[]> {
  const errors: SettingsError[] = [];
  const values: Values = new Map();
  const baseFile = parseIni(base.file, base.text, errors);
  addSections(baseFile, values, errors);
  if (overlay) {
    const overlayFile = parseIni(overlay.file, overlay.text, errors);
    checkOverlay(overlayFile, values, errors);
    addSections(overlayFile, values, errors);
  }
  fillDefaults(values, base.file, errors);
  const control = readControl(values, base.file, errors);
  return errors.length > 0 ? err(errors) : ok(makeSettings(values, control));
}

/** Formats an error as one line for operators. */
export function formatSettingsError(error: SettingsError): string {
  const {file, line, key, found, allowed} = error;
  return `${file}:${line}: ${key}: found ${found}; allowed: ${allowed}`;
}

function checkOverlay(
  overlay: IniFile,
  values: Values,
  errors: SettingsError[],
): void {
  const known = new Set([...values.keys(), ...OVERLAY_SECTIONS]);
  for (const {section, key, line} of overlay.entries) {
    const allowed = BASE_ONLY_SECTIONS.has(section)
      ? 'only in the base file'
      : 'a section of the base file';
    if (known.has(section) && !BASE_ONLY_SECTIONS.has(section)) continue;
    const {file} = overlay;
    errors.push({file, line, key, found: `[${section}]`, allowed});
  }
}

function addSections(
  ini: IniFile,
  values: Values,
  errors: SettingsError[],
): void {
  for (const {section, line} of ini.sections) {
    if (schemaOf(section)) {
      values.set(section, values.get(section) ?? {});
      continue;
    }
    errors.push({
      file: ini.file,
      line,
      key: `[${section}]`,
      found: 'an unknown section',
      allowed: SECTIONS.map(formatSection).join(', '),
    });
  }
  for (const entry of ini.entries) addEntry(ini.file, entry, values, errors);
}

function addEntry(
  file: string,
  entry: IniEntry,
  values: Values,
  errors: SettingsError[],
): void {
  const {section, key, line} = entry;
  const sectionSchema = schemaOf(section);
  if (!sectionSchema) return;
  const schema = sectionSchema.keys.find(other => other.key === key);
  if (!schema) {
    const allowed = sectionSchema.keys.map(other => other.key).join(', ');
    errors.push({file, line, key, found: 'an unknown key', allowed});
    return;
  }
  const value = convertValue(schema, entry.value);
  if (value === undefined) {
    const found = `"${entry.value}"`;
    errors.push({file, line, key, found, allowed: describeAllowed(schema)});
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

function formatSection({name, repeated}: SectionSchema): string {
  return repeated ? `[${name}.NAME]` : `[${name}]`;
}

const BOOLEANS: ReadonlyMap<string, boolean> = new Map([
  ['true', true],
  ['false', false],
]);

function convertValue(schema: KeySchema, text: string): unknown {
  switch (schema.type) {
    case 'integer':
    case 'number':
      return convertNumber(schema, text);
    case 'boolean':
      return BOOLEANS.get(text);
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

function describeAllowed(schema: KeySchema): string {
  const {type, minimum, maximum, unit} = schema;
  if (type === 'boolean') return 'true or false';
  if (minimum === undefined) return type;
  return `${type} from ${minimum} to ${maximum} ${unit ?? ''}`.trim();
}

function fillDefaults(
  values: Values,
  file: string,
  errors: SettingsError[],
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
      const error = {file, line: 1, found: 'nothing', allowed: 'a value'};
      errors.push({...error, key: `${section}.${key}`});
    }
  }
}

function readControl(
  values: Values,
  file: string,
  errors: SettingsError[],
): ControlAddress[] {
  const texts = (values.get('system')?.['control'] ?? []) as string[];
  const addresses = texts.map(text => {
    const [instance = '', address = ''] = text.split('=');
    return {instance: instanceId(instance.trim()), address: address.trim()};
  });
  const areWellFormed = addresses.every(({instance, address}) => {
    return instance !== '' && parseAddress(address) !== undefined;
  });
  const isCountAllowed = CONTROL_COUNTS.includes(addresses.length);
  if (texts.length > 0 && (!areWellFormed || !isCountAllowed)) {
    errors.push({
      file,
      line: 1,
      key: 'system.control',
      found: `"${texts.join(', ')}"`,
      allowed: '1, 3 or 5 of instance=host:port',
    });
  }
  return addresses;
}

function makeSettings(
  values: Values,
  control: readonly ControlAddress[],
): Settings {
  const section = <T>(name: string) => values.get(name) as T;
  const distances = sectionsOfKind<DistanceSettings>(values, 'distance');
  return {
    system: section<SystemSettings>('system'),
    control,
    proxy: section<ProxySettings>('proxy'),
    services: sectionsByName<ServiceName, ServiceSettings>(
      values,
      'service',
      serviceName,
    ),
    classes: sectionsByName<ClassName, ClassSettings>(
      values,
      'class',
      className,
    ),
    oneWayLatencyMs(from, to) {
      if (from === to) return 0;
      const pair =
        distances.get(`${from}/${to}`) ?? distances.get(`${to}/${from}`);
      return pair?.oneWayMs ?? 0;
    },
  };
}

function sectionsOfKind<T>(values: Values, kind: string): Map<string, T> {
  const prefix = `${kind}.`;
  const found = new Map<string, T>();
  for (const [section, fields] of values) {
    if (!section.startsWith(prefix)) continue;
    found.set(section.slice(prefix.length), fields as T);
  }
  return found;
}

function sectionsByName<K, T>(
  values: Values,
  kind: string,
  brand: (text: string) => K,
): Map<K, T> {
  return new Map(
    [...sectionsOfKind<T>(values, kind)].map(([name, fields]) => [
      brand(name),
      fields,
    ]),
  );
}

/** The site of the proxy; empty if the settings name none. */
export function siteOf(settings: Settings): SiteId {
  return siteId(settings.proxy.site);
}
