/**
 * Lays rows out in columns.
 *
 * @param header - names of the columns
 * @param rows - cells, row by row
 * @returns the text, one line a row
 */
export function formatTable (header: string[], rows: Array<Array<string | number | boolean>>): string {
  const allRows = [header, ...rows.map((row) => row.map(String))]
  const widths = header.map((_, column) => Math.max(...allRows.map((row) => row[column]!.length)))
  return allRows.map((row) => row.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd()).join('\n')
}
