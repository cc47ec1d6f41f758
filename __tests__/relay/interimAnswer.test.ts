import assert from 'node:assert/strict'
import { test } from 'node:test'
import { exchange } from '../../src/relay/exchange.js'
import { openPool } from '../../src/relay/openPool.js'
import { openRawServer } from '../support/openRawServer.js'

const INTERIM_HEADS = ['HTTP/1.1 102 Processing\r\n\r\n', 'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n']

for (const interimHead of INTERIM_HEADS) {
  // Guards against an interim head, which names no request, that is taken for a foreign answer.
  test(`an answer behind ${interimHead.slice(9, 12)} is the answer to its request`, async (context) => {
    const server = await openRawServer((socket) => { socket.write(`${interimHead}HTTP/1.1 200 OK\r\necho: r-1\r\ncontent-length: 2\r\n\r\nok`) })
    const pool = openPool(server.address, { connections: 1, connectTimeoutMilliseconds: 5_000 })
    context.after(async () => {
      await pool.destroy()
      await server.close()
    })
    const heads: number[] = []
    const { status, headers, body } = await exchange(pool, {
      peer: server.address,
      method: 'GET',
      path: '/',
      headers: [],
      body: Buffer.alloc(0),
      deadline: performance.now() + 5_000,
      cancelled: new AbortController().signal,
      answerBufferBytes: 1_024,
      closeConnection: false,
      mayWrite: () => true,
      isHeadSufficient: (head) => head.headers.every(({ value }) => value !== 'r-1'),
      onHead: (head) => { heads.push(head.status) }
    })
    assert.equal(status, 200)
    assert.equal(String(body), 'ok')
    assert.deepEqual(headers, [{ name: 'echo', value: 'r-1' }, { name: 'content-length', value: '2' }])
    assert.deepEqual(heads, [200])
  })
}
