import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect } from 'node:net'
import { test, type TestContext } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { readGuestFields } from '../../platform/wire/readGuestFields.js'
import type { EntryRelay } from '../../src/entry/EntryRelay.js'
import { GuestListener } from '../../src/entry/GuestListener.js'
import { GuestInterface } from '../../src/guest/GuestInterface.js'
import { HeldAmount } from '../../src/limits/HeldAmount.js'
import { StopWindow } from '../../src/limits/StopWindow.js'
import { Counters } from '../../src/observe/Counters.js'
import type { AnnouncementHandler } from '../../src/relay/AnnouncementHandler.js'
import type { Ingress } from '../../src/relay/Ingress.js'
import { refuse } from '../../src/relay/refuse.js'
import type { RelayAnswer } from '../../src/relay/RelayAnswer.js'
import { parseSheet } from '../../src/sheet/parseSheet.js'
import { HttpListener } from '../../src/transport/HttpListener.js'
import type { HttpListenerOptions } from '../../src/transport/HttpListenerOptions.js'
import { RefusalReason } from '../../src/types/RefusalReason.js'
import { createRelayFixture } from '../entry/createRelayFixture.js'
import { composeRequestHead } from '../entry/openGuestFixture.js'
import { createSheetText } from '../sheet/createSheetText.js'
import { silentLog } from '../support/createAnnouncement.js'

/** Each test file runs in a process of its own, and so has an address of its own. */
const HOST = `127.84.${process.pid >> 8 & 255}.${process.pid & 255}`
const PORT = 7_000
const RUN_MILLISECONDS = 500
const MARGIN_MILLISECONDS = 200
const limits = { requestBodyBytes: 2_048, headerBytes: 8_192, answerBufferBytes: 1_024, sheetBytes: 1_024, queueLength: 1, retryPercent: 10, maximumHostClockDifferenceMilliseconds: 0 }
const timings = { defaultDeadlineMilliseconds: 1_000, maximumDeadlineMilliseconds: 2_000, announcementMilliseconds: 250, leaseMilliseconds: 1_000, lookupLifetimeSeconds: 3, stopDeadlineMilliseconds: 1_000 }

type Serve = (request: { deadline: number }) => Promise<RelayAnswer>

/** @returns time between the deadlines of two requests that were sent at once, in milliseconds */
async function measureDeadlines (context: TestContext, head: string, createHandler: (serve: Serve) => HttpListenerOptions['handle']): Promise<number> {
  const deadlines: number[] = []
  const handle = createHandler(async ({ deadline }) => {
    deadlines.push(deadline)
    await sleep(RUN_MILLISECONDS)
    return refuse(RefusalReason.NoUpstream)
  })
  const listener = new HttpListener({ address: `${HOST}:${PORT}`, headerBytes: limits.headerBytes, handle, onMalformed: () => '' })
  await listener.open()
  context.after(async () => {
    listener.destroy()
    await listener.closeWithin(0)
  })
  const guest = connect({ host: HOST, port: PORT })
  context.after(() => { guest.destroy() })
  guest.write(head + head)
  await once(guest, 'data')
  await sleep(MARGIN_MILLISECONDS)
  assert.equal(deadlines.length, 2)
  return deadlines[1]! - deadlines[0]!
}

// Guards against runs that go on after the time of a guest that sent its request behind another one.
test('the time of a request begins when it arrives, also behind another one, in the platform form', async (context) => {
  const { known, connections } = createRelayFixture([])
  context.after(async () => { await connections.destroy() })
  const difference = await measureDeadlines(context, composeRequestHead('GET', ''), (serve) => {
    const listener = new GuestListener({ known, relay: { serve } as unknown as EntryRelay, stopWindow: new StopWindow(), bodies: { large: new HeldAmount(1_000_000) }, readFields: readGuestFields, random: () => 0, counters: new Counters(), log: silentLog })
    return (message, response, arrivedAt) => listener.handle(message, response, arrivedAt)
  })
  assert.ok(difference < MARGIN_MILLISECONDS, `${difference} ms later`)
})

test('the time of a request begins when it arrives, also behind another one, in the daemon form', async (context) => {
  const difference = await measureDeadlines(context, 'GET /v1/services/desk/ HTTP/1.1\r\nhost: h\r\n\r\n', (serve) => {
    const guestInterface = new GuestInterface({ ingress: { serve } as unknown as Ingress, bodies: { large: new HeldAmount(1_000_000) }, stopWindow: new StopWindow(), announcements: {} as AnnouncementHandler, currentSheet: () => parseSheet(createSheetText()).sheet, lookup: () => { throw new Error('not used') }, ticketPrefix: () => undefined, limits, timings, counters: new Counters(), log: silentLog })
    return (message, response, arrivedAt) => guestInterface.handle(message, response, arrivedAt)
  })
  assert.ok(difference < MARGIN_MILLISECONDS, `${difference} ms later`)
})
