import { createHash } from 'node:crypto'

const NOTHING: Buffer = Buffer.alloc(0)
const LINE_END = '\r\n'
const KEPT_BEGINNING_BYTES = 60

enum Part {
  Head,
  Length,
  Rest,
  ChunkSize,
  ChunkBytes,
  ChunkEnd,
  Trailer,
  Whole,
  Malformed
}

/** Reads one request or answer of HTTP/1.1 from the bytes of a connection, by nothing but its framing. */
export class MessageReader {
  firstLine = ''
  readonly headers = new Map<string, string>()
  /** First bytes of the body. */
  beginning = ''
  bodyBytes = 0
  readonly #isAnswer: boolean
  readonly #hash = createHash('sha1')
  #part = Part.Head
  #unread = NOTHING
  #dueBytes = 0

  /** @param isAnswer - whether a body without a length lasts until the end of the connection */
  constructor (isAnswer: boolean) {
    this.#isAnswer = isAnswer
  }

  get isHeadRead (): boolean {
    return this.#part !== Part.Head && !this.isMalformed
  }

  get isWhole (): boolean {
    return this.#part === Part.Whole
  }

  get isMalformed (): boolean {
    return this.#part === Part.Malformed
  }

  /** Whether only the end of the connection ends the message. */
  get endsWithConnection (): boolean {
    return this.#part === Part.Rest
  }

  get status (): number | undefined {
    return this.isHeadRead && this.#isAnswer ? Number(this.firstLine.split(' ')[1]) : undefined
  }

  /** Digest of the body so far. */
  get digest (): string {
    return this.#hash.copy().digest('hex')
  }

  /** @returns bytes behind the end of the message */
  push (bytes: Buffer): Buffer {
    this.#unread = this.#unread.length === 0 ? bytes : Buffer.concat([this.#unread, bytes])
    while (this.#readOn());
    if (!this.isWhole) return NOTHING
    const behind = this.#unread
    this.#unread = NOTHING
    return behind
  }

  /** Takes the end of the connection, in order. */
  end (): void {
    if (this.endsWithConnection) this.#part = Part.Whole
  }

  /** @returns whether it has got on */
  #readOn (): boolean {
    switch (this.#part) {
      case Part.Head: return this.#readHead()
      case Part.Length: return this.#readDue(Part.Whole)
      case Part.ChunkBytes: return this.#readDue(Part.ChunkEnd)
      case Part.Rest: this.#takeBody(this.#unread.length); return false
      case Part.ChunkSize: return this.#readLine((line) => { this.#beginChunk(line) })
      case Part.ChunkEnd: return this.#readLine((line) => { this.#part = line === '' ? Part.ChunkSize : Part.Malformed })
      case Part.Trailer: return this.#readLine((line) => { if (line === '') this.#part = Part.Whole })
      default: return false
    }
  }

  #readHead (): boolean {
    const end = this.#unread.indexOf(LINE_END + LINE_END)
    const isReadable = this.#isAnswer ? 'HTTP/1.'.startsWith(this.#unread.toString('latin1', 0, 7)) : true
    if (!isReadable) this.#part = Part.Malformed
    if (end < 0 || !isReadable) return false
    const [firstLine = '', ...lines] = this.#unread.toString('latin1', 0, end).split(LINE_END)
    this.firstLine = firstLine
    for (const line of lines) this.headers.set(line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim())
    this.#unread = this.#unread.subarray(end + 4)
    this.#part = this.#beginBody()
    return true
  }

  #beginBody (): Part {
    if (this.headers.get('transfer-encoding') === 'chunked') return Part.ChunkSize
    const length = this.headers.get('content-length')
    if (length === undefined) return this.#isAnswer && !/^HTTP\/1.. (1..|204|304)/.test(this.firstLine) ? Part.Rest : Part.Whole
    this.#dueBytes = Number(length)
    return Part.Length
  }

  #beginChunk (line: string): void {
    this.#dueBytes = Number.parseInt(line, 16)
    this.#part = Number.isNaN(this.#dueBytes) ? Part.Malformed : this.#dueBytes === 0 ? Part.Trailer : Part.ChunkBytes
  }

  #readDue (next: Part): boolean {
    this.#dueBytes -= this.#takeBody(Math.min(this.#dueBytes, this.#unread.length))
    if (this.#dueBytes > 0) return false
    this.#part = next
    return true
  }

  #takeBody (count: number): number {
    const bytes = this.#unread.subarray(0, count)
    this.#unread = this.#unread.subarray(count)
    this.#hash.update(bytes)
    this.bodyBytes += count
    if (this.beginning.length < KEPT_BEGINNING_BYTES) this.beginning += bytes.toString('latin1', 0, KEPT_BEGINNING_BYTES - this.beginning.length)
    return count
  }

  #readLine (use: (line: string) => void): boolean {
    const end = this.#unread.indexOf(LINE_END)
    if (end < 0) return false
    const line = this.#unread.toString('latin1', 0, end)
    this.#unread = this.#unread.subarray(end + 2)
    use(line)
    return true
  }
}
