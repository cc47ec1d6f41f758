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

// Guards against health requests that take all slots and connections of a busy upstream.
test('few looks at a subject run at once, and the next one serves all who ask meanwhile', async () => {
  const looks = new FreshLooks()
  const endings: Array<() => void> = []
  const look = (): Promise<boolean> => new Promise((resolve) => { endings.push(() => { resolve(true) }) })
  const results: Array<Promise<boolean>> = []
  for (let number = 0; number < 10; number += 1) {
    results.push(looks.look('a', look))
    await new Promise((resolve) => { setTimeout(resolve, 30) })
  }
  assert.equal(endings.length, 3)
  endings[0]!()
  await new Promise((resolve) => { setTimeout(resolve, 10) })
  assert.equal(endings.length, 4)
  for (const end of endings) end()
  assert.deepEqual(await Promise.all(results), results.map(() => true))
})
