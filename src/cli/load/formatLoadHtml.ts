import { drawLinePlot, escapeHtml, type PlotLine } from './drawLinePlot.js'
import { describeDrain, formatPercent } from './formatLoadText.js'
import type { LoadSummary, SecondSummary, StreamSummary } from './LoadSummary.js'

/**
 * Formats the figures of a load run as an HTML page.
 *
 * @param summary - figures of the run
 * @returns a page without external resources, with tables and plots
 */
export function formatLoadHtml (summary: LoadSummary): string {
  const marks = summary.schedule.map((entry) => ({ x: entry.atSeconds, text: entry.note }))
  const composeLine = (name: string, readValue: (second: SecondSummary) => number): PlotLine => {
    return { name, points: summary.seconds.map((second) => ({ x: second.second, y: readValue(second) })) }
  }
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>hibiscusrelay load run</title>
<style>body{font-family:sans-serif;margin:2em}td,th{padding:2px 10px;text-align:right}td:first-child,th:first-child{text-align:left}</style></head><body>
<h1>Load run, seed ${summary.seed}, ${summary.durationSeconds} s</h1>
<table><tr><th>stream</th><th>requests</th><th>ran</th><th>not run</th><th>unknown</th><th>unanswered</th><th>p50 ms</th><th>p99 ms</th><th>p999 ms</th><th>reasons</th></tr>
${summary.streams.map(formatStreamRow).join('\n')}
</table>
${formatHeadroom(summary)}
${formatDrains(summary)}
${drawLinePlot('Latency by second, ms', [composeLine('p50', (second) => second.latency.p50), composeLine('p99', (second) => second.latency.p99), composeLine('max', (second) => second.latency.max)], marks)}
${drawLinePlot('Requests by second', [composeLine('ran', (second) => second.ran), composeLine('failed', (second) => second.failed)], marks)}
</body></html>
`
}

function formatStreamRow (stream: StreamSummary): string {
  const { latency } = stream
  const reasons = Object.entries(stream.reasons).map(([reason, count]) => `${reason} ${count}`).join(', ')
  const cells = [
    `${stream.service} (${stream.requestClass})`, stream.requests, stream.ran, stream.notRun, stream.unknown, stream.unanswered,
    latency.p50.toFixed(2), latency.p99.toFixed(2), latency.p999.toFixed(2), reasons
  ]
  return formatTableRow(cells)
}

function formatHeadroom ({ headroom }: LoadSummary): string {
  if (headroom === undefined) return ''
  const rows = headroom.uses.map(({ kind, name, limit, p50, max }) => formatTableRow([`${kind} ${name}`, Math.round(limit), formatPercent(p50), formatPercent(max)]))
  return `<h2>Utilization of limits over ${headroom.samples} samples, ${headroom.missing} host statuses missing</h2>
<table><tr><th>limit</th><th>value</th><th>p50</th><th>max</th></tr>
${rows.join('\n')}
</table>`
}

function formatDrains ({ drains }: LoadSummary): string {
  if (drains === undefined || drains.length === 0) return ''
  const rows = drains.map((drain) => formatTableRow([`${drain.target} ${drain.name}`, drain.ordered ? 'ordered' : 'left', drain.atSeconds.toFixed(1), describeDrain(drain)]))
  return `<h2>Drains</h2>
<table><tr><th>target</th><th>cause</th><th>at s</th><th>result</th></tr>
${rows.join('\n')}
</table>`
}

function formatTableRow (cells: Array<string | number>): string {
  return `<tr>${cells.map((cell) => `<td>${escapeHtml(String(cell))}</td>`).join('')}</tr>`
}
