import assert from 'node:assert/strict'
import { test } from 'node:test'
import { buildConnector, Pool } from 'undici'
import { ExchangeError, ExchangeFailure } from '../../src/errors/ExchangeError.js'
import { exchange, type ExchangeAnswer, type ExchangeRequest } from '../../src/relay/exchange.js'
import { failOnConnectionReset } from '../../src/relay/failOnConnectionReset.js'
import { openRawServer } from '../support/openRawServer.js'

const BODY = 'x'.repeat(100)
const COMPLETE_ANSWER = `HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n${BODY}`

function createRequest (overrides: Partial<ExchangeRequest> = {}): ExchangeRequest {
  return {
    peer: 'upstream',
    method: 'POST',
    path: '/act',
    headers: [],
    body: Buffer.from('order'),
    deadline: performance.now() + 300,
    cancelled: new AbortController().signal,
    answerBufferBytes: 1024,
    closeConnection: false,
    mayWrite: () => true,
    ...overrides
  }
}

async function exchangeWithServer (respond: Parameters<typeof openRawServer>[0], overrides: Partial<ExchangeRequest> = {}): Promise<{ result: ExchangeAnswer | ExchangeError, received: number }> {
  const server = await openRawServer(respond)
  const pool = new Pool(`http://${server.address}`, { connections: 1, pipelining: 1 })
  const result = await exchange(pool, createRequest(overrides)).catch((error: ExchangeError) => error)
  await pool.destroy()
  await server.close()
  return { result, received: server.received.length }
}

