import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { RequestClass } from '../../src/types/RequestClass.js'
import { BODILESS_STATUSES, FAULTY_STATUSES, type FaultyStatus } from '../support/faultyStatuses.js'
import { composeRequestHead, openGuestFixture } from './openGuestFixture.js'

const ROUTE_MILLISECONDS = 2_000
/** An upstream's fault is noticed when its head arrives, long before the time of the route is over. */
const MAXIMUM_MILLISECONDS = 1_500
const FIELDS = 'attempt-id: attempt-1\r\nresponse-signature: s\r\n'
const SOUND_ANSWER = `HTTP/1.1 200 OK\r\n${FIELDS}content-length: 5\r\n\r\nsound`
const CLOSE = 'connection: close\r\n'

function writeFault (socket: { write: (text: string) => unknown, end: (text: string) => unknown }, { statusLine, rest, ends }: FaultyStatus): void {
  const text = `${statusLine}\r\n${FIELDS}${rest}`
  if (ends) socket.end(text)
  else socket.write(text)
}

for (const fault of FAULTY_STATUSES) {
  // Guards against a guest without a response, or with a status that HTTP does not have.
  test(`${fault.name}: a one-time request is answered with 502 and the connection to the upstream is closed`, async (context) => {
    let isClosed = false
    const { upstreams, connect } = await openGuestFixture(context, (socket) => {
      socket.once('close', () => { isClosed = true })
      writeFault(socket, fault)
    }, { requestClass: RequestClass.OneTime, timeoutMilliseconds: ROUTE_MILLISECONDS })
    const guest = await connect()
    guest.socket.write(composeRequestHead('POST', `${CLOSE}content-length: 0\r\n`))
    assert.equal(await Promise.race([guest.closed, sleep(MAXIMUM_MILLISECONDS, 'late')]), undefined, `late: ${guest.text()}`)
    assert.match(guest.text(), /^HTTP\/1\.1 502 /)
    assert.match(guest.text(), /"outcome":"unknown","reason":"answer-lost"/)
    assert.equal(upstreams[0]!.received.length, 1)
    assert.equal(isClosed, true)
  })

  // Guards against a fault of one upstream that costs a request which another one may run.
  test(`${fault.name}: a request that may be repeated is sent to another upstream`, async (context) => {
    let requests = 0
    const { connect } = await openGuestFixture(context, (socket) => {
      requests += 1
      if (requests === 1) writeFault(socket, fault)
      else socket.write(SOUND_ANSWER)
    }, { timeoutMilliseconds: ROUTE_MILLISECONDS }, 2)
    const guest = await connect()
    guest.socket.write(composeRequestHead('GET', CLOSE))
    assert.equal(await Promise.race([guest.closed, sleep(MAXIMUM_MILLISECONDS, 'late')]), undefined, `late: ${guest.text()}`)
    assert.match(guest.text(), /^HTTP\/1\.1 200 [^]*sound$/)
    assert.equal(requests, 2)
  })
}

for (const { status, rest } of BODILESS_STATUSES) {
  // Guards against bytes behind an answer without a body that reach this guest, or the next request.
  test(`status ${status} with ${JSON.stringify(rest)}: the guest gets no body, and the next request its own answer`, async (context) => {
    let requests = 0
    const { connect } = await openGuestFixture(context, (socket) => {
      requests += 1
      socket.write(requests === 1 ? `HTTP/1.1 ${status} Odd\r\n${FIELDS}${rest}` : SOUND_ANSWER)
    }, { timeoutMilliseconds: ROUTE_MILLISECONDS })
    const first = await connect()
    first.socket.write(composeRequestHead('GET', CLOSE))
    assert.equal(await Promise.race([first.closed, sleep(MAXIMUM_MILLISECONDS, 'late')]), undefined, `late: ${first.text()}`)
    assert.match(first.text(), new RegExp(`^HTTP/1\\.1 ${status} [^]*\r\n\r\n$`))
    const second = await connect()
    second.socket.write(composeRequestHead('GET', CLOSE))
    await second.closed
    assert.match(second.text(), /^HTTP\/1\.1 200 [^]*sound$/)
  })
}
