/** Maximum number of entries of each kind; a request that ends upstreams is rare. */
const MAXIMUM_ENTRIES = 1_000

/** @returns whether a map holds more than the maximum number of entries */
export function isOversized ({ size }: ReadonlyMap<string, unknown>): boolean {
  return size > MAXIMUM_ENTRIES
}

/**
 * Removes the entry that has not changed for the longest time.
 *
 * @param entries - a map with at least one entry
 * @returns the removed entry
 */
export function evictOldest<Value> (entries: Map<string, Value>): [string, Value] {
  const [oldest] = entries
  entries.delete(oldest![0])
  return oldest!
}
