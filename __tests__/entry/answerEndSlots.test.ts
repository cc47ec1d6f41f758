import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Outcome } from '../../src/types/Outcome.js'
import { pause } from '../../src/utils/pause.js'
import { ListenerState } from '../../src/utils/probeListener.js'
import { UpstreamConnections } from '../../src/entry/UpstreamConnections.js'
import { openRawServer } from '../support/openRawServer.js'
import { createEntryRequest } from './createEntryRequest.js'
import { createRelayFixture } from './createRelayFixture.js'

/** More than the upstream has slots. */
const REQUEST_COUNT = 12
const DEADLINE_MILLISECONDS = 5_000
const POLL_MILLISECONDS = 10

// Guards against requests that are refused because the ends of earlier answers are being confirmed: the upstream is idle meanwhile.
test('an answer whose end is being confirmed takes no slot of its upstream', async (context) => {
  const server = await openRawServer((socket, head) => {
    socket.end(`HTTP/1.1 200 OK\r\nconnection: close\r\nattempt-id: ${/attempt-id: (\S+)/i.exec(head)?.[1] ?? ''}\r\nresponse-signature: s\r\n\r\ndone`)
  })
  const deadline = performance.now() + DEADLINE_MILLISECONDS
  const { relay, connections } = createRelayFixture([server.address], {}, {}, new UpstreamConnections(), async () => {
    while (server.received.length < REQUEST_COUNT && performance.now() < deadline) await pause(POLL_MILLISECONDS)
    return ListenerState.Open
  })
  context.after(async () => {
    await connections.destroy()
    await server.close()
  })
  const answers = await Promise.all(Array.from({ length: REQUEST_COUNT }, async (_, number) => await relay.serve(createEntryRequest({}, { id: `a-${number}`, path: `/lookups/${number}`, deadline, guestDeadline: deadline, headers: [{ name: 'attempt-id', value: `a-${number}` }] }))))
  assert.deepEqual(answers.filter(({ outcome }) => outcome !== Outcome.Ran), [])
})
