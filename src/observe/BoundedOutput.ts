import { write } from 'node:fs'
import { Writable } from 'node:stream'

/** Bounds on what a log writes. */
export interface OutputLimits {
  /** Lines in a second that are written whatever their kind. */
  linesPerSecond: number
  /** Lines in a second beyond that for warnings and errors alone. */
  failuresPerSecond: number
  /** Bytes that wait for a reader that stalls. */
  waitingBytes: number
}

/** Some 60 KB a second: a line has about 300 bytes, and an entry host some 20 requests a second. */
export const DEFAULT_OUTPUT_LIMITS: OutputLimits = { linesPerSecond: 100, failuresPerSecond: 100, waitingBytes: 1_048_576 }

const SECOND_MILLISECONDS = 1_000
const FAILURE = / level=(warn|error) /

/**
 * Writes log lines to a file descriptor without ever blocking the process. Lines over the limits are dropped and counted;
 * the count is written with the next line that fits. Failures are kept longest.
 */
export class BoundedOutput extends Writable {
  readonly #descriptor: number
  readonly #limits: OutputLimits
  #waiting: Buffer[] = []
  #waitingBytes = 0
  #isWriting = false
  #secondStartedAt = Number.NEGATIVE_INFINITY
  #lines = 0
  #failures = 0
  #dropped = 0

  /**
   * @param descriptor - the open file, such as 1 for standard output
   * @param limits - bounds on lines and bytes
   */
  constructor (descriptor: number, limits: OutputLimits = DEFAULT_OUTPUT_LIMITS) {
    super()
    this.#descriptor = descriptor
    this.#limits = limits
  }

  /** Lines dropped since they were last told. */
  get dropped (): number {
    return this.#dropped
  }

  override _write (chunk: Buffer, _encoding: string, callback: () => void): void {
    this.#take(chunk)
    callback()
  }

  #take (line: Buffer): void {
    if (!this.#fits(line)) {
      this.#dropped += 1
      return
    }
    if (this.#dropped > 0) this.#add(Buffer.from(`event=lines-dropped count=${this.#dropped}\n`))
    this.#dropped = 0
    this.#add(line)
    this.#flush()
  }

  #fits (line: Buffer): boolean {
    const now = performance.now()
    if (now - this.#secondStartedAt >= SECOND_MILLISECONDS) {
      this.#secondStartedAt = now
      this.#lines = 0
      this.#failures = 0
    }
    if (this.#waitingBytes + line.length > this.#limits.waitingBytes) return false
    if (this.#lines++ < this.#limits.linesPerSecond) return true
    return FAILURE.test(line.toString('latin1', 0, 100)) && this.#failures++ < this.#limits.failuresPerSecond
  }

  #add (line: Buffer): void {
    this.#waiting.push(line)
    this.#waitingBytes += line.length
  }

  /** Writes what waits by the thread pool: a write to a full pipe would stop the event loop. */
  #flush (): void {
    if (this.#isWriting || this.#waiting.length === 0) return
    this.#isWriting = true
    this.#writeAll(Buffer.concat(this.#waiting))
    this.#waiting = []
  }

  #writeAll (bytes: Buffer): void {
    write(this.#descriptor, bytes, (error, written) => {
      this.#waitingBytes -= error === null ? written : bytes.length
      if (error === null && written < bytes.length) return this.#writeAll(bytes.subarray(written))
      this.#isWriting = false
      this.#flush()
    })
  }
}
