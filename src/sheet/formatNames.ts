const MAXIMUM_LISTED_NAMES = 12

/**
 * Lists names for a message.
 *
 * @param names - the names
 * @returns the first names in order, with a mark when there are more
 */
export function formatNames (names: Iterable<string>): string {
  const sorted = [...new Set(names)].sort()
  if (sorted.length === 0) return '(none in this sheet)'
  const listed = sorted.slice(0, MAXIMUM_LISTED_NAMES).join(', ')
  return sorted.length > MAXIMUM_LISTED_NAMES ? `${listed}, ...` : listed
}
