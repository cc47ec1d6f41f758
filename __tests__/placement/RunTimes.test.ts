import assert from 'node:assert/strict'
import { test } from 'node:test'
import { RouteRunTimes } from '../../src/placement/RouteRunTimes.js'
import { RunTimes } from '../../src/placement/RunTimes.js'

/** Width of a bucket. */
const PRECISION = 1.051

function assertClose (actual: number | undefined, expected: number): void {
  assert.ok(actual !== undefined && actual <= expected * PRECISION && actual >= expected / PRECISION, `${actual} is not about ${expected}`)
}

test('percentiles are those of the recorded runs, up to the width of a bucket', () => {
  const runs = new RunTimes()
  for (let number = 1; number <= 200; number += 1) runs.recordEnd(number * 10)
  for (const fraction of [0.5, 0.9, 0.95, 0.99]) assertClose(runs.findPercentile(fraction), fraction * 2_000)
})

// Guards against percentiles that sink, and second attempts that multiply, because the slow runs are given up.
test('runs that were given up do not lower the percentiles', () => {
  const runs = new RunTimes()
  for (let number = 0; number < 190; number += 1) runs.recordEnd(100)
  for (let number = 0; number < 10; number += 1) runs.recordAbandoned(120)
  for (let number = 0; number < 20; number += 1) runs.recordEnd(700)
  assertClose(runs.findPercentile(0.85), 100)
  assertClose(runs.findPercentile(0.95), 700)
  assertClose(runs.findMedianRemaining(200), 500)
})

test('the time left of a run that has lasted longer than any other is unknown, and so endless', () => {
  const runs = new RunTimes()
  for (let number = 0; number < 100; number += 1) runs.recordEnd(100)
  assert.equal(runs.findMedianRemaining(1_000), Number.POSITIVE_INFINITY)
})

// Guards against a service without second attempts because a part of its runs never ends.
test('a percentile beyond all runs that ended is the longest of them', () => {
  const runs = new RunTimes()
  for (let number = 0; number < 80; number += 1) runs.recordEnd(100)
  for (let number = 0; number < 20; number += 1) runs.recordAbandoned(4_000)
  assertClose(runs.findPercentile(0.95), 100)
})

test('percentiles follow a service that becomes slower within some hundred runs', () => {
  const runs = new RunTimes()
  for (let number = 0; number < 10_000; number += 1) runs.recordEnd(100)
  for (let number = 0; number < 600; number += 1) runs.recordEnd(300)
  assertClose(runs.findPercentile(0.5), 300)
  for (let number = 0; number < 10_000; number += 1) runs.recordEnd(300)
  assertClose(runs.findPercentile(0.001), 300)
})

test('times outside of the buckets count in the first or the last one', () => {
  const runs = new RunTimes()
  for (let number = 0; number < 50; number += 1) runs.recordEnd(0)
  assert.ok(runs.findPercentile(0.5)! < 2)
  for (let number = 0; number < 200; number += 1) runs.recordEnd(10_000_000)
  assert.ok(runs.findPercentile(0.9)! > 100_000)
})

// Guards against memory that grows with each plan that renames its routes.
test('only the runs of recent routes are retained', () => {
  const routes = new RouteRunTimes()
  const first = routes.get('route-0', 'service')
  for (let number = 1; number < 200; number += 1) routes.get(`route-${number}`, 'service')
  assert.notEqual(routes.get('route-0', 'service'), first)
  assert.equal(routes.get('route-199', 'service'), routes.get('route-199', 'service'))
})
