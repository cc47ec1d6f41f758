import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { splitAddress } from '../../../src/utils/splitAddress.js'
import { MessageReader } from './MessageReader.js'
import { AnswerEnd, type RawExchange, type RawRecord } from './RawRecord.js'

const CONNECT_MILLISECONDS = 1_000
const ANSWER_MILLISECONDS = 8_000
const SLOW_READ_PAUSE_MILLISECONDS = 15
const KEPT_STRAY_CHARACTERS = 80

/** One piece of a request, and the pause before it in milliseconds. */
export interface RequestPiece {
  pauseMilliseconds: number
  bytes: Buffer
}

/** Connection of a raw guest to an entry host, with one request at a time. */
export class GuestConnection {
  /** Requests that were answered on it. */
  answered = 0
  /** Whether an answer said that the connection ends. */
  isAnnouncedLast = false
  readonly #socket: Socket
  readonly #record: RawRecord
  readonly #entryHost: number
  #reader: MessageReader | undefined
  #exchange: RawExchange | undefined
  #attempt: string | undefined
  #settle = (): void => {}

  /**
   * @param address - guest address of the entry host, `ip:port`
   * @param entryHost - number of the entry host
   * @param record - receives requests and stray bytes
   */
  constructor (address: string, entryHost: number, record: RawRecord) {
    this.#socket = connect({ ...splitAddress(address), noDelay: true })
    this.#entryHost = entryHost
    this.#record = record
    this.#socket.on('error', (error: NodeJS.ErrnoException) => { if (this.#exchange !== undefined) this.#exchange.error = error.code })
    this.#socket.on('data', (bytes: Buffer) => { this.#read(bytes) })
    this.#socket.on('end', () => { this.#reader?.end() })
    this.#socket.on('close', () => { this.#finish(this.#reader?.firstLine === '' ? AnswerEnd.None : AnswerEnd.Cut) })
  }

  get isOver (): boolean {
    return this.#socket.destroyed || this.#socket.readableEnded
  }

  /** @returns whether it was opened in time */
  async open (): Promise<boolean> {
    // A host that is down refuses connections.
    await once(this.#socket, 'connect', { signal: AbortSignal.timeout(CONNECT_MILLISECONDS) }).catch(() => { this.close() })
    return !this.isOver
  }

  /** Ends it. */
  close (): void {
    this.#socket.destroy()
  }

  /** Sends a request and waits until it is written and its answer has ended. */
  async send (exchange: RawExchange, pieces: readonly RequestPiece[]): Promise<void> {
    this.#record.exchanges.push(exchange)
    this.#exchange = exchange
    this.#attempt = exchange.attempt
    this.#reader = new MessageReader(true)
    const answered = new Promise<void>((resolve) => { this.#settle = resolve })
    const timer = setTimeout(() => { this.#finish(AnswerEnd.GivenUp); this.close() }, ANSWER_MILLISECONDS)
    for (const { pauseMilliseconds, bytes } of pieces) {
      if (pauseMilliseconds > 0) await sleep(pauseMilliseconds)
      if (!this.isOver) this.#socket.write(bytes)
      if (this.#exchange !== undefined) exchange.sentAt = performance.now()
    }
    await answered
    clearTimeout(timer)
  }

  #read (bytes: Buffer): void {
    if (this.#reader === undefined) return this.#recordStray(bytes)
    if (this.#exchange?.isSlowReader) this.#pause()
    const behind = this.#reader.push(bytes)
    if (this.#reader.isMalformed) return this.#finish(AnswerEnd.Malformed)
    if (!this.#reader.isWhole) return
    if (this.#reader.status === 100) this.#reader = new MessageReader(true)
    else this.#finish(AnswerEnd.Whole)
    if (behind.length > 0) this.#read(behind)
  }

  #pause (): void {
    this.#socket.pause()
    setTimeout(() => { this.#socket.resume() }, SLOW_READ_PAUSE_MILLISECONDS)
  }

  #recordStray (bytes: Buffer): void {
    this.#record.strayBytes.push({ entryHost: this.#entryHost, at: performance.now(), attempt: this.#attempt, text: bytes.toString('latin1', 0, KEPT_STRAY_CHARACTERS) })
  }

  #finish (end: AnswerEnd): void {
    const exchange = this.#exchange
    const reader = this.#reader
    if (exchange === undefined || reader === undefined) return
    this.#exchange = undefined
    this.#reader = undefined
    this.answered += 1
    this.isAnnouncedLast = reader.headers.get('connection') === 'close'
    const { status, bodyBytes, digest, beginning } = reader
    Object.assign(exchange, { endedAt: performance.now(), end: reader.isWhole ? AnswerEnd.Whole : end, status, bodyBytes, digest, beginning, answeredAttempt: reader.headers.get('attempt-id'), signature: reader.headers.get('response-signature') })
    this.#settle()
  }
}
