import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { openPool } from '../../src/relay/openPool.js'
import { openRawServer } from '../support/openRawServer.js'

const BODY_BYTES = 40_000

for (const ending of ['', 'Transfer-Encoding: chunked\r\nConnection: close\r\n']) {
  // Guards against a host that ends because an upstream ends its connection while a guest does not read its answer on.
  test(`the end of a connection waits for an answer that is not read on (${ending === '' ? 'without a length' : 'in chunks, cut'})`, async (context) => {
    const server = await openRawServer((socket) => { socket.end(`HTTP/1.1 200 OK\r\n${ending}\r\n${ending === '' ? '' : 'fffff\r\n'}${'x'.repeat(BODY_BYTES)}`) })
    const pool = openPool(server.address, { connections: 1, connectTimeoutMilliseconds: 1_000 })
    context.after(async () => { await pool.destroy(); await server.close() })
    const ended = new Promise<{ bytes: number, error: Error | undefined }>((resolve) => {
      let bytes = 0
      pool.dispatch({ path: '/', method: 'GET' }, {
        onRequestStart: () => {},
        onResponseStart: () => {},
        onResponseData: (controller, chunk) => {
          bytes += chunk.length
          if (chunk.length === 0) return
          controller.pause()
          sleep(50).then(() => { controller.resume() }, () => {})
        },
        onResponseEnd: () => { resolve({ bytes, error: undefined }) },
        onResponseError: (_, error) => { resolve({ bytes, error }) }
      })
    })
    const { bytes, error } = await ended
    assert.equal(bytes, BODY_BYTES)
    assert.equal(error === undefined, ending === '')
  })
}
