import { test } from 'node:test'
import { assertSurvives, startClientsSystem } from './startClientsSystem.js'

const GUEST_HEAD = 'POST /lookups/b HTTP/1.1\r\nhost: stock.example\r\nattempt-id: b-1\r\ndeadline-ms: 30000\r\ntransfer-encoding: chunked\r\n\r\n'
const ANNOUNCEMENT_HEAD = 'POST /instances/i-crowd/heartbeat HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n'
const LARGE_CHUNK = `8000\r\n${'x'.repeat(32_768)}\r\n`
const MIDDLE_CHUNK = `2000\r\n${'x'.repeat(8_192)}\r\n`
const ONE_BYTE_CHUNK = '1\r\nx\r\n'

// Guards against bodies that are held beyond the memory of the machine: each is within the plan's limit, and all together are not.
test('guests whose bodies of large chunks stop short of their end leave the entry host within its memory', { timeout: 120_000 }, async (context) => {
  const fixture = await startClientsSystem(context)
  const behavior = { head: GUEST_HEAD, part: LARGE_CHUNK, count: 127 }
  await assertSurvives(context, fixture, [{ address: fixture.system.guestAddress, size: 60, behavior }])
})

// Guards against connections that count for nothing beside the bodies that arrive on them.
test('many guests whose small bodies stop short of their end leave the entry host within its memory', { timeout: 120_000 }, async (context) => {
  const fixture = await startClientsSystem(context)
  const behavior = { head: GUEST_HEAD, part: MIDDLE_CHUNK, count: 7 }
  await assertSurvives(context, fixture, [{ address: fixture.system.guestAddress, size: 1_000, behavior }])
})

// Guards against pieces of a body that cost many times their size while they are read or held.
test('guests whose bodies of one-byte chunks stop short of their end leave the entry host within its memory', { timeout: 120_000 }, async (context) => {
  const fixture = await startClientsSystem(context)
  const behavior = { head: GUEST_HEAD, part: ONE_BYTE_CHUNK, count: 60_000 }
  await assertSurvives(context, fixture, [{ address: fixture.system.guestAddress, size: 300, behavior }])
})

// Guards against pieces of a body that the HTTP library keeps while its request waits for the one before it on its connection.
test('guests whose bodies of one-byte chunks wait behind another request leave the entry host within its memory', { timeout: 120_000 }, async (context) => {
  const fixture = await startClientsSystem(context)
  const first = 'POST /lookups/b HTTP/1.1\r\nhost: stock.example\r\nattempt-id: b-1\r\ndeadline-ms: 30000\r\ncontent-length: 100\r\n\r\n'
  const behavior = { head: `${first}${'x'.repeat(100)}`, part: `${GUEST_HEAD}${ONE_BYTE_CHUNK.repeat(10_000)}`, count: 1 }
  await assertSurvives(context, fixture, [{ address: fixture.system.guestAddress, size: 200, behavior }])
})

// Guards against bodies of announcements that are held beyond the memory of a control host.
test('servers whose announcements of large chunks stop short of their end leave the control host within its memory', { timeout: 120_000 }, async (context) => {
  const fixture = await startClientsSystem(context)
  const address = fixture.system.getControlAddress(0)
  await assertSurvives(context, fixture, [
    { address, size: 40, behavior: { head: ANNOUNCEMENT_HEAD, part: LARGE_CHUNK, count: 31 } },
    { address, size: 1_000, behavior: { head: ANNOUNCEMENT_HEAD, part: MIDDLE_CHUNK, count: 7 } }
  ])
})

// Guards against pieces of an announcement that cost many times their size while they are read or held.
test('servers whose announcements of one-byte chunks stop short of their end leave the control host within its memory', { timeout: 120_000 }, async (context) => {
  const fixture = await startClientsSystem(context)
  const behavior = { head: ANNOUNCEMENT_HEAD, part: ONE_BYTE_CHUNK, count: 60_000 }
  await assertSurvives(context, fixture, [{ address: fixture.system.getControlAddress(0), size: 300, behavior }])
})
