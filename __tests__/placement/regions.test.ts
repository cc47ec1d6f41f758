import assert from 'node:assert/strict'
import { test } from 'node:test'
import { orderRegions } from '../../src/placement/orderRegions.js'
import { computeRegionWeights } from '../../src/placement/computeRegionWeights.js'
import { hashKey } from '../../src/steering/RendezvousItems.js'

const slots = new Map([['north', 72], ['middle', 90], ['south', 18]])
const evenDemand = new Map([['north', 1], ['middle', 1], ['south', 1]])

function assertNear (actual: number | undefined, expected: number, tolerance: number): void {
  assert.ok(actual !== undefined && Math.abs(actual - expected) <= tolerance, `${actual} instead of ${expected}`)
}

test('a region with enough slots keeps its guests', () => {
  assert.equal(computeRegionWeights({ home: 'north', slots, demand: evenDemand }).get('north'), 1)
  assert.equal(computeRegionWeights({ home: 'middle', slots, demand: evenDemand }).get('middle'), 1)
})

test('a region with few slots sends most of its guests to regions with free slots', () => {
  const weights = computeRegionWeights({ home: 'south', slots, demand: evenDemand })
  assertNear(weights.get('south'), 0.36, 0.01)
  assert.ok(weights.get('middle')! > weights.get('north')!)
  assertNear([...weights.values()].reduce((sum, weight) => sum + weight, 0), 1, 1e-9)
})

test('no region is loaded far above the others, although one has few slots', () => {
  const loads = new Map<string, number>()
  for (const home of slots.keys()) {
    for (const [region, weight] of computeRegionWeights({ home, slots, demand: evenDemand })) loads.set(region, (loads.get(region) ?? 0) + weight / 3)
  }
  for (const [region, load] of loads) assert.ok(load <= 1.25 * slots.get(region)! / 180, `${region} carries ${load}`)
})

test('guests whose region has lost its slots are served elsewhere', () => {
  const remainingSlots = new Map([['north', 72], ['middle', 90]])
  const weights = computeRegionWeights({ home: 'south', slots: remainingSlots, demand: evenDemand })
  assertNear(weights.get('north')! + weights.get('middle')!, 1, 1e-9)
})

test('a single region keeps all guests, even while no demand is known', () => {
  assert.deepEqual([...computeRegionWeights({ home: 'north', slots: new Map([['north', 4]]), demand: new Map() })], [['north', 1]])
})

test('objects are spread by weight, and a change of weights moves only as many as necessary', () => {
  const objects = Array.from({ length: 2_000 }, (_, number) => hashKey(`object-${number}`))
  const before = new Map([['north', 0.2], ['south', 0.8]])
  const after = new Map([['north', 0.3], ['south', 0.7]])
  const listFirstRegions = (weights: Map<string, number>): string[] => objects.map((object) => orderRegions(object, weights)[0]!)
  const firstRegionsBefore = listFirstRegions(before)
  assertNear(firstRegionsBefore.filter((region) => region === 'north').length / objects.length, 0.2, 0.03)
  const moved = listFirstRegions(after).filter((region, index) => region !== firstRegionsBefore[index])
  assertNear(moved.length / objects.length, 0.1, 0.03)
  assert.ok(moved.every((region) => region === 'north'))
})
