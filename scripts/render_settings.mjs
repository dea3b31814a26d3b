// Renders the settings schema as a TypeScript module and a reference page.

const SECTION_TYPES = {
  system: 'SystemSettings',
  service: 'ServiceSettings',
  class: 'ClassSettings',
  proxy: 'ProxySettings',
  distance: 'DistanceSettings',
};

const KEY_TYPES = {
  integer: 'number',
  number: 'number',
  text: 'string',
  boolean: 'boolean',
  list: 'string[]',
};

const toCamelCase = name =>
  name.replace(/_[a-z]/g, match => match[1].toUpperCase());

const schemaOfKey = key => ({
  key: key.key,
  field: toCamelCase(key.key),
  type: key.type,
  unit: key.unit,
  minimum: key.minimum,
  maximum: key.maximum,
  required: key.required,
  defaultValue: key.default,
});

/** Renders the module that src/services/settings takes its schema from. */
export function renderSettingsModule(schema) {
  const lines = [
    '// Generated from src/schema/settings.json by npm run generate.',
    '',
    '/** Schema of a key of a section. */',
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
    '/** Schema of a kind of section. */',
    'export interface SectionSchema {',
    '  readonly name: string;',
    '  readonly repeated: boolean;',
    '  readonly keys: readonly KeySchema[];',
    '}',
    '',
  ];
  for (const section of schema.sections) {
    lines.push(`/** ${section.title}. */`);
    lines.push(`export interface ${SECTION_TYPES[section.name]} {`);
    for (const key of section.keys) {
      lines.push(`  /** ${key.doc} */`);
      lines.push(`  ${toCamelCase(key.key)}: ${KEY_TYPES[key.type]};`);
    }
    lines.push('}', '');
  }
  const sections = schema.sections.map(section => ({
    name: section.name,
    repeated: section.repeated,
    keys: section.keys.map(schemaOfKey),
  }));
  lines.push('/** All kinds of sections that a settings file may have. */');
  lines.push(
    `export const SECTIONS: readonly SectionSchema[] = ${JSON.stringify(sections, null, 2)};`,
    '',
  );
  return lines.join('\n');
}

/** Renders the reference page for operators as Markdown. */
export function renderSettingsPage(schema) {
  const lines = [
    '# Settings',
    '',
    'Generated from `src/schema/settings.json`. One INI base file describes all',
    'services; an overlay file of a site overrides only what differs there.',
    '',
  ];
  for (const section of schema.sections) {
    const heading = section.repeated
      ? `[${section.name}.NAME]`
      : `[${section.name}]`;
    lines.push(`## \`${heading}\``, '', `${section.title}.`, '');
    lines.push(
      '| key | unit | allowed | default | meaning |',
      '|---|---|---|---|---|',
    );
    for (const key of section.keys) {
      const allowed =
        key.minimum === undefined
          ? key.type
          : `${key.minimum} to ${key.maximum}`;
      const defaultText = key.required ? 'required' : `\`${key.default}\``;
      lines.push(
        `| \`${key.key}\` | ${key.unit ?? ''} | ${allowed} | ${defaultText} | ${key.doc} |`,
      );
    }
    lines.push('');
  }
  return lines.join('\n');
}
