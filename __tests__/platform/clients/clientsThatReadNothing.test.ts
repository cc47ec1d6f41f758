import { test } from 'node:test'
import { assertSurvives, startClientsSystem } from './startClientsSystem.js'

const ANNOUNCEMENT = JSON.stringify({ service: 'inventario', address: '127.0.0.1:9', zone: 'oviedo', version: 'v1', slots: 4, state: 'draining', cold_remaining_s: 0, sequence: 1, born: 1_000 })
const ANNOUNCEMENT_REQUEST = `POST /instances/i-crowd/heartbeat HTTP/1.1\r\nhost: a\r\ncontent-length: ${ANNOUNCEMENT.length}\r\n\r\n${ANNOUNCEMENT}`
const GUEST_REQUEST = 'GET /lookups/r HTTP/1.1\r\nhost: stock.example\r\nattempt-id: r-1\r\ndeadline-ms: 3000\r\n\r\n'
/** Responses to announcements are short: it takes the hosts this long to fill the buffers of the kernel. */
const ANNOUNCEMENT_MILLISECONDS = 30_000

// Guards against responses, and requests read for them, that pile up for a caller that never reads.
test('servers that announce without end and never read the responses leave the control hosts within their memory', { timeout: 120_000 }, async (context) => {
  const fixture = await startClientsSystem(context)
  const behavior = { head: '', part: ANNOUNCEMENT_REQUEST, reads: false }
  await assertSurvives(context, fixture, [0, 1, 2].map((number) => ({ address: fixture.system.getControlAddress(number), size: 4, behavior })), ANNOUNCEMENT_MILLISECONDS)
})

// Guards against requests that are taken from one read of a connection all at once, each of which takes kilobytes until it is its turn.
test('clients that send many short requests and never read the responses leave the hosts within their memory', { timeout: 120_000 }, async (context) => {
  const fixture = await startClientsSystem(context)
  const { system } = fixture
  const createBehavior = (path: string) => ({ head: '', part: `GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`, reads: false })
  await assertSurvives(context, fixture, [
    { address: system.guestAddress, size: 8, behavior: { head: '', part: GUEST_REQUEST, reads: false } },
    { address: system.metricsAddress, size: 8, behavior: createBehavior('/metrics') },
    { address: system.directoryAddress, size: 8, behavior: createBehavior('/hosts') },
    { address: system.getControlAddress(1), size: 8, behavior: createBehavior('/config/fetch') }
  ])
})
