import type { LogEntry } from './LogEntry.js'

const cachedBytes = new WeakMap<LogEntry, number>()

/**
 * @param entry - a log entry
 * @returns length of its JSON in characters, as an estimate of its bytes; computed once per entry
 */
export function estimateEntryBytes (entry: LogEntry): number {
  const cached = cachedBytes.get(entry)
  if (cached !== undefined) return cached
  const bytes = JSON.stringify(entry).length
  cachedBytes.set(entry, bytes)
  return bytes
}

/**
 * @param entries - log entries, oldest first
 * @param maximumBytes - maximum estimated size of the result
 * @returns the longest prefix that fits, at least one entry if there is any
 */
export function takeEntriesWithin (entries: LogEntry[], maximumBytes: number): LogEntry[] {
  let bytes = 0
  const end = entries.findIndex((entry) => {
    bytes += estimateEntryBytes(entry)
    return bytes > maximumBytes
  })
  return end === -1 ? entries : entries.slice(0, Math.max(1, end))
}
