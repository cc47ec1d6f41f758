import assert from 'node:assert/strict'
import { test } from 'node:test'
import { PeakDemand } from '../../src/follow/PeakDemand.js'
import { SmoothedDemand } from '../../src/follow/SmoothedDemand.js'
import { computeRegionWeights } from '../../src/placement/computeRegionWeights.js'

test('demand that is reported to only a part of the control hosts does not fall at once, and a real fall takes effect in seconds', () => {
  const demand = new PeakDemand()
  demand.update({ north: { stock: 60 }, south: { stock: 40 } }, 0)
  demand.update({ north: { stock: 60 } }, 500)
  assert.ok(demand.get('stock', 500) > 85)
  for (let now = 1_000; now <= 10_000; now += 500) demand.update({ north: { stock: 60 } }, now)
  assert.ok(demand.get('stock', 10_000) < 70)
  demand.update({ north: { stock: 120 } }, 10_500)
  assert.equal(demand.get('stock', 10_500), 120)
  assert.equal(demand.get('unknown', 0), 0)
})

test('fractions of regions start equal and follow demand over some seconds', () => {
  const demand = new SmoothedDemand()
  assert.equal(demand.getFractions('stock').size, 0)
  demand.update({ north: { stock: 90 }, south: { stock: 10 } }, 100)
  assert.ok(demand.getFractions('stock').get('north')! < 0.52)
  for (let now = 500; now <= 30_000; now += 500) demand.update({ north: { stock: 90 }, south: { stock: 10 } }, now)
  assert.ok(demand.getFractions('stock').get('north')! > 0.85)
})

/** Maximum fraction of a region's requests that may change region from one window of two seconds to the next. */
const MAXIMUM_SHIFT = 0.15

test('opposite waves of demand move far fewer requests between regions in two seconds than the users allow', () => {
  const demand = new SmoothedDemand()
  const slots = new Map([['north', 90], ['south', 50]])
  let maximumShift = 0
  let previousWeight: number | undefined
  for (let now = 0; now < 72_000; now += 500) {
    const wave = 0.55 * Math.sin(2 * Math.PI * now / 36_000)
    demand.update({ north: { stock: 100 * (1 + wave) }, south: { stock: 100 * (1 - wave) } }, now)
    if (now % 2_000 !== 0) continue
    const southWeight = computeRegionWeights({ home: 'south', slots, demand: demand.getFractions('stock') }).get('south')!
    maximumShift = Math.max(maximumShift, Math.abs(southWeight - (previousWeight ?? southWeight)))
    previousWeight = southWeight
  }
  assert.ok(maximumShift > 0 && maximumShift < MAXIMUM_SHIFT, `${maximumShift} in two seconds`)
})
