import assert from 'node:assert/strict'
import { createServer, type ServerResponse } from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import { PassThrough } from 'node:stream'
import { test } from 'node:test'
import { Counters } from '../../src/observe/Counters.js'
import { UNFRAMABLE_COUNTER } from '../../src/observe/declareCounters.js'
import { deliverAnswer } from '../../src/relay/deliverAnswer.js'
import type { RelayAnswer } from '../../src/relay/RelayAnswer.js'
import { replaceUnframableAnswer } from '../../src/relay/replaceUnframableAnswer.js'
import { Outcome } from '../../src/types/Outcome.js'
import { silentLog } from '../support/createAnnouncement.js'

interface Delivery {
  overrides: Partial<RelayAnswer>
  /** Version of HTTP in the guest's request. */
  version?: string
  /** Called when the answer is on its way. */
  onDelivery?: (response: ServerResponse) => void
  counters?: Counters
}

/** @returns all that a guest receives in a short time, in lower case */
async function receiveAnswer ({ overrides, version = '1.1', onDelivery = () => {}, counters = new Counters() }: Delivery): Promise<string> {
  const answer: RelayAnswer = { outcome: Outcome.Ran, reason: undefined, status: 200, headers: [], body: Buffer.from('abcde'), pool: undefined, ...overrides }
  const server = createServer((request, response) => {
    deliverAnswer(replaceUnframableAnswer(answer, request, 'r', { counters, log: silentLog }), response).catch(() => { response.destroy() })
    setTimeout(() => { onDelivery(response) }, 30)
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  socket.on('error', () => {})
  socket.write(`GET / HTTP/${version}\r\nHost: a\r\n\r\n`)
  let text = ''
  socket.on('data', (chunk) => { text += chunk.toString() })
  await new Promise((resolve) => { setTimeout(resolve, 100) })
  const isClosed = socket.readableEnded || socket.destroyed
  socket.destroy()
  server.closeAllConnections()
  server.close()
  return `${text.toLowerCase()}${isClosed ? '(closed)' : '(open)'}`
}

function createStream (): PassThrough {
  const stream = new PassThrough()
  stream.on('error', () => {})
  stream.write('abcde')
  return stream
}

// Guards against parts of an answer that look whole because the end of the connection is their only end.
test('an answer that is passed on while it arrives is delimited by its last chunk, not by the end of the connection', async () => {
  const body = createStream()
  const text = await receiveAnswer({ overrides: { body }, onDelivery: () => { body.end() } })
  assert.match(text, /transfer-encoding: chunked/)
  assert.match(text, /\r\nabcde\r\n0\r\n\r\n\(open\)$/)
})

const CUTS: Array<{ name: string, cut: (body: PassThrough, response: ServerResponse) => void }> = [
  { name: 'whose upstream breaks off', cut: (body) => { body.destroy(new Error('broken')) } },
  { name: 'whose response is destroyed', cut: (_body, response) => { response.destroy() } },
  { name: 'whose connection is closed', cut: (_body, response) => { response.socket?.destroy() } }
]

for (const { name, cut } of CUTS) {
  test(`an answer ${name} is visibly cut`, async () => {
    for (const headers of [[], [{ name: 'content-length', value: '10' }]]) {
      const body = createStream()
      const text = await receiveAnswer({ overrides: { body, headers }, onDelivery: (response) => { cut(body, response) } })
      assert.match(text, headers.length === 0 ? /transfer-encoding: chunked\r\n[^]*\r\nabcde\r\n\(closed\)$/ : /content-length: 10\r\n[^]*\r\nabcde\(closed\)$/)
    }
  })
}

test('an answer that is passed on while it arrives keeps the length that its upstream stated, also for a guest of HTTP/1.0', async () => {
  for (const version of ['1.0', '1.1']) {
    const body = createStream()
    const text = await receiveAnswer({ overrides: { body, headers: [{ name: 'content-length', value: '5' }] }, version, onDelivery: () => { body.end() } })
    assert.match(text, /content-length: 5\r\n/)
    assert.doesNotMatch(text, /transfer-encoding/)
    assert.match(text, version === '1.0' ? /abcde\(closed\)$/ : /abcde\(open\)$/)
  }
})

test('a length beside chunks is not passed on', async () => {
  const body = createStream()
  const text = await receiveAnswer({ overrides: { body, headers: [{ name: 'transfer-encoding', value: 'chunked' }, { name: 'content-length', value: '9' }] }, onDelivery: () => { body.end() } })
  assert.doesNotMatch(text, /content-length/)
  assert.match(text, /\r\nabcde\r\n0\r\n\r\n\(open\)$/)
})

// Guards against a part of an answer that looks whole to a guest that cannot read chunks.
test('a guest of HTTP/1.0 gets an answer of the host in place of one that nothing could delimit', async () => {
  const body = createStream()
  const counters = new Counters()
  const text = await receiveAnswer({ overrides: { body }, version: '1.0', counters })
  assert.match(text, /^http\/1.1 502 /)
  assert.match(text, /content-length: \d+\r\n/)
  assert.match(text, /"outcome":"unknown"/)
  assert.doesNotMatch(text, /abcde/)
  assert.equal(body.destroyed, true)
  assert.equal(counters.read(UNFRAMABLE_COUNTER), 1)
})

// Guards against a length that claims more than is known: an upstream may break off such an answer and live on.
test('an answer delimited by the end of its connection reaches the guest without a length, delimited the same way', async () => {
  for (const version of ['1.0', '1.1']) {
    const text = await receiveAnswer({ overrides: { endsWithConnection: true }, version })
    assert.doesNotMatch(text, /content-length|transfer-encoding/)
    assert.match(text, /connection: close/)
    assert.match(text, /abcde\(closed\)$/)
  }
})

// Guards against a part that looks whole when the host is killed between two writes.
test('the largest answer that is delimited by the end of its connection leaves the process in one write', async () => {
  const body = Buffer.alloc(32_768, 'p')
  let unwrittenBytes: number | undefined
  const server = createServer((_request, response) => {
    const { socket } = response
    deliverAnswer({ outcome: Outcome.Ran, reason: undefined, status: 200, headers: [], body, endsWithConnection: true, pool: undefined }, response).catch(() => { response.destroy() })
    unwrittenBytes = socket!.writableLength
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  socket.pause()
  socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n')
  await new Promise((resolve) => { setTimeout(resolve, 100) })
  socket.destroy()
  server.closeAllConnections()
  server.close()
  assert.equal(unwrittenBytes, 0)
})

test('an answer of known length keeps its length, and the connection stays open', async () => {
  const text = await receiveAnswer({ overrides: {} })
  assert.match(text, /content-length: 5/)
  assert.match(text, /abcde\(open\)$/)
})
