import assert from 'node:assert/strict'
import { test } from 'node:test'
import { RefusalReason } from '../../src/types/RefusalReason.js'
import { probeListener } from '../../src/utils/probeListener.js'
import { createEntryRequest } from './createEntryRequest.js'
import { createRelayFixture } from './createRelayFixture.js'

const UPSTREAMS = 4
const REQUESTS = 60
const ROUNDS = 4
const CONNECT_TIMEOUT_MILLISECONDS = 400
const MINIMUM_CONNECTION_MILLISECONDS = 50

// Guards against proper requests that are refused as crashing ones after all upstreams of a service crashed at once.
test('requests that find all upstreams of a service down are not taken for the cause', async (context) => {
  // Nobody listens there, and no other process can come to: the port of a server that was closed may be given to another one.
  const addresses = Array.from({ length: UPSTREAMS }, (_, number) => `127.91.${process.pid >> 8 & 255}.${process.pid & 255}:${number + 1}`)
  const probe = async (address: string): ReturnType<typeof probeListener> => await probeListener(address, CONNECT_TIMEOUT_MILLISECONDS, MINIMUM_CONNECTION_MILLISECONDS)
  const { relay, connections, crashes } = createRelayFixture(addresses, {}, {}, undefined, probe)
  context.after(async () => { await connections.destroy() })
  for (let round = 0; round < ROUNDS; round += 1) {
    const answers = await Promise.all(Array.from({ length: REQUESTS }, (_, number) => relay.serve(createEntryRequest({}, { id: `a-${number}`, path: `/lookups/${number}`, objectKey: String(number) }))))
    assert.deepEqual(answers.filter(({ reason }) => reason === RefusalReason.Poison), [])
  }
  assert.deepEqual(crashes.changedSince(0).requests, [])
})
