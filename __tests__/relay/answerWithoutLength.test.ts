import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { ClaimLedger } from '../../src/ledger/ClaimLedger.js'
import type { RelayAnswer } from '../../src/relay/RelayAnswer.js'
import { storeAnswer } from '../../src/relay/storeAnswer.js'
import { Outcome } from '../../src/types/Outcome.js'
import { DEADLINE_MILLISECONDS, forwardThroughOwner } from './forwardThroughOwner.js'

for (const { name, body } of [{ name: 'a small answer', body: 'part' }, { name: 'a streamed answer', body: 'p'.repeat(100) }]) {
  test(`${name} that ends with the upstream's connection is marked so behind the hop between hosts`, async (context) => {
    const { answer } = await forwardThroughOwner(context, (socket) => { socket.end(`HTTP/1.1 200 OK\r\nhibiscusrelay-request: r\r\nConnection: close\r\n\r\n${body}`) })
    assert.equal(answer.status, 200)
    assert.equal(answer.endsWithConnection, true)
  })
}

test('the answer to a one-time action whose end is not proved is not stored as the whole answer', async () => {
  const calls: string[] = []
  const ledger = { complete: async () => { calls.push('complete') }, markUnknown: async () => { calls.push('unknown') }, release: async () => { calls.push('release') } } as unknown as ClaimLedger
  const answer: RelayAnswer = { outcome: Outcome.Ran, reason: undefined, status: 200, headers: [], body: Buffer.from('part'), endsWithConnection: true, pool: undefined }
  await storeAnswer(ledger, 'k', answer, performance.now() + DEADLINE_MILLISECONDS)
  assert.deepEqual(calls, ['unknown'])
})
