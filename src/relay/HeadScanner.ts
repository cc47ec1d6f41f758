import type { AnswerHead } from './exchange.js'

const STATUS_LINE_START = 'HTTP/1.'
/** The shortest status line; it completes the beginning of another one for a check of its form. */
const SAMPLE_STATUS_LINE = 'HTTP/1.1 200 '
const STATUS_LINE = /^HTTP\/1\.[01] \d{3}[ \r\n]/
const STATUS_OFFSET = 9
const STATUS_DIGITS = 3
const HEADER_LINE = /^[\w!#$%&'*+\-.^`|~]+:[^\r]*\r?$/
const PARTIAL_HEADER_LINE = /^(?:[\w!#$%&'*+\-.^`|~]*|[\w!#$%&'*+\-.^`|~]+:[^\r]*\r?|\r)$/
const MAXIMUM_HEAD_BYTES = 16_384
/** Bytes of a status line at the end of a body that are hardly anything else. */
const MINIMUM_PARTIAL_BYTES = 'HTTP/'.length
const NO_BYTES = Buffer.alloc(0)

/** Part of a body: bytes of its text, or the head of an HTTP answer in it. */
export interface ScannedPart {
  bytes: Buffer
  /** The head, undefined for other bytes. */
  head: AnswerHead | undefined
}

/** Finds complete heads of HTTP answers in a body that arrives in chunks. It holds back at most what may become a head. */
export class HeadScanner {
  #pending: Buffer = NO_BYTES
  /** Whether the bytes held back begin with a status line. */
  #isInHead = false
  /** Start of the line that is not complete yet, within the bytes held back. */
  #lineStart = 0
  /** Bytes held back that were searched for the end of the line. */
  #searchedBytes = 0

  /**
   * @param chunk - next bytes of the body
   * @returns the parts that are certain by now, in order
   */
  scan (chunk: Buffer): ScannedPart[] {
    this.#pending = this.#pending.length === 0 ? chunk : Buffer.concat([this.#pending, chunk])
    const parts: ScannedPart[] = []
    this.#advance(parts)
    return parts
  }

  /**
   * Ends the body.
   *
   * @returns the remaining parts, and whether the body ends within the head of an answer
   */
  finish (): { parts: ScannedPart[], endsInHead: boolean } {
    const parts: ScannedPart[] = []
    while (this.#isInHead && !this.#mayLineGoOn()) {
      this.#leaveHead(parts, this.#lineStart)
      this.#advance(parts)
    }
    const endsInHead = this.#isInHead || this.#pending.length >= MINIMUM_PARTIAL_BYTES
    this.#emit(parts, this.#pending.length)
    return { parts, endsInHead }
  }

  #advance (parts: ScannedPart[]): void {
    while (this.#isInHead ? this.#readLine(parts) : this.#findHead(parts)) continue
  }

  /** @returns whether a head begins */
  #findHead (parts: ScannedPart[]): boolean {
    const start = this.#findStatusLine(0)
    if (start < 0) {
      this.#emit(parts, this.#pending.length - this.#countPartialBytes())
      return false
    }
    this.#emit(parts, start)
    this.#isInHead = true
    return true
  }

  /** @returns whether a line was complete, or the head cannot be one */
  #readLine (parts: ScannedPart[]): boolean {
    const end = this.#pending.indexOf('\n', this.#searchedBytes)
    if (end < 0 || end >= MAXIMUM_HEAD_BYTES) {
      this.#searchedBytes = end < 0 ? this.#pending.length : end
      if (this.#pending.length < MAXIMUM_HEAD_BYTES) return false
      this.#giveUpStart(parts)
      return true
    }
    const line = this.#pending.toString('latin1', this.#lineStart, end)
    const isStatusLine = this.#lineStart === 0
    if (!isStatusLine && /^\r?$/.test(line)) this.#completeHead(parts, end + 1)
    else if (!isStatusLine && !HEADER_LINE.test(line)) this.#leaveHead(parts, this.#lineStart)
    else this.#lineStart = this.#searchedBytes = end + 1
    return true
  }

  #mayLineGoOn (): boolean {
    return this.#lineStart === 0 || PARTIAL_HEADER_LINE.test(this.#pending.toString('latin1', this.#lineStart))
  }

  #completeHead (parts: ScannedPart[], end: number): void {
    const head = parseHead(this.#pending.toString('latin1', 0, end))
    parts.push({ bytes: this.#pending.subarray(0, end), head })
    this.#pending = this.#pending.subarray(end)
    this.#reset()
  }

  /** The lines up to the given one are no head; neither is any that begins within them, since it would contain that line. */
  #leaveHead (parts: ScannedPart[], line: number): void {
    this.#emit(parts, line)
    this.#reset()
  }

  /** Goes on with the next status line within a head that is too long. The lines read so far are valid for it, too. */
  #giveUpStart (parts: ScannedPart[]): void {
    const start = this.#findStatusLine(1)
    if (start < 0) {
      this.#leaveHead(parts, STATUS_LINE_START.length)
      return
    }
    this.#emit(parts, start)
    this.#lineStart = Math.max(0, this.#lineStart - start)
    this.#searchedBytes = Math.max(0, this.#searchedBytes - start)
  }

  #findStatusLine (from: number): number {
    let start = this.#pending.indexOf(STATUS_LINE_START, from)
    while (start >= 0 && !STATUS_LINE.test(this.#pending.toString('latin1', start, start + SAMPLE_STATUS_LINE.length))) {
      start = this.#pending.indexOf(STATUS_LINE_START, start + 1)
    }
    return start
  }

  /** @returns number of bytes at the end that may be the beginning of a status line */
  #countPartialBytes (): number {
    for (let bytes = Math.min(this.#pending.length, SAMPLE_STATUS_LINE.length - 1); bytes > 0; bytes -= 1) {
      const end = this.#pending.toString('latin1', this.#pending.length - bytes)
      if (STATUS_LINE.test(end + SAMPLE_STATUS_LINE.slice(bytes))) return bytes
    }
    return 0
  }

  #emit (parts: ScannedPart[], bytes: number): void {
    if (bytes > 0) parts.push({ bytes: this.#pending.subarray(0, bytes), head: undefined })
    this.#pending = this.#pending.subarray(bytes)
  }

  #reset (): void {
    this.#isInHead = false
    this.#lineStart = 0
    this.#searchedBytes = 0
  }
}

function parseHead (text: string): AnswerHead {
  const [statusLine, ...lines] = text.trimEnd().split('\n')
  const headers = lines.map((line) => {
    const colon = line.indexOf(':')
    return { name: line.slice(0, colon).toLowerCase(), value: line.slice(colon + 1).trim() }
  })
  return { status: Number(statusLine!.slice(STATUS_OFFSET, STATUS_OFFSET + STATUS_DIGITS)), headers }
}
