import assert from 'node:assert/strict'
import { test } from 'node:test'
import { PeerOutbox } from '../../src/registry/PeerOutbox.js'
import type { ShareRegistryReply, ShareRegistryRequest } from '../../src/registry/RegistryMessages.js'
import { createUpstreamRecord } from './createUpstreamRecord.js'

const RECORDS = 1_000
const MAXIMUM_CALLS = 32

// Guards against a control host that runs out of memory by calls to a slow one, when servers announce without end.
test('records for a peer that does not answer yet share calls, and each is sent', async () => {
  const calls: Array<{ request: ShareRegistryRequest, answer: (reply: ShareRegistryReply) => void }> = []
  let waiting = 0
  let mostWaiting = 0
  const outbox = new PeerOutbox({
    describeSelf: () => ({ peerAddress: 'a', domain: 'a', region: 'r' }),
    call: (request) => new Promise((resolve) => {
      waiting += 1
      mostWaiting = Math.max(mostWaiting, waiting)
      calls.push({
        request,
        answer: (reply) => {
          waiting -= 1
          resolve(reply)
        }
      })
    }),
    findRecord: () => undefined,
    listEntryHosts: () => []
  })
  const sends = Array.from({ length: RECORDS }, (_, number) => outbox.send(createUpstreamRecord({ id: `i-${number}` })))
  await new Promise(setImmediate)
  assert.equal(waiting, MAXIMUM_CALLS)
  for (let number = 0; number < calls.length; number += 1) {
    calls[number]!.answer({ unknown: [] })
    await new Promise(setImmediate)
  }
  await Promise.all(sends)
  assert.equal(mostWaiting, MAXIMUM_CALLS)
  assert.equal(new Set(calls.flatMap(({ request }) => request.records.map(({ record }) => record.id))).size, RECORDS)
})
