// Renders the settings schema as a TypeScript module and a reference page.

const NAMES = {
  system: 'SystemSettings',
  service: 'ServiceSettings',
  class: 'ClassSettings',
  proxy: 'ProxySettings',
  distance: 'DistanceSettings',
};

const TYPES = {
  integer: 'number',
  number: 'number',
  text: 'string',
  boolean: 'boolean',
  list: 'string[]',
};

const camel = name => name.replace(/_[a-z]/g, found => found[1].toUpperCase());

const schemaOfKey = key => ({
  key: key.key,
  field: camel(key.key),
  type: key.type,
  unit: key.unit,
  minimum: key.minimum,
  maximum: key.maximum,
  required: key.required,
  defaultValue: key.default,
});

/** The module that src/services/settings reads its schema from. */
export function renderSettingsModule(schema) {
  const lines = [
    '// Generated from src/schema/settings.json by npm run generate.',
    '',
    '/** What the schema says of one key. */',
    'export interface KeySchema {',
    '  readonly key: string;',
    '  readonly field: string;',
    "  readonly type: 'integer' | 'number' | 'text' | 'boolean' | 'list';",
    '  readonly unit?: string;',
    '  readonly minimum?: number;',
    '  readonly maximum?: number;',
    '  readonly required?: boolean;',
    '  readonly defaultValue?: number | string | boolean | string[];',
    '}',
    '',
    '/** What the schema says of one kind of section. */',
    'export interface SectionSchema {',
    '  readonly name: string;',
    '  readonly repeated: boolean;',
    '  readonly keys: readonly KeySchema[];',
    '}',
    '',
  ];
  for (const section of schema.sections) {
    lines.push(`/** ${section.title}. */`);
    lines.push(`export interface ${NAMES[section.name]} {`);
    for (const key of section.keys) {
      lines.push(`  /** ${key.doc} */`);
      lines.push(`  ${camel(key.key)}: ${TYPES[key.type]};`);
    }
    lines.push('}', '');
  }
  const sections = schema.sections.map(section => ({
    name: section.name,
    repeated: section.repeated,
    keys: section.keys.map(schemaOfKey),
  }));
  lines.push('/** Every section that a settings file may have. */');
  lines.push(
    `export const SECTIONS: readonly SectionSchema[] = ${JSON.stringify(sections, null, 2)};`,
    '',
  );
  return lines.join('\n');
}

/** The reference page for operators. */
export function renderSettingsPage(schema) {
  const lines = [
    '# Settings',
    '',
    'Generated from `src/schema/settings.json`. One INI base file describes every',
    'service; an overlay for a site changes only what differs there.',
    '',
  ];
  for (const section of schema.sections) {
    const head = section.repeated
      ? `[${section.name}.NAME]`
      : `[${section.name}]`;
    lines.push(`## \`${head}\``, '', `${section.title}.`, '');
    lines.push(
      '| key | unit | allowed | default | meaning |',
      '|---|---|---|---|---|',
    );
    for (const key of section.keys) {
      const allowed =
        key.minimum === undefined
          ? key.type
          : `${key.minimum} to ${key.maximum}`;
      const fallback = key.required ? 'required' : `\`${key.default}\``;
      lines.push(
        `| \`${key.key}\` | ${key.unit ?? ''} | ${allowed} | ${fallback} | ${key.doc} |`,
      );
    }
    lines.push('');
  }
  return lines.join('\n');
}
