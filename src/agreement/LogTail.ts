import type { LogEntry } from './LogEntry.js'
import type { LogPosition } from './LogPosition.js'

/** The log entries in memory: all entries after a base position. */
export class LogTail {
  #base: LogPosition
  #entries: LogEntry[]

  /**
   * @param base - position just before the first entry
   * @param entries - the entries, without gaps
   */
  constructor (base: LogPosition = { index: 0, term: 0 }, entries: LogEntry[] = []) {
    this.#base = base
    this.#entries = entries
  }

  /** Position just before the first entry. */
  get base (): LogPosition {
    return this.#base
  }

  /** Position of the last entry, or the base. */
  get last (): LogPosition {
    const entry = this.#entries.at(-1)
    return entry === undefined ? this.#base : { index: entry.index, term: entry.term }
  }

  /** All entries, oldest first. */
  get entries (): readonly LogEntry[] {
    return this.#entries
  }

  /**
   * @param index - position in the log
   * @returns term of the entry there, undefined when it is not in memory
   */
  termAt (index: number): number | undefined {
    if (index === this.#base.index) return this.#base.term
    return this.entryAt(index)?.term
  }

  /**
   * @param index - position in the log
   * @returns the entry there, undefined when it is not in memory
   */
  entryAt (index: number): LogEntry | undefined {
    return index > this.#base.index ? this.#entries[index - this.#base.index - 1] : undefined
  }

  /**
   * @param firstIndex - index of the first entry to return
   * @returns all entries from there on
   */
  listFrom (firstIndex: number): LogEntry[] {
    return this.#entries.slice(Math.max(0, firstIndex - this.#base.index - 1))
  }

  /**
   * Appends entries, replacing all entries from the first one's index on.
   *
   * @param entries - entries without gaps, starting at most one index after the last
   */
  append (entries: readonly LogEntry[]): void {
    const first = entries[0]
    if (first === undefined) return
    this.#entries.length = Math.min(this.#entries.length, first.index - this.#base.index - 1)
    for (const entry of entries) this.#entries.push(entry)
  }

  /**
   * @param index - position in the log
   * @returns index of the first entry in memory that has the same term
   */
  findFirstOfTerm (index: number): number {
    const term = this.termAt(index)
    let first = index
    while (first - 1 > this.#base.index && this.termAt(first - 1) === term) first -= 1
    return first
  }

  /**
   * Discards the entries up to a position.
   *
   * @param position - the new base; entries after it are retained only if it is part of this log
   */
  rebase (position: LogPosition): void {
    const isConnected = this.termAt(position.index) === position.term
    this.#entries = isConnected ? this.listFrom(position.index + 1) : []
    this.#base = position
  }
}
