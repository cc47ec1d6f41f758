import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { composeRequestHead, openGuestFixture } from './openGuestFixture.js'

/** The users' limit on the time spent on a request whose guest has disconnected. */
const MAXIMUM_WORK_MILLISECONDS = 500

test('a request whose guest disconnected before it was read reaches no upstream', async (context) => {
  const { upstreams, connect } = await openGuestFixture(context, () => {})
  const guest = await connect()
  guest.socket.write(composeRequestHead())
  guest.socket.destroy()
  await sleep(MAXIMUM_WORK_MILLISECONDS)
  assert.deepEqual(upstreams[0]!.received, [])
})

test('the connection to the upstream closes when the guest disconnects', async (context) => {
  let closedAt = 0
  const { upstreams, connect } = await openGuestFixture(context, (socket) => { socket.once('close', () => { closedAt = performance.now() }) })
  const guest = await connect()
  guest.socket.write(composeRequestHead())
  while (upstreams[0]!.received.length === 0) await sleep(5)
  const leftAt = performance.now()
  guest.socket.destroy()
  await sleep(MAXIMUM_WORK_MILLISECONDS)
  assert.ok(closedAt > 0 && closedAt - leftAt < MAXIMUM_WORK_MILLISECONDS)
})

test('a guest that half-closes its connection counts as disconnected', async (context) => {
  let closed = false
  const { upstreams, connect } = await openGuestFixture(context, (socket) => { socket.once('close', () => { closed = true }) })
  const guest = await connect()
  guest.socket.write(composeRequestHead())
  while (upstreams[0]!.received.length === 0) await sleep(5)
  guest.socket.end()
  await sleep(MAXIMUM_WORK_MILLISECONDS)
  assert.equal(closed, true)
})
