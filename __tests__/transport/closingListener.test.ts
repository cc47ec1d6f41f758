import assert from 'node:assert/strict'
import { once } from 'node:events'
import { test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { answerLate, openGuest, openListener, REQUEST, RUN_MILLISECONDS, WAIT_MILLISECONDS, type Guest } from './openListener.js'

// Guards against a stop that closes connections whose answer the process has not written yet.
test('an answer that its guest reads slowly is not cut off when the listener closes', async (context) => {
  const length = 24_000_000
  const listener = await openListener(context, async (_request, response) => { response.end(Buffer.alloc(length, 'x')) })
  const guest = openGuest()
  guest.socket.write(REQUEST)
  await once(guest.socket, 'data')
  guest.socket.pause()
  const closed = listener.closeWithin(WAIT_MILLISECONDS)
  await sleep(RUN_MILLISECONDS)
  guest.socket.resume()
  assert.equal(await guest.ended, undefined)
  assert.equal(guest.text().length - guest.text().indexOf('\r\n\r\n') - 4, length)
  await closed
})

/** Sends bytes for a while and reads only afterwards, as a guest that writes its whole request first. */
// Guards against connections that the kernel has accepted and that are reset because the process was late.
test('connections that wait to be accepted are served when the listener closes', async (context) => {
  const listener = await openListener(context, answerLate)
  const guests = Array.from({ length: 20 }, () => openGuest())
  for (const { socket } of guests) socket.write(REQUEST)
  // The kernel accepts the connections while the process does nothing.
  process.nextTick(() => {
    const busyUntil = performance.now() + RUN_MILLISECONDS
    while (performance.now() < busyUntil);
    listener.closeWithin(WAIT_MILLISECONDS).catch(() => {})
  })
  assert.deepEqual(await Promise.all(guests.map(({ ended }) => ended)), guests.map(() => undefined))
  for (const { text } of guests) assert.match(text(), /^HTTP\/1.1 200 /)
})

// Guards against closing a kept connection as idle while its next request waits to be read.
test('a request that waits to be read on a kept connection is answered when the listener closes', async (context) => {
  const kept: Guest[] = []
  const listener = await openListener(context, async (request, response) => {
    if (request.url === '/slow') {
      request.socket.once('close', () => {
        kept[0]!.socket.write(REQUEST.replace('first', 'second'))
        const busyUntil = performance.now() + RUN_MILLISECONDS / 2
        while (performance.now() < busyUntil);
      })
    }
    await answerLate(request, response)
  })
  kept.push(openGuest())
  kept[0]!.socket.write(REQUEST)
  await once(kept[0]!.socket, 'data')
  openGuest().socket.write(REQUEST.replace('first', 'slow'))
  await sleep(RUN_MILLISECONDS / 2)
  await listener.closeWithin(WAIT_MILLISECONDS)
  assert.equal(await kept[0]!.ended, undefined)
  assert.match(kept[0]!.text(), /answer to \/first[^]*connection: close[^]*answer to \/second$/i)
})
