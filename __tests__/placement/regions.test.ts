import assert from 'node:assert/strict'
import { test } from 'node:test'
import { orderRegions } from '../../src/placement/orderRegions.js'
import { weighRegions } from '../../src/placement/weighRegions.js'
import { hashKey } from '../../src/steering/RendezvousItems.js'

const slots = new Map([['north', 72], ['middle', 90], ['south', 18]])
const even = new Map([['north', 1], ['middle', 1], ['south', 1]])

function near (actual: number | undefined, expected: number, tolerance: number): void {
  assert.ok(actual !== undefined && Math.abs(actual - expected) <= tolerance, `${actual} instead of ${expected}`)
}

test('a region with slots enough keeps its guests', () => {
  assert.equal(weighRegions({ home: 'north', slots, demand: even }).get('north'), 1)
  assert.equal(weighRegions({ home: 'middle', slots, demand: even }).get('middle'), 1)
})

test('a region with few slots sends most of its guests where slots are left', () => {
  const weights = weighRegions({ home: 'south', slots, demand: even })
  near(weights.get('south'), 0.36, 0.01)
  assert.ok(weights.get('middle')! > weights.get('north')!)
  near([...weights.values()].reduce((sum, weight) => sum + weight, 0), 1, 1e-9)
})

test('no region is filled far above the others, whichever region has few slots', () => {
  const loads = new Map<string, number>()
  for (const home of slots.keys()) {
    for (const [region, weight] of weighRegions({ home, slots, demand: even })) loads.set(region, (loads.get(region) ?? 0) + weight / 3)
  }
  for (const [region, load] of loads) assert.ok(load <= 1.25 * slots.get(region)! / 180, `${region} carries ${load}`)
})

test('guests whose region has lost its slots are served elsewhere', () => {
  const left = new Map([['north', 72], ['middle', 90]])
  const weights = weighRegions({ home: 'south', slots: left, demand: even })
  near(weights.get('north')! + weights.get('middle')!, 1, 1e-9)
})

test('a region alone keeps all, also while no demand is known', () => {
  assert.deepEqual([...weighRegions({ home: 'north', slots: new Map([['north', 4]]), demand: new Map() })], [['north', 1]])
})

test('objects are spread by weight, and a change of weights moves only as many as it must', () => {
  const objects = Array.from({ length: 2_000 }, (_, number) => hashKey(`object-${number}`))
  const before = new Map([['north', 0.2], ['south', 0.8]])
  const after = new Map([['north', 0.3], ['south', 0.7]])
  const firsts = (weights: Map<string, number>): string[] => objects.map((object) => orderRegions(object, weights)[0]!)
  const old = firsts(before)
  near(old.filter((region) => region === 'north').length / objects.length, 0.2, 0.03)
  const moved = firsts(after).filter((region, index) => region !== old[index])
  near(moved.length / objects.length, 0.1, 0.03)
  assert.ok(moved.every((region) => region === 'north'))
})
