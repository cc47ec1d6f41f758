import assert from 'node:assert/strict'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { connect } from 'node:net'
import { test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { deliverAnswer } from '../../src/relay/deliverAnswer.js'
import { HttpListener } from '../../src/transport/HttpListener.js'
import { Outcome } from '../../src/types/Outcome.js'

/** Each test file runs in a process of its own, and so has an address of its own. */
const ADDRESS = { host: `127.85.${process.pid >> 8 & 255}.${process.pid & 255}`, port: 7_000 }
const SETTLE_MILLISECONDS = 300
const UNDELIMITED_BYTES = 32_768
const MORE_THAN_BUFFERS_BYTES = 20_000_000

/** @returns bytes of both answers that a guest got which reads only after its host has ended all connections */
async function readLate (firstBytes: number): Promise<{ total: number, second: number }> {
  const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const isFirst = request.url === '/first'
    const body = isFirst ? Buffer.alloc(firstBytes, 'a') : Buffer.alloc(UNDELIMITED_BYTES, '#')
    await deliverAnswer({ outcome: Outcome.Ran, reason: undefined, status: 200, headers: [], body, endsWithConnection: !isFirst, pool: undefined }, response)
  }
  const listener = new HttpListener({ address: `${ADDRESS.host}:${ADDRESS.port}`, headerBytes: 8_192, handle, onMalformed: () => '' })
  await listener.open()
  const guest = connect(ADDRESS).on('error', () => {})
  guest.write('GET /first HTTP/1.1\r\nhost: h\r\n\r\nGET /second HTTP/1.1\r\nhost: h\r\n\r\n')
  await sleep(SETTLE_MILLISECONDS)
  listener.destroy()
  await listener.closeWithin(0)
  const bytes = Buffer.concat(await guest.toArray().catch(() => []))
  guest.destroy()
  return { total: bytes.length, second: bytes.filter((byte) => byte === '#'.charCodeAt(0)).length }
}

// Guards against a part of an answer without a length that looks whole, as the kernel did not take all of it in one write.
test('an answer without a length behind one that its guest has not read arrives whole or not at all', async () => {
  const { total } = await readLate(MORE_THAN_BUFFERS_BYTES)
  const { second } = await readLate(total - UNDELIMITED_BYTES / 2)
  assert.ok(second === 0 || second === UNDELIMITED_BYTES, `${second} of ${UNDELIMITED_BYTES} bytes`)
})
