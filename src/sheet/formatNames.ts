const MAXIMUM_LISTED_NAMES = 12

/**
 * Formats names as a list in a message.
 *
 * @param names - names in any order; duplicates are left out
 * @returns the names in alphabetical order; only the first {@link MAXIMUM_LISTED_NAMES}, followed by `...`, when there are more
 */
export function formatNames (names: Iterable<string>): string {
  const sorted = [...new Set(names)].sort()
  if (sorted.length === 0) return '(none in this sheet)'
  const listed = sorted.slice(0, MAXIMUM_LISTED_NAMES).join(', ')
  return sorted.length > MAXIMUM_LISTED_NAMES ? `${listed}, ...` : listed
}
