const WIDTH_PIXELS = 720
const HEIGHT_PIXELS = 220
const MARGIN_PIXELS = 44
const COLORS = ['#1b6ca8', '#c0392b', '#2e8b57', '#8e44ad']

/** One line of a plot. */
export interface PlotLine {
  name: string
  points: Array<{ x: number, y: number }>
}

/** A labeled vertical line. */
export interface PlotMark {
  x: number
  text: string
}

/**
 * Draws a line plot as an SVG image. Both axes start at 0, and the x axis is in seconds.
 *
 * @param title - text above the plot
 * @param lines - lines, each in the next of four colors
 * @param marks - labeled vertical lines; those beyond the last point are drawn at the right end
 * @returns the SVG element as text
 */
export function drawLinePlot (title: string, lines: PlotLine[], marks: PlotMark[]): string {
  const points = lines.flatMap((line) => line.points)
  const maximumX = Math.max(1, ...points.map((point) => point.x))
  const maximumY = Math.max(1, ...points.map((point) => point.y))
  const scaleX = (x: number): number => MARGIN_PIXELS + x / maximumX * (WIDTH_PIXELS - 2 * MARGIN_PIXELS)
  const scaleY = (y: number): number => HEIGHT_PIXELS - MARGIN_PIXELS - y / maximumY * (HEIGHT_PIXELS - 2 * MARGIN_PIXELS)
  const drawLine = (line: PlotLine, index: number): string => {
    const path = line.points.map((point) => `${scaleX(point.x).toFixed(1)},${scaleY(point.y).toFixed(1)}`).join(' ')
    const color = COLORS[index % COLORS.length] ?? '#000'
    return `<polyline fill="none" stroke="${color}" points="${path}"/><text x="${MARGIN_PIXELS + index * 120}" y="${HEIGHT_PIXELS - 8}" fill="${color}">${escapeHtml(line.name)}</text>`
  }
  const drawMark = (mark: PlotMark): string => {
    const x = scaleX(Math.min(mark.x, maximumX)).toFixed(1)
    return `<line x1="${x}" x2="${x}" y1="${MARGIN_PIXELS}" y2="${HEIGHT_PIXELS - MARGIN_PIXELS}" stroke="#999" stroke-dasharray="3"/><text x="${x}" y="${MARGIN_PIXELS - 4}" fill="#666">${escapeHtml(mark.text)}</text>`
  }
  return `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${WIDTH_PIXELS} ${HEIGHT_PIXELS}" width="${WIDTH_PIXELS}" font-family="sans-serif" font-size="11">
<text x="${MARGIN_PIXELS}" y="16" font-size="14">${escapeHtml(title)}</text>
<text x="4" y="${MARGIN_PIXELS + 4}">${maximumY.toFixed(1)}</text><text x="4" y="${HEIGHT_PIXELS - MARGIN_PIXELS}">0</text>
<path d="M${MARGIN_PIXELS},${MARGIN_PIXELS} V${HEIGHT_PIXELS - MARGIN_PIXELS} H${WIDTH_PIXELS - MARGIN_PIXELS}" fill="none" stroke="#333"/>
<text x="${WIDTH_PIXELS - MARGIN_PIXELS}" y="${HEIGHT_PIXELS - MARGIN_PIXELS + 14}">${maximumX} s</text>
${lines.map(drawLine).join('\n')}
${marks.map(drawMark).join('\n')}
</svg>`
}

/**
 * @param text - text to place in an element or in a quoted attribute
 * @returns the text with `&`, `<`, `>` and `"` as character references
 */
export function escapeHtml (text: string): string {
  return text.replace(/&/g, '&amp;').replace(/</g, '&lt;').replace(/>/g, '&gt;').replace(/"/g, '&quot;')
}
