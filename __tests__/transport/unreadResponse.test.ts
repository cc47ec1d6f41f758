import assert from 'node:assert/strict'
import { connect, type Socket } from 'node:net'
import { test, type TestContext } from 'node:test'
import type { HttpListener } from '../../src/transport/HttpListener.js'
import { waitUntil } from '../../src/utils/waitUntil.js'
import { HOST, openListener, PORT, REQUEST } from './openListener.js'

const IDLE_MILLISECONDS = 2_000
const WAIT_MILLISECONDS = 20_000
const RESPONSE_BYTES = 32 * 1_048_576
const READ_BYTES = 1_048_576
const READ_PAUSE_MILLISECONDS = 150

async function openCaller (context: TestContext): Promise<{ listener: HttpListener, socket: Socket }> {
  const listener = await openListener(context, async (_request, response) => { response.end(Buffer.alloc(RESPONSE_BYTES)) })
  listener.setIdleTimeout(IDLE_MILLISECONDS)
  const socket = connect({ host: HOST, port: PORT })
  socket.on('error', () => {}).pause()
  context.after(() => { socket.destroy() })
  socket.write(REQUEST)
  assert.ok(await waitUntil(() => listener.inFlight === 1, performance.now() + WAIT_MILLISECONDS))
  return { listener, socket }
}

// Guards against responses that are held for ever for callers that read nothing.
test('a connection whose caller reads nothing of a response is closed after the idle limit', async (context) => {
  const { listener } = await openCaller(context)
  assert.ok(await waitUntil(() => listener.inFlight === 0, performance.now() + WAIT_MILLISECONDS), 'the response is still held')
})

// Guards against a large response that is broken off although its caller reads it, because it is one write.
test('a response that is read slowly, for longer than the idle limit, arrives whole', async (context) => {
  const { socket } = await openCaller(context)
  let bytes = 0
  const startedAt = performance.now()
  socket.on('data', ({ length }: Buffer) => {
    const isPartRead = Math.floor((bytes + length) / READ_BYTES) > Math.floor(bytes / READ_BYTES)
    bytes += length
    if (!isPartRead) return
    socket.pause()
    setTimeout(() => { socket.resume() }, READ_PAUSE_MILLISECONDS)
  })
  socket.resume()
  await waitUntil(() => bytes >= RESPONSE_BYTES || socket.destroyed, performance.now() + WAIT_MILLISECONDS)
  assert.ok(performance.now() - startedAt > IDLE_MILLISECONDS)
  assert.ok(bytes >= RESPONSE_BYTES, `${bytes} bytes`)
})
