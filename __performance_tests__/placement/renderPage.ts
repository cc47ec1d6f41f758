/** Results of one simulated day. */
export interface PageRow {
  site: string
  pattern: string
  seed: number
  /** Earned credit as a fraction of the owed credit, for each second. */
  creditRatios: number[]
}

/** Size of a plot, in pixels. */
const WIDTH = 480
const HEIGHT = 120

/**
 * @param rows - simulated days
 * @returns HTML page with one plot for each site and pattern, which shows the credit ratio by second with a line for each seed
 */
export function renderPage (rows: readonly PageRow[]): string {
  const groups = new Map<string, PageRow[]>()
  for (const row of rows) {
    const title = `${row.site}, ${row.pattern}`
    groups.set(title, [...groups.get(title) ?? [], row])
  }
  const plots = [...groups].map(([title, groupRows]) => `<figure><figcaption>${title}</figcaption>${renderPlot(groupRows)}</figure>`)
  return `<!doctype html>
<meta charset="utf-8">
<title>Placement model: credit by second</title>
<style>body { font-family: sans-serif } figure { display: inline-block; margin: 8px } svg { background: #f4f4f4 }</style>
<h1>Credit earned of the credit owed, by second</h1>
${plots.join('\n')}
`
}

function renderPlot (rows: readonly PageRow[]): string {
  const lines = rows.map(({ creditRatios }, index) => {
    const points = creditRatios.map((credit, second) => `${Math.round(second * WIDTH / (creditRatios.length - 1))},${Math.round(HEIGHT * (1 - credit))}`)
    return `<polyline fill="none" stroke="hsl(${index * 67 % 360} 60% 45%)" points="${points.join(' ')}"/>`
  })
  return `<svg width="${WIDTH}" height="${HEIGHT}" viewBox="0 0 ${WIDTH} ${HEIGHT}">${lines.join('')}</svg>`
}
