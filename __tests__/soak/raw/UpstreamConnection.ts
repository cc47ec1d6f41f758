import { createHash } from 'node:crypto'
import type { Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { writeWithoutEnd } from '../../support/EndlessWriter.js'
import { SLOTS } from '../UpstreamLife.js'
import { AnswerFault, COPIES, drawAnswer, Framing, type AnswerScript } from './drawAnswer.js'
import { drawEndless } from './drawEndless.js'
import { MessageReader } from './MessageReader.js'
import type { RawRun } from './RawRecord.js'
import type { RawUpstream } from './RawUpstream.js'

const PIECES = 4

/** One connection of a host to a raw upstream, which runs one request at a time on it. */
export class UpstreamConnection {
  readonly #upstream: RawUpstream
  readonly #socket: Socket
  #reader = new MessageReader(false)
  #run: RawRun | undefined
  #script: AnswerScript | undefined
  #isBegun = false
  #isCopied = false
  #isEndless = false
  /** Ends with the answer that is being written. */
  #written: Promise<void> = Promise.resolve()

  /**
   * @param upstream - upstream that it belongs to
   * @param socket - connection that was accepted
   */
  constructor (upstream: RawUpstream, socket: Socket) {
    this.#upstream = upstream
    this.#socket = socket
    // The end of a connection is told by its close.
    socket.on('error', () => {})
    socket.on('data', (bytes: Buffer) => { this.#read(bytes) })
    socket.on('close', () => { this.#endRun(true) })
  }

  /** Ends the connection in order, at once, as the kernel does for a process that was killed. */
  breakOff (): void {
    if (this.#run?.endedAt === Number.POSITIVE_INFINITY) this.#run.isBrokenOff = true
    this.#endRun(false)
    this.#socket.destroy()
  }

  #read (bytes: Buffer): void {
    if (this.#isEndless) return
    const behind = this.#reader.push(bytes)
    if (!this.#reader.isHeadRead) return
    this.#script ??= drawAnswer(this.#upstream.draw, Number(this.#reader.headers.get('wanted-bytes') ?? 0))
    if (!this.#isBegun && (this.#script.isEarly || this.#reader.isWhole)) this.#begin(this.#script)
    if (!this.#reader.isWhole) return
    if (this.#run !== undefined) this.#run.isAsSent = this.#isAsSent()
    this.#reader = new MessageReader(false)
    this.#script = undefined
    this.#isBegun = false
    if (behind.length > 0) this.#read(behind)
  }

  #isAsSent (): boolean {
    const { firstLine, headers, digest } = this.#reader
    return firstLine === headers.get('sent-line') && digest === headers.get('sent-digest')
  }

  #begin (script: AnswerScript): void {
    this.#isBegun = true
    const { life: { id, isReady }, record } = this.#upstream
    const { headers, firstLine } = this.#reader
    const attempt = headers.get('attempt-id') ?? ''
    const expected = headers.get('expected-instance')
    this.#run = undefined
    if (firstLine.includes(' /health ')) return this.#writeShort(isReady ? 200 : 503, `Instance-Id: ${id}\r\nServer-Load: 0,0,${SLOTS}`, attempt)
    if (expected !== undefined && expected !== id) return this.#writeShort(421, 'Not-Executed: 1', attempt)
    if (script.fault === AnswerFault.Reject) return this.#writeShort(503, 'Not-Executed: 1\r\nRetry-After: 0.1', attempt)
    const body = createBody(attempt, id, script.bodyBytes)
    const run: RawRun = { attempt, upstream: id, startedAt: performance.now(), endedAt: Number.POSITIVE_INFINITY, script: Object.values(script).join(' '), status: script.status, signature: sign(body), isBrokenOff: false, isAbandoned: false, isBehindCopy: this.#isCopied, isAsSent: undefined }
    record.runs.push(run)
    this.#run = run
    if (this.#upstream.isEndless) return this.#answerWithoutEnd(run)
    this.#answer(script, run, body).catch(() => { this.breakOff() })
  }

  #answerWithoutEnd (run: RawRun): void {
    const { name, beginning, ...part } = drawEndless(this.#upstream.draw)
    this.#isEndless = true
    Object.assign(run, { script: `endless: ${name}`, isBrokenOff: true })
    if (beginning !== undefined) this.#socket.write(`HTTP/1.1 ${run.status} S\r\nAttempt-Id: ${run.attempt}\r\nResponse-Signature: ${run.signature}\r\n${beginning}`)
    writeWithoutEnd(this.#socket, part)
  }

  async #answer (script: AnswerScript, run: RawRun, body: Buffer): Promise<void> {
    await sleep(script.delayMilliseconds)
    const written = this.#writeAnswer(script, run, body)
    this.#written = written
    await written
    if (this.#socket.destroyed) return
    if (COPIES.includes(script.fault)) await this.#writeCopy(script, run, body)
    if (script.framing === Framing.Connection) this.#socket.end()
  }

  async #writeAnswer (script: AnswerScript, run: RawRun, body: Buffer): Promise<void> {
    const answer = formatAnswer(script, run, body)
    const faultyPiece = 1 + this.#upstream.draw.index(PIECES - 1)
    const size = Math.ceil(answer.length / PIECES)
    for (let piece = 0; piece < PIECES; piece += 1) {
      if (this.#socket.destroyed) return
      if (piece === faultyPiece) this.#breakOffBy(script.fault, run)
      if (piece > 0 && script.spreadMilliseconds > 0) await sleep(script.spreadMilliseconds / (PIECES - 1))
      this.#socket.write(answer.subarray(piece * size, (piece + 1) * size))
    }
    run.endedAt = performance.now()
  }

  /** A copy comes between two answers, never within one. */
  async #writeCopy (script: AnswerScript, run: RawRun, body: Buffer): Promise<void> {
    this.#isCopied = true
    await sleep(script.lateMilliseconds)
    let written
    do {
      written = this.#written
      await written
    } while (written !== this.#written)
    if (!this.#socket.destroyed) this.#socket.write(formatCopy(script, run, body))
  }

  #breakOffBy (fault: AnswerFault, run: RawRun): void {
    if (fault === AnswerFault.Crash) this.#upstream.crash()
    if (fault !== AnswerFault.Cut && fault !== AnswerFault.Reset) return
    run.isBrokenOff = true
    this.#endRun(false)
    if (fault === AnswerFault.Cut) this.#socket.destroy()
    else this.#socket.resetAndDestroy()
  }

  #endRun (isAbandoned: boolean): void {
    if (this.#run?.endedAt !== Number.POSITIVE_INFINITY) return
    this.#run.endedAt = performance.now()
    this.#run.isAbandoned = isAbandoned && !this.#run.isBrokenOff
  }

  #writeShort (status: number, headers: string, attempt: string): void {
    this.#socket.write(`HTTP/1.1 ${status} S\r\nAttempt-Id: ${attempt}\r\n${headers}\r\nContent-Length: 0\r\n\r\n`)
  }
}

function formatAnswer ({ status, framing }: AnswerScript, { attempt, signature }: RawRun, body: Buffer): Buffer {
  const ending = { [Framing.Length]: `Content-Length: ${body.length}`, [Framing.Chunks]: 'Transfer-Encoding: chunked', [Framing.Connection]: 'Connection: close' }[framing]
  const identifier = attempt === '' ? '' : `Attempt-Id: ${attempt}\r\n`
  const head = `HTTP/1.1 ${status} S\r\n${identifier}Response-Signature: ${signature}\r\nServer-Load: 1,0,${SLOTS}\r\n${ending}\r\n\r\n`
  if (framing !== Framing.Chunks) return Buffer.concat([Buffer.from(head), body])
  const middle = Math.ceil(body.length / 2)
  const chunks = [body.subarray(0, middle), body.subarray(middle)].filter(({ length }) => length > 0).flatMap((chunk) => [Buffer.from(`${chunk.length.toString(16)}\r\n`), chunk, Buffer.from('\r\n')])
  return Buffer.concat([Buffer.from(head), ...chunks, Buffer.from('0\r\n\r\n')])
}

function formatCopy (script: AnswerScript, run: RawRun, body: Buffer): Buffer {
  switch (script.fault) {
    case AnswerFault.CopyWithoutAttempt: return formatAnswer(script, { ...run, attempt: '' }, body)
    case AnswerFault.CopyOtherStatus: return formatAnswer({ ...script, status: script.status === 200 ? 503 : 200 }, run, body)
    case AnswerFault.Garbage: return Buffer.from('no answer in any protocol\r\n\r\n')
    default: return formatAnswer(script, run, body)
  }
}

/** @returns body of an answer; it names the attempt */
function createBody (attempt: string, upstream: string, bytes: number): Buffer {
  const head = Buffer.from(`${attempt} ${upstream} ${bytes}\n`)
  return Buffer.concat([head, Buffer.alloc(Math.max(0, bytes - head.length), `${attempt} `)])
}

function sign (body: Buffer): string {
  return createHash('sha1').update(body).digest('hex')
}
