import assert from 'node:assert/strict'
import type { Socket } from 'node:net'
import { test } from 'node:test'
import type { Readable } from 'node:stream'
import { openPool } from '../../src/relay/openPool.js'
import { exchange, type ExchangeAnswer } from '../../src/relay/exchange.js'
import { openRawServer } from '../support/openRawServer.js'

const BODY = 'abcdefghij'
const HEADERS = 'Attempt-Id: a-1\r\nResponse-Signature: made-here\r\n'
const WHOLE_ANSWER = `HTTP/1.1 200 OK\r\n${HEADERS}Content-Length: ${BODY.length}\r\n\r\n${BODY}`
const BUFFER_BYTES = 1_024
/** Smaller than the body, so that the answer is passed on as a stream. */
const STREAMING_BUFFER_BYTES = 4

const FRAMINGS = [
  { name: 'with a length', answer: WHOLE_ANSWER },
  { name: 'with a length, closing', answer: `HTTP/1.1 200 OK\r\n${HEADERS}Connection: close\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}` },
  { name: 'in chunks', answer: `HTTP/1.1 200 OK\r\n${HEADERS}Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n5\r\nfghij\r\n0\r\n\r\n` },
  { name: 'in chunks, closing', answer: `HTTP/1.1 200 OK\r\n${HEADERS}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n5\r\nfghij\r\n0\r\n\r\n` },
  { name: 'up to the end of the connection', answer: `HTTP/1.1 200 OK\r\n${HEADERS}Connection: close\r\n\r\n${BODY}` },
  { name: 'in a transfer coding without chunks', answer: `HTTP/1.1 200 OK\r\n${HEADERS}Connection: close\r\nTransfer-Encoding: identity\r\n\r\n${BODY}` },
  { name: 'of HTTP/1.0', answer: `HTTP/1.0 200 OK\r\n${HEADERS}\r\n${BODY}` }
]
const ENDINGS: Array<{ name: string, end: (socket: Socket) => void }> = [
  { name: 'closed', end: (socket) => { socket.end() } },
  { name: 'reset', end: (socket) => { setTimeout(() => { socket.resetAndDestroy() }, 5) } }
]

for (const { name, answer } of FRAMINGS) {
  for (const { name: ending, end } of ENDINGS) {
    for (const answerBufferBytes of [BUFFER_BYTES, STREAMING_BUFFER_BYTES]) {
      test(`an answer ${name} that is ${ending} at any byte never looks whole (buffer of ${answerBufferBytes} bytes)`, async () => {
        for (const isKept of [false, true]) {
          const results = await Promise.all(Array.from({ length: answer.length }, (_, bytes) => exchangeCut(answer.slice(0, bytes), end, isKept, answerBufferBytes)))
          results.forEach((result, bytes) => { assert.equal(result, undefined, `cut after ${bytes} bytes${isKept ? ' on a kept connection' : ''}`) })
        }
      })
    }
  }
}

for (const { name, answer } of FRAMINGS) {
  for (const answerBufferBytes of [BUFFER_BYTES, STREAMING_BUFFER_BYTES]) {
    test(`a whole answer ${name} is taken for whole if it is delimited or fits into the buffer (of ${answerBufferBytes} bytes)`, async () => {
      const isDelimited = /content-length|chunked/i.test(answer)
      const expected = isDelimited || answerBufferBytes === BUFFER_BYTES ? BODY : undefined
      assert.equal(await exchangeCut(answer, (socket) => { socket.end() }, false, answerBufferBytes, async () => true), expected)
    })
  }
}

/** @returns the body that looks whole, undefined when the answer is recognized as cut */
async function exchangeCut (bytes: string, end: (socket: Socket) => void, isKept: boolean, answerBufferBytes: number, confirmEnd?: () => Promise<boolean>): Promise<string | undefined> {
  const server = await openRawServer((socket, _head, number) => {
    if (isKept && number === 1) socket.write(WHOLE_ANSWER)
    else socket.write(bytes, () => { end(socket) })
  })
  const pool = openPool(server.address, { connections: 1, connectTimeoutMilliseconds: 2_000, idleTimeoutMilliseconds: 4_000 })
  const send = async (): Promise<ExchangeAnswer> => await exchange(pool, { peer: server.address, method: 'GET', path: '/', headers: [], body: Buffer.alloc(0), deadline: performance.now() + 5_000, cancelled: new AbortController().signal, answerBufferBytes, closeConnection: false, mayWrite: () => true, confirmEnd })
  try {
    if (isKept) await readWhole(await send())
    return await readWhole(await send())
  } catch {
    // Any error marks the answer as cut.
    return undefined
  } finally {
    await pool.destroy()
    await server.close()
  }
}

async function readWhole ({ body }: ExchangeAnswer): Promise<string> {
  return Buffer.isBuffer(body) ? body.toString() : Buffer.concat(await (body as Readable).toArray()).toString()
}
