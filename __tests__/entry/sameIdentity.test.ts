import assert from 'node:assert/strict'
import { createServer } from 'node:net'
import { test } from 'node:test'
import { createFollowReply } from '../follow/createFollowReply.js'
import { createUpstreamRecord } from '../registry/createUpstreamRecord.js'
import { createEntryRequest } from './createEntryRequest.js'
import { createRelayFixture } from './createRelayFixture.js'

/** Opens a server on the port that ends as soon as it gets a request. */
async function openEndingServer (port = 0): Promise<number> {
  const server = createServer((socket) => {
    socket.on('error', () => {})
    socket.once('data', () => {
      server.close()
      socket.resetAndDestroy()
    })
  })
  server.unref()
  await new Promise<void>((resolve) => { server.listen(port, '127.0.0.1', resolve) })
  return (server.address() as { port: number }).port
}

test('an upstream that ended and came back under its old identifier counts again', async () => {
  const port = await openEndingServer()
  const { relay, known } = createRelayFixture([`127.0.0.1:${port}`], { mostAttempts: 1 })
  const statuses: number[] = []
  for (let start = 1; start <= 4 && statuses.at(-1) !== 422; start += 1) {
    if (start > 1) await openEndingServer(port)
    known.merge(createFollowReply({ upstreams: [{ record: createUpstreamRecord({ id: 'i-0', address: `127.0.0.1:${port}`, bornAt: 1_000 * start }), isLost: false }] }))
    statuses.push((await relay.serve(createEntryRequest({ mostAttempts: 1 }))).status)
    await new Promise((resolve) => { setTimeout(resolve, 600) })
  }
  assert.equal(statuses.at(-1), 422, `answers: ${statuses.join(', ')}`)
})
