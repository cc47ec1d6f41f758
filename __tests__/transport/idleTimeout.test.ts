import assert from 'node:assert/strict'
import { once } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { connect } from 'node:net'
import { test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { HttpListener } from '../../src/transport/HttpListener.js'

/** Each test file runs in a process of its own, and so has an address of its own. */
const HOST = `127.83.${process.pid >> 8 & 255}.${process.pid & 255}`
const PORT = 7_000
const IDLE_MILLISECONDS = 400
/** Longer than the idle timeout and the 1 s that Node.js adds to it. */
const STANDSTILL_MILLISECONDS = 1_600
const REQUEST = 'GET / HTTP/1.1\r\nhost: h\r\n\r\n'

// Guards against closing a kept connection as idle after a standstill in which its next request arrived.
test('a request that arrived within the idle timeout is answered after a standstill of the process', async (context) => {
  const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    response.end('answer')
    if (request.url !== '/busy') return
    socket.write(REQUEST)
    const busyUntil = performance.now() + STANDSTILL_MILLISECONDS
    while (performance.now() < busyUntil);
  }
  const listener = new HttpListener({ address: `${HOST}:${PORT}`, headerBytes: 8_192, handle, onMalformed: () => '' })
  listener.setIdleTimeout(IDLE_MILLISECONDS)
  await listener.open()
  context.after(async () => {
    listener.destroy()
    await listener.closeWithin(0)
  })
  const socket = connect({ host: HOST, port: PORT })
  let text = ''
  let error: string | undefined
  socket.on('data', (chunk) => { text += chunk.toString() })
  socket.on('error', ({ code }: NodeJS.ErrnoException) => { error = code })
  const closed = once(socket, 'close').catch(() => {})
  socket.write(REQUEST)
  await sleep(IDLE_MILLISECONDS / 2)
  const busy = connect({ host: HOST, port: PORT })
  busy.on('error', () => {})
  busy.write(REQUEST.replace('/', '/busy'))
  await once(busy, 'data')
  const answeredAt = performance.now()
  await closed
  assert.equal(error, undefined)
  assert.equal(text.match(/answer/g)?.length, 2)
  assert.ok(performance.now() - answeredAt > IDLE_MILLISECONDS / 2, 'the connection is idle anew after its second answer')
  busy.destroy()
})