const BROKEN_ANSWERS = [
  { name: 'the connection closes on reading the request', bytes: '', end: true, failure: ExchangeFailure.Broken },
  { name: 'the status line breaks off', bytes: 'HTTP/1.1 20', end: true, failure: ExchangeFailure.Broken },
  { name: 'the headers break off', bytes: 'HTTP/1.1 200 OK\r\ncontent-le', end: true, failure: ExchangeFailure.Broken },
  { name: 'the body is shorter than its stated length', bytes: COMPLETE_ANSWER.slice(0, -1), end: true, failure: ExchangeFailure.Broken },
  { name: 'the last chunk is missing', bytes: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nabcde\r\n', end: true, failure: ExchangeFailure.Broken },
  { name: 'the answer is not HTTP', bytes: 'hello\r\n\r\n', end: false, failure: ExchangeFailure.Broken },
  { name: 'two length headers contradict each other', bytes: 'HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 5\r\n\r\nabcde', end: true, failure: ExchangeFailure.Broken },
  { name: 'no answer arrives in time', bytes: '', end: false, failure: ExchangeFailure.TimedOut },
  { name: 'the body stalls', bytes: COMPLETE_ANSWER.slice(0, -1), end: false, failure: ExchangeFailure.TimedOut }
]

for (const { name, bytes, end, failure } of BROKEN_ANSWERS) {
  test(`when ${name}, the exchange fails as written and the request is sent once`, async () => {
    const { result, received } = await exchangeWithServer((socket) => {
      if (end) socket.end(bytes)
      else socket.write(bytes)
    })
    assert.ok(result instanceof ExchangeError)
    assert.equal(result.failure, failure)
    assert.equal(result.written, true)
    assert.equal(received, 1)
  })
}

test('a complete answer is returned completely', async () => {
  const { result } = await exchangeWithServer((socket) => { socket.write(COMPLETE_ANSWER) })
  assert.ok(!(result instanceof ExchangeError))
  assert.equal(String(result.body), BODY)
})

test('a request that may not be written is not sent', async () => {
  const { result, received } = await exchangeWithServer((socket) => { socket.write(COMPLETE_ANSWER) }, { mayWrite: () => false })
  assert.ok(result instanceof ExchangeError)
  assert.equal(result.failure, ExchangeFailure.Forbidden)
  assert.equal(result.written, false)
  assert.equal(received, 0)
})

test('a refused connection counts as not written', async () => {
  const pool = new Pool('http://127.0.0.1:1', { connections: 1 })
  await assert.rejects(exchange(pool, createRequest()), { failure: ExchangeFailure.Unreachable, written: false })
  await pool.destroy()
})

test('a request cancelled before it starts is not sent, and one cancelled later closes the connection', async () => {
  const before = await exchangeWithServer((socket) => { socket.write(COMPLETE_ANSWER) }, { cancelled: AbortSignal.abort() })
  assert.ok(before.result instanceof ExchangeError && !before.result.written)
  assert.equal(before.received, 0)
  const controller = new AbortController()
  let closed = false
  const later = await exchangeWithServer((socket) => {
    socket.once('close', () => { closed = true })
    controller.abort()
  }, { cancelled: controller.signal })
  assert.ok(later.result instanceof ExchangeError)
  assert.equal(later.result.failure, ExchangeFailure.Cancelled)
  assert.equal(later.result.written, true)
  await new Promise((resolve) => setTimeout(resolve, 20))
  assert.equal(closed, true)
})

test('a request on a reused connection that the remote side closes is not sent again', async () => {
  const server = await openRawServer((socket, _head, count) => {
    if (count === 1) socket.write(COMPLETE_ANSWER)
    else socket.destroy()
  })
  const pool = new Pool(`http://${server.address}`, { connections: 1, pipelining: 1 })
  await exchange(pool, createRequest())
  await assert.rejects(exchange(pool, createRequest()), { written: true })
  assert.equal(server.received.length, 2)
  await pool.destroy()
  await server.close()
})

test('a large answer is streamed, and the stream fails when the connection breaks', async () => {
  const { result } = await exchangeWithServer((socket) => {
    socket.write(`HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\n${'y'.repeat(50_000)}`)
    setTimeout(() => { socket.destroy() }, 30)
  })
  assert.ok(!(result instanceof ExchangeError) && !Buffer.isBuffer(result.body))
  await assert.rejects(async () => { for await (const chunk of result.body) assert.ok(chunk) })
})

for (const framing of ['connection: close', 'connection: close\r\ntransfer-encoding: chunked']) {
  test(`an answer with ${framing.replace('\r\n', ' and ')} that is reset before its end is not taken for a complete one`, async () => {
    const server = await openRawServer((socket) => {
      socket.write(`HTTP/1.1 200 OK\r\n${framing}\r\n\r\n5\r\nabcde\r\n`, () => { setTimeout(() => { socket.resetAndDestroy() }, 30) })
    })
    const pool = new Pool(`http://${server.address}`, { connections: 1, pipelining: 1, connect: failOnConnectionReset(buildConnector({})) })
    const result = await exchange(pool, createRequest({ deadline: performance.now() + 2_000 })).catch((error: unknown) => error)
    await pool.destroy()
    await server.close()
    assert.ok(result instanceof ExchangeError)
    assert.equal(result.failure, ExchangeFailure.Broken)
    assert.equal(result.written, true)
  })
}

test('a head that tells the time left is composed again when the connection was not free at once, and the request is sent once', async () => {
  const runMilliseconds = 200
  const server = await openRawServer((socket) => { setTimeout(() => { socket.write(COMPLETE_ANSWER) }, runMilliseconds) })
  const pool = new Pool(`http://${server.address}`, { connections: 1, pipelining: 1 })
  const deadline = performance.now() + 2_000
  const request = createRequest({ deadline, headers: () => [{ name: 'left', value: String(deadline - performance.now()) }] })
  const answers = await Promise.all([exchange(pool, request), exchange(pool, request)])
  await pool.destroy()
  await server.close()
  assert.deepEqual(answers.map(({ status }) => status), [200, 200])
  const timesLeft = server.received.map((text) => Number(/left: (\S+)/.exec(text)?.[1]))
  assert.equal(timesLeft.length, 2)
  assert.ok(timesLeft[1]! < timesLeft[0]! - runMilliseconds / 2, `${timesLeft.join(' and then ')} ms left`)
})

test('a request whose connection is never free ends at its deadline, and is not written', async () => {
  const server = await openRawServer(() => {})
  const pool = new Pool(`http://${server.address}`, { connections: 1, pipelining: 1 })
  const deadline = performance.now() + 300
  const results = await Promise.all([0, 1].map(() => exchange(pool, createRequest({ deadline, headers: () => [] })).catch((error: ExchangeError) => error)))
  await pool.destroy()
  await server.close()
  assert.deepEqual(results.map((result) => result instanceof ExchangeError ? [result.failure, result.written] : []), [[ExchangeFailure.TimedOut, true], [ExchangeFailure.TimedOut, false]])
})
