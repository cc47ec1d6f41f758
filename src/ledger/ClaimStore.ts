import type { ClaimRecord } from './ClaimRecord.js'
import type { LedgerLimits } from './LedgerLimits.js'

/** Counts the records and answer bytes of all stores of one member. */
export class StoreUsage {
  records = 0
  answerBytes = 0
  readonly #limits: LedgerLimits

  /** @param limits - limits of the counts */
  constructor (limits: LedgerLimits) {
    this.#limits = limits
  }

  /** @returns whether new claims have to be refused */
  isFull (): boolean {
    return this.records >= this.#limits.records || this.answerBytes >= this.#limits.answerBytes
  }

  /**
   * @param answer - an answer to store, as JSON text
   * @returns whether it fits within the limits
   */
  canStore (answer: string): boolean {
    return answer.length <= this.#limits.oneAnswerBytes && this.answerBytes + answer.length <= this.#limits.answerBytes
  }
}

/** Records of one epoch at one member, in the order of their latest change. */
export class ClaimStore {
  readonly #recordsByKey = new Map<string, ClaimRecord>()
  readonly #usage: StoreUsage
  #sequence = 0

  /** @param usage - counts the records and answer bytes of all stores of the member */
  constructor (usage: StoreUsage) {
    this.#usage = usage
  }

  get size (): number {
    return this.#recordsByKey.size
  }

  /**
   * @param key - digest of a key
   * @returns its record, if any
   */
  find (key: string): ClaimRecord | undefined {
    return this.#recordsByKey.get(key)
  }

  /**
   * Stores a record as the latest change.
   *
   * @param record - replaces the one of the same key, and must not be changed in place afterwards
   */
  put (record: Omit<ClaimRecord, 'sequence'>): void {
    this.#remove(record.key)
    this.#sequence += 1
    this.#recordsByKey.set(record.key, { ...record, sequence: this.#sequence })
    this.#usage.records += 1
    this.#usage.answerBytes += record.answer?.length ?? 0
  }

  /**
   * @param sequence - sequence number after which to start
   * @returns the records that changed after it, oldest change first
   */
  * changedAfter (sequence: number): Generator<ClaimRecord> {
    for (const record of this.#recordsByKey.values()) {
      if (record.sequence > sequence) yield record
    }
  }

  /**
   * Discards the records whose tickets expired.
   *
   * @param wallTime - wall-clock time up to which tickets expired
   */
  removeExpired (wallTime: number): void {
    for (const record of this.#recordsByKey.values()) {
      if (record.expiresAt <= wallTime) this.#remove(record.key)
    }
  }

  /** Discards all records. */
  clear (): void {
    for (const key of this.#recordsByKey.keys()) this.#remove(key)
  }

  #remove (key: string): void {
    const record = this.#recordsByKey.get(key)
    if (record === undefined) return
    this.#recordsByKey.delete(key)
    this.#usage.records -= 1
    this.#usage.answerBytes -= record.answer?.length ?? 0
  }
}
