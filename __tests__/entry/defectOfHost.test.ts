import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { test, type TestContext } from 'node:test'
import { readGuestFields } from '../../platform/wire/readGuestFields.js'
import type { EntryRelay } from '../../src/entry/EntryRelay.js'
import { GuestListener, type GuestListenerOptions } from '../../src/entry/GuestListener.js'
import { HeldAmount } from '../../src/limits/HeldAmount.js'
import { StopWindow } from '../../src/limits/StopWindow.js'
import { Counters } from '../../src/observe/Counters.js'
import { refusalCounter } from '../../src/observe/declareCounters.js'
import { refuse } from '../../src/relay/refuse.js'
import type { RelayAnswer } from '../../src/relay/RelayAnswer.js'
import { HttpListener } from '../../src/transport/HttpListener.js'
import { Outcome } from '../../src/types/Outcome.js'
import { RefusalReason } from '../../src/types/RefusalReason.js'
import { silentLog } from '../support/createAnnouncement.js'
import { composeRequestHead } from './openGuestFixture.js'
import { createRelayFixture } from './createRelayFixture.js'

const ADDRESS = `127.80.${process.pid >> 8 & 255}.${process.pid & 255}:7000`

async function askHost (context: TestContext, serve: () => Promise<RelayAnswer>, overrides: Partial<GuestListenerOptions> = {}): Promise<{ text: string, counters: Counters }> {
  const { known, connections } = createRelayFixture([])
  const counters = new Counters()
  const guestListener = new GuestListener({ known, relay: { serve } as unknown as EntryRelay, stopWindow: new StopWindow(), bodies: { large: new HeldAmount(1_000_000) }, readFields: readGuestFields, random: () => 0, counters, log: silentLog, ...overrides })
  const listener = new HttpListener({ address: ADDRESS, headerBytes: 65_536, handle: (message, response) => guestListener.handle(message, response), onMalformed: () => '' })
  await listener.open()
  context.after(async () => {
    listener.destroy()
    await listener.closeWithin(0)
    await connections.destroy()
  })
  const [host, port] = ADDRESS.split(':')
  const socket = connect({ host, port: Number(port) })
  let text = ''
  socket.on('data', (chunk) => { text += chunk.toString() })
  socket.on('error', () => {})
  const closed = new Promise<void>((resolve) => { socket.once('close', () => { resolve() }) })
  socket.write(composeRequestHead('GET', 'connection: close\r\n'))
  await closed
  return { text, counters }
}

// Guards against guests whose connection ends without an answer because of a defect of the host.
test('a request that was passed on before a defect showed is answered as unknown', async (context) => {
  const { text, counters } = await askHost(context, async () => { throw new TypeError('defect') })
  assert.match(text, /^HTTP\/1\.1 502 /)
  assert.match(text, /\r\n\r\n\{"outcome":"unknown","reason":"internal-error"\}\n$/)
  assert.equal(counters.read(refusalCounter(RefusalReason.InternalError)), 1)
})

// Guards against guests over their quota who are not told when to come back.
test('an answer with status 429 tells when to come back', async (context) => {
  const { text } = await askHost(context, async () => ({ ...refuse(RefusalReason.QuotaExceeded), retryAfterMilliseconds: 730 }))
  assert.match(text, /^HTTP\/1\.1 429 /)
  assert.match(text, /\r\nretry-after: 0\.73\r\n/i)
  assert.match(text, /"outcome":"not-run","reason":"quota-exceeded"/)
})

test('an answer whose head cannot be written is replaced as a whole by one that says unknown', async (context) => {
  const { text } = await askHost(context, async () => ({ outcome: Outcome.Ran, reason: undefined, status: 200, headers: [{ name: 'response-signature', value: 's' }, { name: 'note', value: 'a\u0000b' }], body: Buffer.from('body'), pool: undefined }))
  assert.match(text, /^HTTP\/1\.1 502 /)
  assert.doesNotMatch(text, /response-signature/i)
})

test('a request that was not passed on when a defect showed is refused with 503', async (context) => {
  const { text } = await askHost(context, async () => { throw new Error('not reached') }, { readFields: () => { throw new TypeError('defect') } })
  assert.match(text, /^HTTP\/1\.1 503 /)
  assert.match(text, /"outcome":"not-run","reason":"internal-error"/)
})
