import type { AcceptedSheet } from './AcceptedSheet.js'

const NUMBER_OFFSET = 0
const REVISION_OFFSET = 8
const ACCEPTED_AT_OFFSET = 16
const DIGEST_OFFSET = 24
const DIGEST_BYTES = 32
const RECORD_BYTES = DIGEST_OFFSET + DIGEST_BYTES
const INITIAL_CAPACITY_RECORDS = 64

/** The latest accepted sheets in the order of their numbers, in a packed buffer. Accepted numbers always increase. */
export class AcceptedSheetArchive {
  readonly #maximumSheets: number
  #buffer = Buffer.alloc(INITIAL_CAPACITY_RECORDS * RECORD_BYTES)
  #startRecord = 0
  #endRecord = 0
  #hasEvicted = false

  /** @param maximumSheets - maximum number of archived sheets */
  constructor (maximumSheets: number) {
    this.#maximumSheets = maximumSheets
  }

  /** Number of archived sheets. */
  get size (): number {
    return this.#endRecord - this.#startRecord
  }

  /** Adds a sheet with a number higher than all others, and evicts the oldest one beyond the maximum. */
  add (sheet: AcceptedSheet): void {
    if ((this.#endRecord + 1) * RECORD_BYTES > this.#buffer.length) this.#reallocate()
    const offset = this.#endRecord * RECORD_BYTES
    this.#buffer.writeDoubleLE(sheet.number, offset + NUMBER_OFFSET)
    this.#buffer.writeDoubleLE(sheet.revision, offset + REVISION_OFFSET)
    this.#buffer.writeDoubleLE(sheet.acceptedAt, offset + ACCEPTED_AT_OFFSET)
    this.#buffer.write(sheet.digest, offset + DIGEST_OFFSET, 'hex')
    this.#endRecord += 1
    if (this.size <= this.#maximumSheets) return
    this.#startRecord += 1
    this.#hasEvicted = true
  }

  /**
   * @param number - number of a sheet
   * @returns the archived sheet with that number, if any
   */
  find (number: number): AcceptedSheet | undefined {
    const record = this.#lowerBound(number)
    return record < this.#endRecord && this.#readNumber(record) === number ? this.#readRecord(record) : undefined
  }

  /**
   * @param number - number of a sheet
   * @returns whether a sheet with that number may have been accepted and evicted since
   */
  mayHaveEvicted (number: number): boolean {
    return this.#hasEvicted && number < this.#readNumber(this.#startRecord)
  }

  /** @returns the archive as a JSON value */
  toJSON (): { records: string, dropped: boolean } {
    return { records: this.#buffer.toString('base64', this.#startRecord * RECORD_BYTES, this.#endRecord * RECORD_BYTES), dropped: this.#hasEvicted }
  }

  /** Replaces the content by a result of {@link toJSON}. */
  restore (stored: { records: string, dropped: boolean }): void {
    const records = Buffer.from(stored.records, 'base64')
    this.#buffer = Buffer.alloc(Math.max(records.length, INITIAL_CAPACITY_RECORDS * RECORD_BYTES))
    records.copy(this.#buffer)
    this.#startRecord = 0
    this.#endRecord = records.length / RECORD_BYTES
    this.#hasEvicted = stored.dropped
  }

  #reallocate (): void {
    const usedRecords = this.#buffer.subarray(this.#startRecord * RECORD_BYTES, this.#endRecord * RECORD_BYTES)
    const capacityRecords = Math.max(INITIAL_CAPACITY_RECORDS, Math.min(this.size * 2, this.size + Math.ceil(this.#maximumSheets / 4)))
    const newBuffer = Buffer.alloc((capacityRecords + 1) * RECORD_BYTES)
    usedRecords.copy(newBuffer)
    this.#buffer = newBuffer
    this.#endRecord = this.size
    this.#startRecord = 0
  }

  #lowerBound (number: number): number {
    let low = this.#startRecord
    let high = this.#endRecord
    while (low < high) {
      const middle = (low + high) >>> 1
      if (this.#readNumber(middle) < number) low = middle + 1
      else high = middle
    }
    return low
  }

  #readNumber (record: number): number {
    return this.#buffer.readDoubleLE(record * RECORD_BYTES + NUMBER_OFFSET)
  }

  #readRecord (record: number): AcceptedSheet {
    const offset = record * RECORD_BYTES
    return {
      number: this.#readNumber(record),
      digest: this.#buffer.toString('hex', offset + DIGEST_OFFSET, offset + RECORD_BYTES),
      revision: this.#buffer.readDoubleLE(offset + REVISION_OFFSET),
      acceptedAt: this.#buffer.readDoubleLE(offset + ACCEPTED_AT_OFFSET)
    }
  }
}
