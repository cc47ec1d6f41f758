import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { openRawServer } from '../../support/openRawServer.js'
import { createRecord } from '../SoakRecord.js'
import { GuestConnection } from './GuestConnection.js'
import { AnswerEnd, type RawExchange } from './RawRecord.js'

const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
const HEAD = 'HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\n'

// Guards against a soak that is blind to what it is to see.
for (const [name, bytes, end, body, stray] of [
  ['a body with its length', `${HEAD}Content-Length: 4\r\n\r\nbody`, AnswerEnd.Whole, 'body', ''],
  ['a body in chunks', `${HEAD}Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n`, AnswerEnd.Whole, 'body', ''],
  ['a body that ends with the connection', `${HEAD}\r\nbody`, AnswerEnd.Whole, 'body', ''],
  ['a body that ends early', `${HEAD}Content-Length: 5\r\n\r\nbody`, AnswerEnd.Cut, 'body', ''],
  ['chunks without the last one', `${HEAD}Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n`, AnswerEnd.Cut, 'body', ''],
  ['bytes behind an answer', `${HEAD}Content-Length: 4\r\n\r\nbody${HEAD}`, AnswerEnd.Whole, 'body', HEAD],
  ['no answer', '', AnswerEnd.None, '', ''],
  ['bytes that are no answer', 'garbage\r\n\r\n', AnswerEnd.Malformed, '', '']
] as const) {
  test(`a raw guest records ${name} as such`, async (context) => {
    const server = await openRawServer((socket) => { socket.end(bytes) })
    context.after(server.close)
    const record = createRecord()
    const connection = new GuestConnection(server.address, 0, record)
    assert.ok(await connection.open())
    const exchange = { attempt: 'r-1', sentAt: 0 } as RawExchange
    await connection.send(exchange, [{ pauseMilliseconds: 0, bytes: Buffer.from(REQUEST) }])
    await sleep(20)
    assert.deepEqual([exchange.end, exchange.beginning, record.strayBytes.map(({ text }) => text).join('')], [end, body, stray])
  })
}
