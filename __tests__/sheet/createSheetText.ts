import { SheetColumn } from '../../src/sheet/SheetColumn.js'

export const HEADER = Object.values(SheetColumn).join(',')

/** Rows of a valid sheet with two regions. The line numbers in the fault tests refer to them. */
export const VALID_ROWS = [
  'sheet,,,,,,,,7,,',
  'service,desk,one-time,,,,,,,,',
  'place,,,,north,domain-1,region-1,,,,open',
  'place,,,,south,domain-2,region-2,,,,open',
  'link,,,,,,region-1,region-2,280,Mbit/s,',
  'guests,,,192.0.2.0/24,north,,,,,,',
  'guests,,,2001:db8::/32,south,,,,,,',
  'placement,desk,,north,north,,,,90,share,',
  'placement,desk,,north,south,,,,10,share,',
  'placement,desk,,*,south,,,,1,share,',
  'cap,desk,,,north,,,,100,requests/s,',
  'cap,desk,,,south,,,,50,requests/s,'
]

/** Creates a sheet from the header and the valid rows. `line` (from 2) is replaced by `row`, or removed when `row` is empty. */
export function createSheetText (line = 0, row = ''): string {
  const rows = VALID_ROWS.flatMap((text, index) => index + 2 !== line ? [text] : row === '' ? [] : row.split('\n'))
  return [HEADER, ...rows, ''].join('\n')
}
