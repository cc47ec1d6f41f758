import assert from 'node:assert/strict'
import { test } from 'node:test'
import { RefusalReason } from '../../src/types/RefusalReason.js'
import { probeListener } from '../../src/utils/probeListener.js'
import { openRawServer } from '../support/openRawServer.js'
import { createEntryRequest } from './createEntryRequest.js'
import { createRelayFixture } from './createRelayFixture.js'

const UPSTREAMS = 4
const REQUESTS = 60
const ROUNDS = 4
const CONNECT_TIMEOUT_MILLISECONDS = 400
const MINIMUM_CONNECTION_MILLISECONDS = 50

// Guards against proper requests that are refused as crashing ones after all upstreams of a service crashed at once.
test('requests that find all upstreams of a service down are not taken for the cause', async (context) => {
  const servers = await Promise.all(Array.from({ length: UPSTREAMS }, () => openRawServer(() => {})))
  for (const server of servers) await server.close()
  const probe = async (address: string): ReturnType<typeof probeListener> => await probeListener(address, CONNECT_TIMEOUT_MILLISECONDS, MINIMUM_CONNECTION_MILLISECONDS)
  const { relay, connections, crashes } = createRelayFixture(servers.map(({ address }) => address), {}, {}, undefined, probe)
  context.after(async () => { await connections.destroy() })
  for (let round = 0; round < ROUNDS; round += 1) {
    const answers = await Promise.all(Array.from({ length: REQUESTS }, (_, number) => relay.serve(createEntryRequest({}, { id: `a-${number}`, path: `/lookups/${number}`, objectKey: String(number) }))))
    assert.deepEqual(answers.filter(({ reason }) => reason === RefusalReason.Poison), [])
  }
  assert.deepEqual(crashes.changedSince(0).requests, [])
})
