import assert from 'node:assert/strict'
import { test } from 'node:test'
import { computeSecondAttemptDelay, decideSecondAttempt, type SecondAttemptQuery, type SecondCandidate } from '../../src/placement/decideSecondAttempt.js'
import { RunTimes } from '../../src/placement/RunTimes.js'
import { SecondDenial } from '../../src/types/SecondDenial.js'

interface NamedCandidate extends SecondCandidate {
  name: string
}

const RUN_COUNT = 200
const WARM_MILLISECONDS = 300
const COLD_MILLISECONDS = 1_000

/** @returns runs of which 12% take 2.5 times as long and 3% seven times as long */
function createNoisyRuns (milliseconds: number): RunTimes {
  const runs = new RunTimes()
  for (let number = 0; number < RUN_COUNT; number += 1) {
    const percent = number % 100
    runs.recordEnd(milliseconds * (percent < 85 ? 1 : percent < 97 ? 2.5 : 7))
  }
  return runs
}

function createCandidate (name: string, overrides: Partial<SecondCandidate> = {}): NamedCandidate {
  return { name, utilization: 0, isWarm: true, isCold: false, regionRank: 0, workPercent: undefined, ...overrides }
}

function decide (overrides: Partial<SecondAttemptQuery<NamedCandidate>>): string {
  const runs = { warm: createNoisyRuns(WARM_MILLISECONDS), other: createNoisyRuns(COLD_MILLISECONDS) }
  const chosen = decideSecondAttempt({ ageMilliseconds: 900, remainingMilliseconds: 5_000, isFirstWarm: true, isObjectBound: true, runs, candidates: [createCandidate('a')], ...overrides })
  return typeof chosen === 'string' ? chosen : chosen.name
}

test('a first attempt counts as slow from the percentile of its kind that leaves the ratio', () => {
  const runs = { warm: createNoisyRuns(WARM_MILLISECONDS), other: createNoisyRuns(COLD_MILLISECONDS) }
  for (const [isWarm, milliseconds] of [[true, 2.5 * WARM_MILLISECONDS], [false, 2.5 * COLD_MILLISECONDS]] as const) {
    const delay = computeSecondAttemptDelay(runs, isWarm, 0.05)!
    assert.ok(delay >= milliseconds && delay <= 1.06 * milliseconds, `${delay} ms`)
  }
  assert.ok(computeSecondAttemptDelay(runs, true, 0.01)! > 6 * WARM_MILLISECONDS)
})

// Guards against second attempts by chance while next to nothing is known.
test('no first attempt counts as slow before enough runs are known', () => {
  const runs = { warm: new RunTimes(), other: new RunTimes() }
  for (let number = 0; number < 39; number += 1) runs.other.recordEnd(100)
  assert.equal(computeSecondAttemptDelay(runs, false, 0.05), undefined)
  runs.other.recordEnd(100)
  assert.notEqual(computeSecondAttemptDelay(runs, false, 0.05), undefined)
  assert.notEqual(computeSecondAttemptDelay(runs, true, 0.05), undefined)
})

test('a run that only shares its machine gets no second attempt, one with seven times the work does', () => {
  assert.equal(decide({ ageMilliseconds: 1.6 * WARM_MILLISECONDS }), SecondDenial.NotFaster)
  assert.equal(decide({ ageMilliseconds: 3 * WARM_MILLISECONDS }), 'a')
})

test('a first attempt that is expected to end soon gets no second one', () => {
  assert.equal(decide({ ageMilliseconds: 6.5 * WARM_MILLISECONDS }), SecondDenial.NotFaster)
})

test('no second attempt begins that would end after the deadline', () => {
  assert.equal(decide({ remainingMilliseconds: WARM_MILLISECONDS - 1 }), SecondDenial.NotFaster)
  assert.equal(decide({ remainingMilliseconds: 1.1 * WARM_MILLISECONDS }), 'a')
})

test('of several upstreams the one with the lowest expected finish is chosen, and of equal ones the first in the order', () => {
  assert.equal(decide({ candidates: [createCandidate('slow', { workPercent: 250 }), createCandidate('usual'), createCandidate('next')] }), 'usual')
  assert.equal(decide({ candidates: [createCandidate('usual'), createCandidate('fast', { workPercent: 80 })] }), 'fast')
  assert.equal(decide({ candidates: [createCandidate('slow', { workPercent: 1_000 })] }), SecondDenial.NotFaster)
})

for (const [name, overrides] of [['cold', { isCold: true }], ['full', { utilization: 1 }]] as const) {
  test(`a ${name} upstream never gets a second attempt`, () => {
    assert.equal(decide({ candidates: [createCandidate('never', overrides)] }), SecondDenial.NoUpstream)
    assert.equal(decide({ candidates: [createCandidate('never', overrides), createCandidate('b')] }), 'b')
  })
}

// Guards against second attempts over the links between regions because near upstreams are full.
test('an upstream in a further region gets no second attempt', () => {
  assert.equal(decide({ candidates: [createCandidate('near', { utilization: 1 }), createCandidate('far', { regionRank: 1 })] }), SecondDenial.NoUpstream)
})

test('an upstream where the object is not warm gets a second attempt only far past the time of a cold run', () => {
  const candidates = [createCandidate('not-warm', { isWarm: false })]
  assert.equal(decide({ candidates, ageMilliseconds: COLD_MILLISECONDS }), SecondDenial.NoUpstream)
  // The first attempt was no warm run either, so that many seconds of it may be left.
  assert.equal(decide({ candidates, isFirstWarm: false, ageMilliseconds: 3 * COLD_MILLISECONDS }), 'not-warm')
  assert.equal(decide({ candidates, isObjectBound: false, isFirstWarm: false, ageMilliseconds: 2.6 * COLD_MILLISECONDS }), 'not-warm')
})
