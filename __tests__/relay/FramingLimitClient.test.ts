import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ExchangeError, ExchangeFailure } from '../../src/errors/ExchangeError.js'
import { exchange } from '../../src/relay/exchange.js'
import { openPool } from '../../src/relay/openPool.js'

test('a refused connection fails the request, not the process', async (context) => {
  const address = '127.0.0.1:1'
  const pool = openPool(address, { connections: 1, connectTimeoutMilliseconds: 500 })
  context.after(async () => { await pool.destroy() })
  const answer = exchange(pool, {
    peer: address, method: 'GET', path: '/', headers: [], body: Buffer.alloc(0), deadline: performance.now() + 1_000, cancelled: new AbortController().signal, answerBufferBytes: 1_024, closeConnection: false, mayWrite: () => true
  })
  await assert.rejects(answer, (error) => error instanceof ExchangeError && error.failure === ExchangeFailure.Unreachable && !error.written)
})
