import assert from 'node:assert/strict'
import type { Socket } from 'node:net'
import { test, type TestContext } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { Counters } from '../../src/observe/Counters.js'
import { waitUntil } from '../../src/utils/waitUntil.js'
import { composeRequestHead, openGuestFixture, type GuestSocket } from './openGuestFixture.js'

const USUAL_MILLISECONDS = 10
const USUAL_REQUESTS = 45
/** The users' limit on the time spent on a request whose guest has disconnected. */
const MAXIMUM_WORK_MILLISECONDS = 500
const MAXIMUM_WAIT_MILLISECONDS = 5_000

interface Fixture {
  guest: GuestSocket
  /** Connections with a request that is not answered, in the order of the requests. */
  pending: Socket[]
  respond: (socket: Socket, body: string) => void
  counters: Counters
}

/** Opens a host that knows the usual time of a run on real connections; later requests are left to the test. */
async function openFixture (context: TestContext): Promise<Fixture> {
  const pending: Socket[] = []
  const counters = new Counters()
  let isWarmedUp = false
  const respond = (socket: Socket, body: string): void => { socket.write(`HTTP/1.1 200 OK\r\nattempt-id: attempt-1\r\nresponse-signature: s\r\ncontent-length: ${body.length}\r\n\r\n${body}`) }
  const { connect } = await openGuestFixture(context, (socket) => {
    if (isWarmedUp) pending.push(socket)
    else setTimeout(() => { respond(socket, 'usual') }, USUAL_MILLISECONDS)
  }, { sticky: false, timeoutMilliseconds: 60_000 }, 2, { secondAttemptRatio: () => 0.5, counters })
  const guest = await connect()
  const countAnswers = (): number => guest.text().split('usual').length - 1
  for (let sent = 1; sent <= USUAL_REQUESTS; sent += 1) {
    guest.socket.write(composeRequestHead())
    await waitUntil(() => countAnswers() === sent, performance.now() + MAXIMUM_WAIT_MILLISECONDS)
  }
  assert.equal(countAnswers(), USUAL_REQUESTS)
  isWarmedUp = true
  guest.socket.write(composeRequestHead())
  await waitUntil(() => pending.length === 2, performance.now() + MAXIMUM_WAIT_MILLISECONDS)
  assert.equal(pending.length, 2)
  return { guest, pending, respond, counters }
}

// Guards against a loser whose connection stays open, so that its upstream goes on with work that nobody needs.
test('the connection of the attempt that lost closes at once, and the guest gets one answer', async (context) => {
  const { guest, pending, respond, counters } = await openFixture(context)
  respond(pending[1]!, 'second')
  await waitUntil(() => guest.text().endsWith('second') && pending[0]!.destroyed, performance.now() + MAXIMUM_WORK_MILLISECONDS)
  assert.equal(pending[0]!.destroyed, true)
  await sleep(50)
  assert.equal(guest.text().split('HTTP/1.1 200').length - 1, USUAL_REQUESTS + 1)
  assert.equal(counters.read('second-attempt.won'), 1)
})

test('the connections of both attempts close when the guest disconnects', async (context) => {
  const { guest, pending } = await openFixture(context)
  guest.socket.destroy()
  await waitUntil(() => pending.every(({ destroyed }) => destroyed), performance.now() + MAXIMUM_WORK_MILLISECONDS)
  assert.ok(pending.every(({ destroyed }) => destroyed))
})
