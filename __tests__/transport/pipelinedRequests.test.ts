import assert from 'node:assert/strict'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { connect } from 'node:net'
import { test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { HttpListener } from '../../src/transport/HttpListener.js'
import { waitUntil } from '../../src/utils/waitUntil.js'

/** Each test file runs in a process of its own, and so has an address of its own. */
const ADDRESS = { host: `127.83.${process.pid >> 8 & 255}.${process.pid & 255}`, port: 7_000 }
const RUN_MILLISECONDS = 1_500
const REQUEST = 'GET / HTTP/1.1\r\nhost: h\r\n\r\n'
const REQUEST_COUNT = 50_000
/** What the buffers of both kernels and of the sender may take. */
const MAXIMUM_READ_BYTES = 131_072

// Guards against a guest that fills the memory of the host with requests behind one that is being answered.
test('a guest cannot make the host hold any number of requests behind one that is being answered', async (context) => {
  let count = 0
  let received: IncomingMessage | undefined
  const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    count += 1
    if (count === 1) {
      received = request
      await sleep(RUN_MILLISECONDS)
    }
    response.end()
  }
  const listener = new HttpListener({ address: `${ADDRESS.host}:${ADDRESS.port}`, headerBytes: 8_192, handle, onMalformed: () => '' })
  await listener.open()
  context.after(async () => {
    listener.destroy()
    await listener.closeWithin(0)
  })
  const guest = connect(ADDRESS)
  context.after(() => { guest.destroy() })
  guest.resume()
  guest.write(REQUEST.repeat(REQUEST_COUNT))
  await sleep(RUN_MILLISECONDS - 300)
  const bytes = received!.socket.bytesRead
  assert.ok(bytes <= MAXIMUM_READ_BYTES, `read ${bytes} bytes of requests`)
  await waitUntil(() => count === REQUEST_COUNT, performance.now() + 20_000)
  assert.equal(count, REQUEST_COUNT)
})
