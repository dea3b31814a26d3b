const ESCAPES: ReadonlyMap<string, string> = new Map([
  ['\\', '\\\\'],
  ['"', '\\"'],
  ['\n', '\\n'],
]);

/** Formats labels of a metric for Prometheus, without the braces. */
export function formatLabels(
  labels: Readonly<Record<string, string | number>>,
): string {
  return Object.entries(labels)
    .map(([name, value]) => `${name}="${escapeLabel(String(value))}"`)
    .join(',');
}

function escapeLabel(text: string): string {
  return text.replace(/[\\"\n]/g, character => ESCAPES.get(character)!);
}
