import assert from 'node:assert/strict'
import { test } from 'node:test'
import { exploreClaims, sampleClaims } from './exploreClaims.js'
import { createSeededRandom } from './LedgerFixture.js'

const EXPLORED_BOUNDS = [
  { members: 1, restarts: 2, seals: 1, deliveries: 2 },
  { members: 2, restarts: 2, seals: 0, deliveries: 1 },
  { members: 2, restarts: 1, seals: 1, deliveries: 1 },
  { members: 3, restarts: 1, seals: 0, deliveries: 1 }
]
for (const bounds of EXPLORED_BOUNDS) {
  test(`in every order of messages a key is granted once: ${JSON.stringify(bounds)}`, (context) => {
    const { states, violation } = exploreClaims(bounds)
    context.diagnostic(`${states} states`)
    assert.equal(violation, undefined)
  })
}

const SAMPLED_BOUNDS = [
  { members: 2, restarts: 2, seals: 2, deliveries: 2 },
  { members: 3, restarts: 2, seals: 0, deliveries: 1 },
  { members: 3, restarts: 2, seals: 2, deliveries: 2 }
]
for (const bounds of SAMPLED_BOUNDS) {
  test(`in random orders of messages a key is granted once: ${JSON.stringify(bounds)}`, () => {
    assert.equal(sampleClaims(bounds, 10_000, createSeededRandom(7)), undefined)
  })
}
