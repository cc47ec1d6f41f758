import { write } from 'node:fs'
import { Writable } from 'node:stream'

/** Limits on the output of a log. */
export interface OutputLimits {
  /** Maximum lines per second regardless of their level. */
  linesPerSecond: number
  /** Maximum additional lines per second for warnings and errors only. */
  failuresPerSecond: number
  /** Maximum bytes that are buffered while the reader does not read. */
  waitingBytes: number
}

/** At most about 60 KB per second, with about 300 bytes per line. An entry host serves about 20 requests per second, which is far below the limits. */
export const DEFAULT_OUTPUT_LIMITS: OutputLimits = { linesPerSecond: 100, failuresPerSecond: 100, waitingBytes: 1_048_576 }

const WINDOW_MILLISECONDS = 1_000
const FAILURE_PATTERN = / level=(warn|error) /

/**
 * Writes log lines to a file descriptor without ever blocking the process. Lines beyond the limits are dropped and counted;
 * the count is written before the next line within the limits. Warnings and errors have an additional allowance.
 */
export class BoundedOutput extends Writable {
  readonly #descriptor: number
  readonly #limits: OutputLimits
  #pendingLines: Buffer[] = []
  #pendingBytes = 0
  #isWriting = false
  #windowStartedAt = Number.NEGATIVE_INFINITY
  #linesInWindow = 0
  #failuresInWindow = 0
  #droppedLines = 0

  /**
   * @param descriptor - descriptor of the open file, for example 1 for standard output
   * @param limits - limits on lines per second and buffered bytes
   */
  constructor (descriptor: number, limits: OutputLimits = DEFAULT_OUTPUT_LIMITS) {
    super()
    this.#descriptor = descriptor
    this.#limits = limits
  }

  /** Number of lines dropped since the count was last written. */
  get dropped (): number {
    return this.#droppedLines
  }

  override _write (chunk: Buffer, _encoding: string, callback: () => void): void {
    this.#writeOrDrop(chunk)
    callback()
  }

  #writeOrDrop (line: Buffer): void {
    if (!this.#tryAdmit(line)) {
      this.#droppedLines += 1
      return
    }
    if (this.#droppedLines > 0) this.#enqueue(Buffer.from(`event=lines-dropped count=${this.#droppedLines}\n`))
    this.#droppedLines = 0
    this.#enqueue(line)
    this.#flush()
  }

  #tryAdmit (line: Buffer): boolean {
    const now = performance.now()
    if (now - this.#windowStartedAt >= WINDOW_MILLISECONDS) {
      this.#windowStartedAt = now
      this.#linesInWindow = 0
      this.#failuresInWindow = 0
    }
    if (this.#pendingBytes + line.length > this.#limits.waitingBytes) return false
    if (this.#linesInWindow++ < this.#limits.linesPerSecond) return true
    return FAILURE_PATTERN.test(line.toString('latin1', 0, 100)) && this.#failuresInWindow++ < this.#limits.failuresPerSecond
  }

  #enqueue (line: Buffer): void {
    this.#pendingLines.push(line)
    this.#pendingBytes += line.length
  }

  /** Writes the buffered lines in the thread pool: a synchronous write to a full pipe would block the event loop. */
  #flush (): void {
    if (this.#isWriting || this.#pendingLines.length === 0) return
    this.#isWriting = true
    this.#writeAll(Buffer.concat(this.#pendingLines))
    this.#pendingLines = []
  }

  #writeAll (bytes: Buffer): void {
    write(this.#descriptor, bytes, (error, written) => {
      this.#pendingBytes -= error === null ? written : bytes.length
      if (error === null && written < bytes.length) return this.#writeAll(bytes.subarray(written))
      this.#isWriting = false
      this.#flush()
    })
  }
}
