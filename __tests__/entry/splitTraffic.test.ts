import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createRelayFixture } from './createRelayFixture.js'
import { createEntryRequest } from './createEntryRequest.js'

test('a request is the same one whichever service of its route runs it', async () => {
  const contents: unknown[] = []
  const log = { info: () => {}, error: () => {}, warn: (_event: string, fields: Record<string, unknown>) => { contents.push(fields.content) } }
  const targets = [{ service: 'inventario', weight: 1 }, { service: 'reservas', weight: 1 }]
  let draw = 0
  const { relay } = createRelayFixture([], { targets }, { log, random: () => draw })
  for (draw of [0.1, 0.9]) await relay.serve(createEntryRequest({ targets }))
  assert.equal(contents.length, 2)
  assert.equal(contents[0], contents[1])
})
