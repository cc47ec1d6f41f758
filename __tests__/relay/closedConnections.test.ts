import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { ExchangeError, ExchangeFailure } from '../../src/errors/ExchangeError.js'
import { exchange, type ExchangeRequest } from '../../src/relay/exchange.js'
import { openPool } from '../../src/relay/openPool.js'
import { openRawServer } from '../support/openRawServer.js'

const RUN_MILLISECONDS = 120
const ANSWER = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'

function createRequest (overrides: Partial<ExchangeRequest> = {}): ExchangeRequest {
  return {
    peer: 'upstream', method: 'POST', path: '/act', headers: [], body: Buffer.from('order'), deadline: performance.now() + 5_000, cancelled: new AbortController().signal, answerBufferBytes: 1_024, closeConnection: false, mayWrite: () => true, ...overrides
  }
}

async function settle (request: Promise<{ status: number }>): Promise<string> {
  return await request.then(({ status }) => String(status), (error: unknown) => error instanceof ExchangeError ? `${error.failure}, written: ${error.written}` : String(error))
}

// Guards against an upstream that counts as unreachable because this host closed its connections while a request waited for one.
test('connections that this host closes end no request that was written, and blame nobody for one that waits', async (context) => {
  const server = await openRawServer((socket) => { setTimeout(() => { if (socket.writable) socket.write(ANSWER) }, RUN_MILLISECONDS) })
  const pool = openPool(server.address, { connections: 1, connectTimeoutMilliseconds: 5_000 })
  context.after(async () => {
    await pool.destroy()
    await server.close()
  })
  const requests = [createRequest(), createRequest(), createRequest({ headers: () => [] })].map((request) => settle(exchange(pool, request)))
  await sleep(RUN_MILLISECONDS / 3)
  pool.close().catch(() => {})
  const late = settle(exchange(pool, createRequest()))
  const notWritten = `${ExchangeFailure.Forbidden}, written: false`
  // The third one was composed too long ago when its turn comes, and is given to the connections once more.
  assert.deepEqual(await Promise.all([...requests, late]), ['200', '200', notWritten, notWritten])
  assert.equal(server.received.length, 2)
})
