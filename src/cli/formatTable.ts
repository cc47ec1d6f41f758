/**
 * Formats rows as columns that are padded to the widest cell.
 *
 * @param header - names of the columns
 * @param rows - one array of cells for each row
 * @returns text with one line for the header and one for each row
 */
export function formatTable (header: string[], rows: Array<Array<string | number | boolean>>): string {
  const allRows = [header, ...rows.map((row) => row.map(String))]
  const widths = header.map((_, column) => Math.max(...allRows.map((row) => row[column]!.length)))
  return allRows.map((row) => row.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd()).join('\n')
}
