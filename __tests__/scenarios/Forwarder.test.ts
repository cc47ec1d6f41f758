import assert from 'node:assert/strict'
import { createServer, connect, type AddressInfo, type Socket } from 'node:net'
import { test, type TestContext } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { waitUntil } from '../standins/waitUntil.js'
import { FlowDirection } from './FlowDirection.js'
import { Forwarder } from './Forwarder.js'
import { reserveNetwork } from './reserveNetwork.js'

const CUT_MILLISECONDS = 150

/** Connects to an echo server through a forwarder. */
async function connectThroughForwarder (context: TestContext): Promise<{ forwarder: Forwarder, socket: Socket, received: () => string, served: () => string }> {
  const network = await reserveNetwork()
  let servedText = ''
  const server = createServer((socket) => {
    socket.on('data', (chunk) => { servedText += String(chunk) })
    socket.pipe(socket)
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const forwarder = new Forwarder(`127.${network.number}.250.1:20000`, `127.0.0.1:${(server.address() as AddressInfo).port}`)
  await forwarder.open()
  const socket = connectTo(forwarder)
  let receivedText = ''
  socket.on('data', (chunk) => { receivedText += String(chunk) })
  context.after(() => {
    socket.destroy()
    forwarder.close()
    server.close()
    network.release()
  })
  return { forwarder, socket, received: () => receivedText, served: () => servedText }
}

function connectTo (forwarder: Forwarder): Socket {
  const [ip, port] = forwarder.address.split(':')
  return connect(Number(port), ip).on('error', () => {})
}

test('bytes that were held back during a cut arrive after it is healed', async (context) => {
  const { forwarder, socket, received } = await connectThroughForwarder(context)
  socket.write('a')
  assert.ok(await waitUntil(() => received() === 'a'))
  forwarder.cut()
  socket.write('b')
  await sleep(CUT_MILLISECONDS)
  assert.equal(received(), 'a')
  forwarder.heal()
  assert.ok(await waitUntil(() => received() === 'ab'))
})

test('a connection that was opened during a cut delivers its bytes after it is healed', async (context) => {
  const { forwarder } = await connectThroughForwarder(context)
  forwarder.cut()
  const late = connectTo(forwarder)
  context.after(() => { late.destroy() })
  let text = ''
  late.on('data', (chunk) => { text += String(chunk) })
  late.write('late')
  await sleep(CUT_MILLISECONDS)
  assert.equal(text, '')
  forwarder.heal()
  assert.ok(await waitUntil(() => text === 'late'))
})

for (const direction of Object.values(FlowDirection)) {
  test(`a cut ${direction} holds back bytes in that direction only`, async (context) => {
    const { forwarder, socket, received, served } = await connectThroughForwarder(context)
    socket.write('a')
    assert.ok(await waitUntil(() => received() === 'a'))
    forwarder.cut([direction])
    socket.write('b')
    await sleep(CUT_MILLISECONDS)
    assert.equal(served(), direction === FlowDirection.ToClient ? 'ab' : 'a')
    assert.equal(received(), 'a')
    forwarder.heal()
    assert.ok(await waitUntil(() => received() === 'ab'))
  })
}

test('a delay applies to each byte in both directions', async (context) => {
  const { forwarder, socket, received } = await connectThroughForwarder(context)
  socket.write('a')
  await waitUntil(() => received() === 'a')
  forwarder.setDelay(100)
  const sentAt = performance.now()
  socket.write('b')
  assert.ok(await waitUntil(() => received() === 'ab'))
  assert.ok(performance.now() - sentAt >= 199)
})

test('a forwarder that stopped listening refuses new connections until it is opened again', async (context) => {
  const { forwarder } = await connectThroughForwarder(context)
  forwarder.refuseConnections()
  const refused = connectTo(forwarder)
  const code = await new Promise<string>((resolve) => { refused.on('error', (error: NodeJS.ErrnoException) => { resolve(error.code ?? '') }) })
  assert.equal(code, 'ECONNREFUSED')
  await forwarder.open()
  const socket = connectTo(forwarder)
  context.after(() => { socket.destroy() })
  assert.ok(await new Promise<boolean>((resolve) => { socket.on('connect', () => { resolve(true) }) }))
})
