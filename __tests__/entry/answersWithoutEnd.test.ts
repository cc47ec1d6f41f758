import assert from 'node:assert/strict'
import type { Socket } from 'node:net'
import { test } from 'node:test'
import { RequestClass } from '../../src/types/RequestClass.js'
import { headOf, openGuestScene } from './openGuestScene.js'

const TIMEOUT_MILLISECONDS = 600
/** The users' bound on an answer after the timeout of its route. */
const LATE_MILLISECONDS = 500
/** What a host may take of an answer that no guest gets: what fits the buffers of two connections, and some more. */
const MOST_THROWN_AWAY_BYTES = 8 * 1024 * 1024
const ID = 'attempt-id: attempt-1\r\n'
const PART = 'x'.repeat(16_384)

interface Endless {
  name: string
  /** First bytes of the answer. */
  start: string
  /** Bytes that come again and again. */
  part: string
  /** Whether its bytes are for the guest, as far as the host can tell. */
  isDelivered: boolean
}

const cases: Endless[] = [
  { name: 'a status line', start: 'HTTP/1.1 200 ', part: PART, isDelivered: false },
  { name: 'header fields', start: 'HTTP/1.1 200 OK\r\n', part: `x-more: ${PART}\r\n`, isDelivered: false },
  { name: 'one header field', start: 'HTTP/1.1 200 OK\r\nx-more: ', part: PART, isDelivered: false },
  { name: 'interim answers', start: '', part: 'HTTP/1.1 100 Continue\r\n\r\n'.repeat(500), isDelivered: false },
  { name: 'early hints', start: '', part: 'HTTP/1.1 103 Early Hints\r\nlink: <x>\r\n\r\n'.repeat(500), isDelivered: false },
  { name: 'bytes that are no HTTP', start: '', part: PART, isDelivered: false },
  { name: 'the body of a refusal', start: `HTTP/1.1 503 Full\r\n${ID}not-executed: 1\r\n\r\n`, part: PART, isDelivered: false },
  { name: 'the body of another request', start: 'HTTP/1.1 200 OK\r\nattempt-id: other\r\nresponse-signature: s\r\n\r\n', part: PART, isDelivered: false },
  { name: 'chunks of another request', start: 'HTTP/1.1 200 OK\r\nattempt-id: other\r\ntransfer-encoding: chunked\r\n\r\n', part: `4000\r\n${PART}\r\n`, isDelivered: false },
  { name: 'the extension of a chunk', start: `HTTP/1.1 200 OK\r\n${ID}response-signature: s\r\ntransfer-encoding: chunked\r\n\r\n1;`, part: PART, isDelivered: false },
  { name: 'trailers', start: `HTTP/1.1 200 OK\r\n${ID}response-signature: s\r\ntransfer-encoding: chunked\r\n\r\n0\r\n`, part: `x-more: ${PART}\r\n`, isDelivered: false },
  { name: 'a body', start: `HTTP/1.1 200 OK\r\n${ID}response-signature: s\r\n\r\n`, part: PART, isDelivered: true },
  { name: 'chunks', start: `HTTP/1.1 200 OK\r\n${ID}response-signature: s\r\ntransfer-encoding: chunked\r\n\r\n`, part: `4000\r\n${PART}\r\n`, isDelivered: true }
]

/** Writes until the other side closes, as fast as it reads. */
function writeWithoutEnd (socket: Socket, { start, part }: Endless): void {
  socket.write(start)
  const goOn = (): void => {
    while (!socket.destroyed && socket.write(part));
  }
  socket.on('drain', goOn)
  goOn()
}

for (const endless of cases) {
  test(`${endless.name} without end: the guest has its answer in time, and the upstream is cut off`, async (context) => {
    const sockets: Socket[] = []
    const { connect } = await openGuestScene(context, (socket) => {
      sockets.push(socket)
      writeWithoutEnd(socket, endless)
    }, { timeoutMilliseconds: TIMEOUT_MILLISECONDS, requestClass: RequestClass.OneTime })
    const guest = await connect()
    guest.socket.write(headOf('POST', 'connection: close\r\ncontent-length: 0\r\n'))
    const late = new Promise((resolve) => { setTimeout(resolve, TIMEOUT_MILLISECONDS + LATE_MILLISECONDS, 'no end in time').unref() })
    assert.notEqual(await Promise.race([guest.closed, late]), 'no end in time')
    await new Promise((resolve) => { setTimeout(resolve, 50) })
    assert.equal(sockets.every(({ destroyed }) => destroyed), true, 'an upstream still sends')
    if (endless.isDelivered) return assert.doesNotMatch(guest.text(), /\r\n0\r\n\r\n$/)
    assert.match(guest.text(), /^HTTP\/1.1 50[234] /)
    const taken = sockets.reduce((sum, { bytesWritten }) => sum + bytesWritten, 0)
    assert.ok(taken < MOST_THROWN_AWAY_BYTES, `${taken} bytes taken`)
  })
}
