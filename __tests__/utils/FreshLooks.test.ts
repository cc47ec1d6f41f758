import assert from 'node:assert/strict'
import { test } from 'node:test'
import { FreshLooks } from '../../src/utils/FreshLooks.js'

test('a look serves only those who asked before it began, and the others share the next one', async () => {
  const looks = new FreshLooks()
  let begun = 0
  const look = async (): Promise<boolean> => {
    begun += 1
    const isFirst = begun === 1
    await new Promise((resolve) => { setTimeout(resolve, 10) })
    return !isFirst
  }
  const results = await Promise.all([looks.look('a', look), looks.look('a', look), looks.look('a', look), looks.look('b', look)])
  assert.deepEqual(results, [false, true, true, true])
  assert.equal(begun, 3)
})

test('a look that fails does not keep the next one back', async () => {
  const looks = new FreshLooks()
  const failed = looks.look('a', async () => { throw new Error('failed') })
  const next = looks.look('a', async () => true)
  await assert.rejects(failed)
  assert.equal(await next, true)
  assert.equal(await looks.look('a', async () => true), true)
})
