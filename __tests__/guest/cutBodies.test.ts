import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { test } from 'node:test'
import { HttpListener } from '../../src/transport/HttpListener.js'
import { readBody } from '../../src/transport/readBody.js'

const ADDRESS = `127.84.${process.pid >> 8 & 255}.${process.pid & 255}:7000`
const LARGE_BYTES = 100_000
const MAXIMUM_BYTES = 1_000_000

const BODIES = [
  { name: 'with a length', framing: 'content-length: 10', part: 'abcde' },
  { name: 'with a large length', framing: `content-length: ${LARGE_BYTES}`, part: 'p'.repeat(LARGE_BYTES - 1) },
  { name: 'in chunks, after a whole chunk', framing: 'transfer-encoding: chunked', part: '5\r\nabcde\r\n' },
  { name: 'in chunks, in its last chunk', framing: 'transfer-encoding: chunked', part: '5\r\nabcde\r\n0\r\n' }
]

async function sendCut (framing: string, part: string, end: 'end' | 'destroy' | 'resetAndDestroy'): Promise<string | undefined> {
  const { promise, resolve } = createDeferred()
  const listener = new HttpListener({
    address: ADDRESS,
    headerBytes: 8_192,
    handle: async (message, response) => {
      await readBody(message, MAXIMUM_BYTES).then((body) => { resolve(body?.toString()) }, () => { resolve(undefined) })
      response.end()
    },
    onMalformed: () => ''
  })
  await listener.open()
  const [host, port] = ADDRESS.split(':')
  const socket = connect({ host, port: Number(port) })
  socket.on('error', () => {})
  socket.resume()
  socket.write(`POST / HTTP/1.1\r\nhost: a\r\n${framing}\r\n\r\n${part}`)
  setTimeout(() => { socket[end]() }, 50)
  const body = await promise
  socket.destroy()
  listener.destroy()
  await listener.closeWithin(0)
  return body
}

function createDeferred (): { promise: Promise<string | undefined>, resolve: (body: string | undefined) => void } {
  let resolve = (_body: string | undefined): void => {}
  const promise = new Promise<string | undefined>((_resolve) => { resolve = _resolve })
  return { promise, resolve }
}

// Guards against a part of a guest's body that is sent to an upstream as the whole.
for (const { name, framing, part } of BODIES) {
  for (const end of ['end', 'destroy', 'resetAndDestroy'] as const) {
    test(`a body ${name} whose connection ends early by ${end} is not read as whole`, async () => {
      assert.equal(await sendCut(framing, part, end), undefined)
    })
  }
}
