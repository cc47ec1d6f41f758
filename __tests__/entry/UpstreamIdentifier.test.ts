import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { upstreamProtocol } from '../../platform/wire/upstreamProtocol.js'
import { UpstreamConnections } from '../../src/entry/UpstreamConnections.js'
import { UpstreamIdentifier } from '../../src/entry/UpstreamIdentifier.js'
import { createPlan } from '../plan/createPlan.js'
import { createUpstreamRecord } from '../registry/createUpstreamRecord.js'
import { openRawServer, type RawServer } from '../support/openRawServer.js'

const [SERVICE] = createPlan(1).services

/** Asks an upstream that writes the given answers to requests in turn, the last one again. */
async function identify (context: TestContext, answers: string[]): Promise<{ identifier: string | undefined, server: RawServer }> {
  let requests = 0
  const server = await openRawServer((socket) => { socket.write(answers[Math.min(requests++, answers.length - 1)]!) })
  const connections = new UpstreamConnections()
  context.after(async () => {
    await connections.destroy()
    await server.close()
  })
  const identifier = new UpstreamIdentifier({ known: { service: () => SERVICE }, connections, protocol: upstreamProtocol })
  return { identifier: await identifier.identify(createUpstreamRecord({ address: server.address })), server }
}

for (const { name, head } of [
  { name: 'is ready', head: '200 OK\r\ncontent-length: 0' },
  { name: 'is not ready', head: '503 Not Ready\r\ncontent-length: 0' },
  { name: 'ends its answer with the connection', head: '200 OK\r\nconnection: close' }
]) {
  test(`an upstream that ${name} is identified by the answer to one health request`, async (context) => {
    const { identifier, server } = await identify(context, [`HTTP/1.1 ${head}\r\nInstance-Id: i-7\r\n\r\n`])
    assert.equal(identifier, 'i-7')
    assert.equal(server.received.length, 1)
    assert.match(String(server.received[0]), /^GET \/health HTTP\/1.1\r\n/)
  })
}

// Guards against answers that count as lost because the health request was refused for load.
test('an upstream that sheds a health request without naming itself is asked again', async (context) => {
  const { identifier } = await identify(context, ['HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\ncontent-length: 0\r\n\r\n', 'HTTP/1.1 200 OK\r\nInstance-Id: i-7\r\ncontent-length: 0\r\n\r\n'])
  assert.equal(identifier, 'i-7')
})

test('an upstream that never names itself is not identified', async (context) => {
  const { identifier } = await identify(context, ['HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'])
  assert.equal(identifier, undefined)
})
