import assert from 'node:assert/strict'
import { test } from 'node:test'
import { composeRequestHead, openGuestFixture } from './openGuestFixture.js'

const TIMEOUT_MILLISECONDS = 300
/** The users' limit on the delay of an answer after the timeout of its route. */
const MAXIMUM_LATENESS_MILLISECONDS = 500

test('a request whose body does not arrive is refused at the timeout of its route', async (context) => {
  const { upstreams, connect } = await openGuestFixture(context, () => {}, { timeoutMilliseconds: TIMEOUT_MILLISECONDS })
  const guest = await connect()
  guest.socket.write(composeRequestHead('POST', 'content-length: 10\r\n') + 'some')
  const deadline = new Promise((resolve) => { setTimeout(resolve, TIMEOUT_MILLISECONDS + MAXIMUM_LATENESS_MILLISECONDS, 'nothing in time').unref() })
  assert.notEqual(await Promise.race([guest.closed, deadline]), 'nothing in time')
  assert.match(guest.text(), /^HTTP\/1.1 408 /)
  assert.deepEqual(upstreams[0]!.received, [])
})
