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

const WINDOW_MILLISECONDS = 1_000
const FAILURE_PATTERN = / level=(warn|error) /

/**
 * Writes log lines to a file descriptor without ever blocking the process. Lines over the limits are dropped and counted;
 * the count is written with the next line that fits. Failures are kept longest.
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

  /** Writes what waits by the thread pool: a write to a full pipe would stop the event loop. */
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
