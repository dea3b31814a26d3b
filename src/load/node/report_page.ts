import type {ClassReport, LoadReport} from './load_run';

const PLOT_WIDTH_PX = 720;
const PLOT_HEIGHT_PX = 120;

/** Renders the report as a self-contained HTML page with plots. */
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
<p>Seed ${seed}, ${seconds} s. Lost ${lost}, doubled ${doubled}, reported as not run but stored ${returned}.</p>
<table>
<tr><th>class<th>caller<th>kind<th>offered<th>done<th>not run<th>unknown<th>failed<th>p50 ms<th>p99 ms<th>max ms<th>longest gap ms</tr>
${rows}
</table>
${plots}
`;
}

function renderRow(report: ClassReport): string {
  const cells = [
    escapeHtml(report.name),
    escapeHtml(report.caller),
    report.kind,
    report.offered,
    report.done,
    report.notRun,
    report.unknown,
    report.failed,
    report.p50Ms.toFixed(2),
    report.p99Ms.toFixed(2),
    report.maxMs.toFixed(1),
    report.gapMs.toFixed(0),
  ];
  return `<tr>${cells.map(cell => `<td>${cell}`).join('')}</tr>`;
}

function renderPlot({name, caller, timeline}: ClassReport): string {
  const maxCount = Math.max(1, ...timeline);
  const points = timeline.map((count, index) => {
    const x = (index * PLOT_WIDTH_PX) / Math.max(1, timeline.length - 1);
    const y = PLOT_HEIGHT_PX - (count * PLOT_HEIGHT_PX) / maxCount;
    return `${x.toFixed(1)},${y.toFixed(1)}`;
  });
  return `<h2>${escapeHtml(name)} of ${escapeHtml(caller)}: requests done per 100 ms, at most ${maxCount}</h2>
<svg width="${PLOT_WIDTH_PX}" height="${PLOT_HEIGHT_PX}" style="border:1px solid #999">
<polyline fill="none" stroke="#036" points="${points.join(' ')}"/>
</svg>`;
}

function escapeHtml(text: string): string {
  return text.replace(/[&<>"]/g, character => `&#${character.charCodeAt(0)};`);
}
