import type {ClassReport, LoadReport} from './load_run';

const WIDTH = 720;
const HEIGHT = 120;

/** The report as one HTML page with its plots in it. */
export function renderReport(report: LoadReport): string {
  const rows = report.classes.map(renderRow).join('\n');
  const plots = report.classes.map(renderPlot).join('\n');
  const {lost, doubled, returned, seed, seconds} = report;
  return `<!doctype html>
<meta charset="utf-8">
<title>bulrushstage-load</title>
<style>
body { font: 14px sans-serif; margin: 2em; }
table { border-collapse: collapse; }
td, th { border: 1px solid #999; padding: 4px 8px; text-align: right; }
</style>
<h1>bulrushstage-load</h1>
<p>Seed ${seed}, ${seconds} s. Lost ${lost}, doubled ${doubled}, not run but there ${returned}.</p>
<table>
<tr><th>class<th>caller<th>kind<th>offered<th>done<th>not run<th>unknown<th>failed<th>p50 ms<th>p99 ms<th>max ms<th>longest gap ms</tr>
${rows}
</table>
${plots}
`;
}

function renderRow(entry: ClassReport): string {
  const cells = [
    escapeHtml(entry.name),
    escapeHtml(entry.caller),
    entry.kind,
    entry.offered,
    entry.done,
    entry.notRun,
    entry.unknown,
    entry.failed,
    entry.p50Ms.toFixed(2),
    entry.p99Ms.toFixed(2),
    entry.maxMs.toFixed(1),
    entry.gapMs.toFixed(0),
  ];
  return `<tr>${cells.map(cell => `<td>${cell}`).join('')}</tr>`;
}

function renderPlot({name, caller, timeline}: ClassReport): string {
  const most = Math.max(1, ...timeline);
  const points = timeline.map((count, at) => {
    const x = (at * WIDTH) / Math.max(1, timeline.length - 1);
    const y = HEIGHT - (count * HEIGHT) / most;
    return `${x.toFixed(1)},${y.toFixed(1)}`;
  });
  return `<h2>${escapeHtml(name)} of ${escapeHtml(caller)}: done in each 0.1 s, at most ${most}</h2>
<svg width="${WIDTH}" height="${HEIGHT}" style="border:1px solid #999">
<polyline fill="none" stroke="#036" points="${points.join(' ')}"/>
</svg>`;
}

function escapeHtml(text: string): string {
  return text.replace(/[&<>"]/g, character => `&#${character.charCodeAt(0)};`);
}
