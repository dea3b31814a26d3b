// Fills in the template of the settings, as far as this project's one uses it.

/** Replaces the placeholders and sections of a template. */
export function renderTemplate(template, fields) {
  const sections = template.replace(
    /\{\{#([\w.-]+)\}\}([^]*?)\{\{\/\1\}\}/g,
    (match, name, body) => {
      const entries = Object.entries(lookUp(fields, name) ?? {});
      return entries.map(entry => renderEntry(body, entry)).join('');
    },
  );
  return sections.replace(/\{\{([\w.-]+)\}\}/g, (match, name) => {
    return String(lookUp(fields, name) ?? '');
  });
}

function renderEntry(body, [key, value]) {
  return body.replaceAll('{{@}}', key).replaceAll('{{.}}', String(value));
}

function lookUp(fields, name) {
  return name.split('.').reduce((value, part) => value?.[part], fields);
}
