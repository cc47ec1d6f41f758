import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import { test } from 'node:test'
import { deliverAnswer } from '../../src/relay/deliverBody.js'
import type { RelayAnswer } from '../../src/relay/RelayAnswer.js'
import { Outcome } from '../../src/types/Outcome.js'

async function receiveAnswer (overrides: Partial<RelayAnswer>): Promise<string> {
  const answer: RelayAnswer = { outcome: Outcome.Ran, reason: undefined, status: 200, headers: [], body: Buffer.from('abcde'), pool: undefined, ...overrides }
  const server = createServer((_request, response) => { deliverAnswer(answer, response).catch(() => { response.destroy() }) })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n')
  let text = ''
  socket.on('data', (chunk) => { text += chunk.toString() })
  await new Promise((resolve) => { setTimeout(resolve, 100) })
  const isClosed = socket.readableEnded
  socket.destroy()
  server.closeAllConnections()
  server.close()
  return `${text.toLowerCase()}${isClosed ? '(closed)' : '(open)'}`
}

test('an answer delimited by the end of its connection reaches the guest without a length, delimited the same way', async () => {
  const text = await receiveAnswer({ endsWithConnection: true })
  assert.doesNotMatch(text, /content-length|transfer-encoding/)
  assert.match(text, /connection: close/)
  assert.match(text, /abcde\(closed\)$/)
})

test('an answer of known length keeps its length, and the connection stays open', async () => {
  const text = await receiveAnswer({})
  assert.match(text, /content-length: 5/)
  assert.match(text, /abcde\(open\)$/)
})
