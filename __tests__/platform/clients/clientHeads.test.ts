import { test } from 'node:test'
import { assertSurvives, startClientsSystem } from './startClientsSystem.js'

const GUEST_LINES = 'GET /lookups/h HTTP/1.1\r\nhost: stock.example\r\nattempt-id: h-1\r\ndeadline-ms: 3000\r\n'
const CHUNKED_GUEST_LINES = `POST${GUEST_LINES.slice(3)}transfer-encoding: chunked\r\n\r\n0\r\n`
const ANNOUNCEMENT_LINES = 'POST /instances/i-crowd/heartbeat HTTP/1.1\r\nhost: a\r\n'
const CHUNKED_ANNOUNCEMENT_LINES = `${ANNOUNCEMENT_LINES}transfer-encoding: chunked\r\n\r\n0\r\n`
const FIELD = 'a:b\r\n'

// Guards against heads whose fields take many times their size, and against those that are kept until a time limit.
test('guests whose heads stop short of the limit, or go on beyond it, leave the entry host within its memory', { timeout: 120_000 }, async (context) => {
  const fixture = await startClientsSystem(context)
  const address = fixture.system.guestAddress
  await assertSurvives(context, fixture, [
    { address, size: 1_000, behavior: { head: GUEST_LINES, part: FIELD, count: 12_000 } },
    { address, size: 20, behavior: { head: GUEST_LINES, part: FIELD } }
  ])
})

// Guards against the same at a control host, whose limit of a head is lower.
test('servers whose heads stop short of the limit, or go on beyond it, leave the control host within its memory', { timeout: 120_000 }, async (context) => {
  const fixture = await startClientsSystem(context)
  const address = fixture.system.getControlAddress(0)
  await assertSurvives(context, fixture, [
    { address, size: 1_000, behavior: { head: ANNOUNCEMENT_LINES, part: FIELD, count: 3_000 } },
    { address, size: 20, behavior: { head: ANNOUNCEMENT_LINES, part: FIELD } }
  ])
})

// Guards against bytes that count for no limit of a head: white space before a value.
test('clients whose heads have white space without end leave the hosts able to answer', { timeout: 120_000 }, async (context) => {
  const fixture = await startClientsSystem(context)
  await assertSurvives(context, fixture, [
    { address: fixture.system.guestAddress, size: 20, behavior: { head: `${GUEST_LINES}a:`, part: ' ' } },
    { address: fixture.system.getControlAddress(0), size: 20, behavior: { head: `${ANNOUNCEMENT_LINES}a:`, part: ' ' } }
  ])
})

// Guards against bytes that belong to no request, so that no limit of a request ends them.
test('clients that send empty lines without end before a request leave the hosts able to answer', { timeout: 120_000 }, async (context) => {
  const fixture = await startClientsSystem(context)
  await assertSurvives(context, fixture, [
    { address: fixture.system.guestAddress, size: 20, behavior: { head: '', part: '\r\n' } },
    { address: fixture.system.getControlAddress(0), size: 20, behavior: { head: '', part: '\r\n' } }
  ])
})

// Guards against trailers that are kept, or read without end, behind a body that is complete.
test('guests that send trailers without end leave the entry host within its memory', { timeout: 120_000 }, async (context) => {
  const fixture = await startClientsSystem(context)
  const address = fixture.system.guestAddress
  await assertSurvives(context, fixture, [
    { address, size: 1_000, behavior: { head: CHUNKED_GUEST_LINES, part: FIELD, count: 12_000 } },
    { address, size: 20, behavior: { head: CHUNKED_GUEST_LINES, part: FIELD } }
  ])
})

// Guards against the same at a control host, which waits longer for the end of a body.
test('servers that send trailers without end leave the control host within its memory', { timeout: 120_000 }, async (context) => {
  const fixture = await startClientsSystem(context)
  const address = fixture.system.getControlAddress(0)
  await assertSurvives(context, fixture, [
    { address, size: 1_000, behavior: { head: CHUNKED_ANNOUNCEMENT_LINES, part: FIELD, count: 3_000 } },
    { address, size: 20, behavior: { head: CHUNKED_ANNOUNCEMENT_LINES, part: FIELD } }
  ])
})
