import assert from 'node:assert/strict'
import { test } from 'node:test'
import { errorTexts } from '../../src/errors/errorTexts.js'
import type { LogFields } from '../../src/observe/Log.js'
import { RefusalReason } from '../../src/types/RefusalReason.js'
import { RequestClass } from '../../src/types/RequestClass.js'
import { openRawServer } from '../support/openRawServer.js'
import { createEntryRequest } from './createEntryRequest.js'
import { createRelayFixture } from './createRelayFixture.js'

const ONE_TIME = { requestClass: RequestClass.OneTime }

// Guards against log lines that do not tell a request that met another answer from one whose answer was lost.
for (const [name, bytes, cause] of [
  ['that belongs to another request', 'HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nResponse-Signature: s\r\nContent-Length: 0\r\n\r\n', errorTexts.foreignAnswer()],
  ['that breaks off', 'HTTP/1.1 200 OK\r\n', 'SocketError: other side closed']
] as const) {
  test(`the log line of a request tells that it met an answer ${name}`, async (context) => {
    const server = await openRawServer((socket) => { socket.end(bytes) })
    const lines: LogFields[] = []
    const log = { info: () => {}, warn: (_event: string, fields: LogFields) => { lines.push(fields) }, error: () => {} }
    const { relay, connections } = createRelayFixture([server.address], ONE_TIME, { log })
    context.after(async () => {
      await connections.destroy()
      await server.close()
    })
    await relay.serve(createEntryRequest(ONE_TIME, { headers: [{ name: 'attempt-id', value: 'a-1' }] }))
    assert.deepEqual(lines.map((line) => [line['reason'], line['cause']]), [[RefusalReason.AnswerLost, cause]])
  })
}
