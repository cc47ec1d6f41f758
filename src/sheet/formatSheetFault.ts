import type { SheetFault } from './SheetFault.js'

/**
 * Formats a fault as one line of text.
 *
 * @param fault - the fault to format
 * @returns text such as `line 7, column 5 (place): unknown place, found "gijn"; allowed: gijon, oviedo`
 */
export function formatSheetFault (fault: SheetFault): string {
  const fieldText = fault.field === '' ? '' : ` (${fault.field})`
  const foundText = fault.found === '' ? '' : `, found ${JSON.stringify(fault.found)}`
  return `line ${fault.line}, column ${fault.column}${fieldText}: ${fault.problem}${foundText}; allowed: ${fault.allowed}`
}
