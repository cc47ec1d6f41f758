import type { SheetChange } from './SheetChange.js'

/**
 * Formats a change as one line of text.
 *
 * @param change - the change to format
 * @returns text such as `changed cap reservas at gijon: 300 requests/s -> 200 requests/s`
 */
export function formatSheetChange (change: SheetChange): string {
  const contents = [change.before, change.after].filter((content) => content !== undefined)
  return `${change.kind} ${change.record} ${change.subject}: ${contents.join(' -> ')}`
}
