import { createHash } from 'node:crypto'
import { setTimeout as sleep } from 'node:timers/promises'
import { Draw } from '../Draw.js'
import type { SoakSystem } from '../SoakSystem.js'
import { GuestConnection, type RequestPiece } from './GuestConnection.js'
import { AnswerEnd, type RawExchange, type RawRecord } from './RawRecord.js'
import { IDEMPOTENT_PREFIX, ONCE_PREFIX } from './rawRoutes.js'

const LONGEST_PAUSE_MILLISECONDS = 250
const RECONNECT_MILLISECONDS = 100
const DEADLINE_MILLISECONDS = 7_000
const SLOW_READER_SHARE = 0.15
const FRESH_CONNECTION_SHARE = 0.2
const LARGE_BODY_BYTES = 3_000_000
const LONGEST_REQUEST_BODY_BYTES = 150_000
const LONGEST_BODY_PAUSE_MILLISECONDS = 400

/** Guests on plain sockets that send one request after another, most on kept connections, and use each until its end. */
export class RawGuests {
  readonly #system: SoakSystem
  readonly #record: RawRecord
  readonly #seed: number
  readonly #count: number
  #isStopping = false
  #attempts = 0

  /**
   * @param system - the entry hosts
   * @param record - receives what guests see
   * @param seed - seed of the run
   * @param count - number of guests
   */
  constructor (system: SoakSystem, record: RawRecord, seed: number, count: number) {
    this.#system = system
    this.#record = record
    this.#seed = seed
    this.#count = count
  }

  /** Sends requests until it is stopped. */
  async run (): Promise<void> {
    await Promise.all(Array.from({ length: this.#count }, async (_, guest) => {
      const draw = new Draw(this.#seed, 200 + guest)
      while (!this.#isStopping) await this.#useConnection(draw)
    }))
  }

  /** Makes the present requests the last ones. */
  stop (): void {
    this.#isStopping = true
  }

  /** Uses one connection until it ends, also after an answer that announced its end. */
  async #useConnection (draw: Draw): Promise<void> {
    const entryHost = draw.index(this.#system.entryHosts.length)
    const connection = new GuestConnection(this.#system.getGuestAddress(entryHost), entryHost, this.#record)
    if (!await connection.open()) return await sleep(RECONNECT_MILLISECONDS)
    const isPolite = draw.chance(0.5)
    let rest = draw.chance(FRESH_CONNECTION_SHARE) ? 1 : Number.POSITIVE_INFINITY
    for (; rest > 0 && !this.#isStopping; rest -= 1) {
      await sleep(draw.between(0, LONGEST_PAUSE_MILLISECONDS))
      if (connection.isOver) break
      const exchange = this.#createExchange(draw, entryHost, connection.answered > 0)
      await connection.send(exchange, drawRequest(draw, exchange))
      if (connection.isOver || (isPolite && connection.isAnnouncedLast)) break
    }
    connection.close()
  }

  #createExchange (draw: Draw, entryHost: number, isKept: boolean): RawExchange {
    const request = { attempt: `r-${++this.#attempts}`, entryHost, isKept, isIdempotent: draw.chance(0.5), isSlowReader: draw.chance(SLOW_READER_SHARE), sentAt: performance.now() }
    const answer = { error: undefined, status: undefined, answeredAttempt: undefined, signature: undefined, bodyBytes: 0, digest: '', beginning: '' }
    return { ...request, ...answer, endedAt: Number.POSITIVE_INFINITY, end: AnswerEnd.GivenUp }
  }
}

/** Draws method, body and pieces of a request. */
function drawRequest (draw: Draw, { attempt, entryHost, isIdempotent, isSlowReader }: RawExchange): RequestPiece[] {
  const isChunked = draw.chance(0.3)
  const size = draw.chance(0.5) ? 0 : Math.floor(draw.pick([draw.between(1, 500), draw.between(1, LONGEST_REQUEST_BODY_BYTES)]))
  const body = Buffer.alloc(size, `${attempt}.`)
  const line = `${size > 0 ? 'POST' : 'GET'} ${isIdempotent ? IDEMPOTENT_PREFIX : ONCE_PREFIX}by-${entryHost}/${attempt} HTTP/1.1`
  const framing = size === 0 ? '' : isChunked ? 'Transfer-Encoding: chunked\r\n' : `Content-Length: ${size}\r\n`
  const wanted = isSlowReader ? `Wanted-Bytes: ${LARGE_BODY_BYTES}\r\n` : ''
  const head = `${line}\r\nHost: stock.example\r\nAttempt-Id: ${attempt}\r\nDeadline-Ms: ${DEADLINE_MILLISECONDS}\r\nSent-Line: ${line}\r\nSent-Digest: ${createHash('sha1').update(body).digest('hex')}\r\n${wanted}${framing}\r\n`
  const middle = Math.floor(size * draw.between(0, 1))
  const parts = [body.subarray(0, middle), body.subarray(middle)].filter(({ length }) => length > 0)
  const encode = (part: Buffer, isLast: boolean): Buffer => isChunked ? Buffer.concat([Buffer.from(`${part.length.toString(16)}\r\n`), part, Buffer.from(isLast ? '\r\n0\r\n\r\n' : '\r\n')]) : part
  const pause = draw.chance(0.4) ? draw.between(0, LONGEST_BODY_PAUSE_MILLISECONDS) : 0
  return [{ pauseMilliseconds: 0, bytes: Buffer.from(head) }, ...parts.map((part, number) => ({ pauseMilliseconds: number * pause, bytes: encode(part, number === parts.length - 1) }))]
}
