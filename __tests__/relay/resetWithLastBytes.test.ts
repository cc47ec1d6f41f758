import assert from 'node:assert/strict'
import { test } from 'node:test'
import { openPool } from '../../src/relay/openPool.js'
import { openRawServer } from '../support/openRawServer.js'

// Guards against an answer without a length that looks whole though its upstream reset the connection within it.
test('a reset that arrives together with the last bytes of an answer without a length is no end', async (context) => {
  const server = await openRawServer((socket) => {
    socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\na part of the bo')
    socket.resetAndDestroy()
  })
  const pool = openPool(server.address, { connections: 1, connectTimeoutMilliseconds: 1_000 })
  context.after(async () => { await pool.destroy(); await server.close() })
  await assert.rejects(new Promise((resolve, reject) => {
    pool.dispatch({ path: '/', method: 'GET' }, {
      onRequestStart: () => {},
      onResponseStart: () => {},
      onResponseData: () => {},
      onResponseEnd: resolve,
      onResponseError: (_, error) => { reject(error) }
    })
  }))
})
