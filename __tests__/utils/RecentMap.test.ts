import assert from 'node:assert/strict'
import { test } from 'node:test'
import { RecentMap } from '../../src/utils/RecentMap.js'

test('retains the newest entries, evicts old ones, and retains a key that is set again', () => {
  const map = new RecentMap<number>(10)
  for (let number = 0; number < 100; number += 1) {
    map.set(String(number), number)
    map.set('often', number)
  }
  assert.equal(map.get('often'), 99)
  for (let number = 92; number < 100; number += 1) assert.equal(map.get(String(number)), number)
  assert.equal(map.get('50'), undefined)
})

test('deletes a key from both generations', () => {
  const map = new RecentMap<number>(2)
  map.set('a', 1)
  map.set('b', 2)
  map.set('a', 3)
  map.delete('a')
  assert.equal(map.get('a'), undefined)
  assert.equal(map.get('b'), 2)
})
