import assert from 'node:assert/strict'
import { once } from 'node:events'
import { test } from 'node:test'
import { createPlan } from '../plan/createPlan.js'
import { composeRequestHead, openGuestFixture } from './openGuestFixture.js'

const { headerBytes } = createPlan(1).limits
/** Bytes of the headers that every request of the test has. */
const OTHER_BYTES = composeRequestHead().length

test('headers beyond the limit of the plan are refused and reach no upstream', async (context) => {
  const { upstreams, connect } = await openGuestFixture(context, () => {})
  const guest = await connect()
  guest.socket.write(composeRequestHead('GET', `long: ${'x'.repeat(headerBytes)}\r\n`))
  await once(guest.socket, 'data')
  assert.match(guest.text(), /^HTTP\/1.1 431 /)
  assert.deepEqual(upstreams[0]!.received, [])
  guest.socket.destroy()
})

test('headers up to the limit of the plan are accepted', async (context) => {
  let receive = (): void => {}
  const received = new Promise<void>((resolve) => { receive = resolve })
  const { connect } = await openGuestFixture(context, () => { receive() })
  const guest = await connect()
  guest.socket.write(composeRequestHead('GET', `long: ${'x'.repeat(headerBytes - OTHER_BYTES - 'long: '.length)}\r\n`))
  await received
  guest.socket.destroy()
})
