import assert from 'node:assert/strict'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { test, type TestContext } from 'node:test'
import { isListening } from '../../src/utils/isListening.js'

const TIMEOUT_MILLISECONDS = 2_000
const MINIMUM_CONNECTION_MILLISECONDS = 100

async function startServer (context: TestContext, onConnection: (socket: Socket, server: Server) => void): Promise<string> {
  const server = createServer((socket) => { onConnection(socket, server) })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  context.after(() => { server.close() })
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

for (const { name, onConnection, expected } of [
  { name: 'keeps the connection', onConnection: () => {}, expected: true },
  { name: 'ends while it accepts the connection', onConnection: (socket: Socket) => { socket.resetAndDestroy() }, expected: false },
  { name: 'closes the connection at once', onConnection: (socket: Socket) => { socket.end() }, expected: false }
]) {
  test(`a process that ${name} ${expected ? 'listens' : 'does not listen'}`, async (context) => {
    const address = await startServer(context, onConnection)
    assert.equal(await isListening(address, TIMEOUT_MILLISECONDS, MINIMUM_CONNECTION_MILLISECONDS), expected)
  })
}

test('returns false for an address that refuses connections', async () => {
  const server = createServer()
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  await new Promise((resolve) => { server.close(resolve) })
  assert.equal(await isListening(address, TIMEOUT_MILLISECONDS, MINIMUM_CONNECTION_MILLISECONDS), false)
})
