import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import type { PlaceShare } from '../../src/steering/PlaceShare.js'
import { ShareRamp } from '../../src/steering/ShareRamp.js'
import { pauseClock } from '../support/pauseClock.js'
import { PLACES, createSheet } from './createSheet.js'

const PROPERTY_OPTIONS = { seed: 20261204, numRuns: 60 }
const STEP_MILLISECONDS = 250
const MAXIMUM_STEP = 1 / 20 + 1e-9

function findFraction (shares: PlaceShare[], place: string): number {
  return shares.find((share) => share.place === place)?.fraction ?? 0
}

function sumFractions (shares: PlaceShare[]): number {
  return shares.reduce((sum, { fraction }) => sum + fraction, 0)
}

test('the first sheet takes effect at once, and guests of no block have the shares of "*"', () => {
  const ramp = new ShareRamp()
  assert.deepEqual(ramp.sharesOf('desk', 'a1'), [])
  ramp.apply(createSheet())
  assert.equal(findFraction(ramp.sharesOf('desk', 'a1'), 'a1'), 0.9)
  assert.equal(ramp.sharesOf('desk', undefined).length, 6)
  assert.deepEqual(ramp.sharesOf('desk', 'b1'), ramp.sharesOf('desk', undefined))
  assert.deepEqual(ramp.sharesOf('shop', 'a1'), [])
})

test('shares move to those of a new sheet in steps, and reach them', (context) => {
  pauseClock(context)
  const ramp = new ShareRamp()
  ramp.apply(createSheet())
  ramp.apply(createSheet({ number: 2, shares: { a1: 10, b1: 90 } }))
  const fractions: number[] = []
  for (let step = 0; step <= 20; step++) {
    fractions.push(Math.round(findFraction(ramp.sharesOf('desk', 'a1'), 'a1') * 1000) / 1000)
    context.mock.timers.tick(STEP_MILLISECONDS)
  }
  assert.deepEqual(fractions.slice(0, 3), [0.9, 0.86, 0.82])
  assert.deepEqual(ramp.sharesOf('desk', 'a1'), [{ place: 'a1', fraction: 0.1 }, { place: 'b1', fraction: 0.9 }])
})

test('a draining place loses its share at once, and the others take it over in proportion', (context) => {
  pauseClock(context)
  const ramp = new ShareRamp()
  ramp.apply(createSheet({ shares: { a1: 50, a2: 30, b1: 20 } }))
  ramp.apply(createSheet({ number: 2, shares: { a1: 50, a2: 30, b1: 20 }, draining: ['a1'] }))
  const shares = ramp.sharesOf('desk', 'a1')
  assert.deepEqual(shares.map(({ place }) => place).toSorted(), ['a2', 'b1'])
  assert.ok(Math.abs(findFraction(shares, 'a2') - 0.6) < 1e-9)
})

test('if only last resorts are open, they get equal shares', () => {
  const ramp = new ShareRamp()
  ramp.apply(createSheet({ shares: { a1: 1, b1: 0, c1: 0 }, draining: ['a1'] }))
  assert.deepEqual(ramp.sharesOf('desk', 'a1'), [{ place: 'b1', fraction: 0.5 }, { place: 'c1', fraction: 0.5 }])
})

test('an opened place gains no more than one step at a time', (context) => {
  pauseClock(context)
  const ramp = new ShareRamp()
  ramp.apply(createSheet({ draining: ['a1'] }))
  ramp.apply(createSheet({ number: 2 }))
  assert.equal(findFraction(ramp.sharesOf('desk', 'a1'), 'a1'), 0)
  context.mock.timers.tick(STEP_MILLISECONDS)
  assert.ok(findFraction(ramp.sharesOf('desk', 'a1'), 'a1') <= MAXIMUM_STEP)
})

test('for any sheets at any times, each step is bounded, and draining places have no share', (context) => {
  pauseClock(context)
  const change = fc.record({
    shares: fc.array(fc.integer({ min: 0, max: 9 }), { minLength: 6, maxLength: 6 }),
    draining: fc.subarray(PLACES, { maxLength: 5 }),
    steps: fc.integer({ min: 0, max: 25 })
  })
  fc.assert(fc.property(fc.array(change, { minLength: 1, maxLength: 6 }), (changes) => {
    const ramp = new ShareRamp()
    let before: PlaceShare[] = []
    for (const [index, { shares, draining, steps }] of changes.entries()) {
      const requestedShares = Object.fromEntries(PLACES.map((place, position) => [place, shares[position]!]))
      ramp.apply(createSheet({ number: index + 1, shares: requestedShares, draining }))
      const after = ramp.sharesOf('desk', 'a1')
      const hasDrained = before.some(({ place, fraction }) => fraction > 0 && draining.includes(place))
      if (index > 0 && !hasDrained) for (const place of PLACES) assert.ok(Math.abs(findFraction(after, place) - findFraction(before, place)) < 1e-9)
      before = after
      for (let step = 0; step < steps; step++) {
        context.mock.timers.tick(STEP_MILLISECONDS)
        const now = ramp.sharesOf('desk', 'a1')
        assert.ok(Math.abs(sumFractions(now) - 1) < 1e-9)
        assert.ok(now.every(({ place }) => !draining.includes(place)))
        for (const place of PLACES) assert.ok(Math.abs(findFraction(now, place) - findFraction(before, place)) <= MAXIMUM_STEP)
        before = now
      }
    }
  }), PROPERTY_OPTIONS)
})
