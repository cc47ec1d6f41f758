import assert from 'node:assert/strict'
import { createServer, type IncomingMessage } from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import { once } from 'node:events'
import { test, type TestContext } from 'node:test'
import { readBody } from '../../src/transport/readBody.js'

const MAXIMUM_BYTES = 8

/** Sends raw bytes to a server, optionally closes the connection, and returns the body that the server reads. */
async function sendAndReadBody (context: TestContext, bytes: string, isAborted: boolean): Promise<string | undefined> {
  const server = createServer()
  context.after(() => { server.closeAllConnections(); server.close() })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const requestEvent = once(server, 'request') as Promise<[IncomingMessage]>
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  socket.on('error', () => {})
  socket.write(bytes)
  const [message] = await requestEvent
  const bodyPromise = readBody(message, MAXIMUM_BYTES)
  if (isAborted) socket.destroy()
  const body = await bodyPromise
  return body?.toString()
}

const BODIES: Array<{ name: string, bytes: string, body: string | undefined }> = [
  { name: 'no body', bytes: 'GET / HTTP/1.1\r\nhost: a\r\n\r\n', body: '' },
  { name: 'a body as long as the limit', bytes: 'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 8\r\n\r\n12345678', body: '12345678' },
  { name: 'a body in chunks', bytes: 'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\n123\r\n2\r\n45\r\n0\r\n\r\n', body: '12345' },
  { name: 'no body whose announced length is too large', bytes: 'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n123456789', body: undefined },
  { name: 'no chunked body that grows too large', bytes: 'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n5\r\n12345\r\n5\r\n67890\r\n0\r\n\r\n', body: undefined }
]

for (const { name, bytes, body } of BODIES) {
  test(`reads ${name}`, async (context) => {
    assert.equal(await sendAndReadBody(context, bytes, false), body)
  })
}

test('fails when the connection breaks before the end of the body', async (context) => {
  await assert.rejects(sendAndReadBody(context, 'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 8\r\n\r\n1234', true))
})
