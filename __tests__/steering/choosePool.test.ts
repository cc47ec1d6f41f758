import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { MemberState } from '../../src/hibiscusrelay.js'
import { choosePool, type PoolChoice } from '../../src/steering/choosePool.js'
import { listPoolCandidates } from '../../src/steering/listPoolCandidates.js'
import type { PoolCandidate } from '../../src/steering/PoolCandidate.js'
import { createMember } from './createMember.js'
import { PLACES, createSheet } from './createSheet.js'

const PROPERTY_OPTIONS = { seed: 20261204, numRuns: 300 }
const ROUND_TRIPS = [1, 3, 50]
const HOME = { domain: 'a1', region: 'a' }

function createRandom (seed: number): () => number {
  const generator = xoroshiro128plus(seed)
  return () => uniformFloat64(generator)
}

function createCandidates (places: string[]): PoolCandidate[] {
  return places.map((place) => ({ owner: `${place}-1`, place, domain: place, region: place[0]! }))
}

function getTierIndex (candidate: PoolCandidate): number {
  return candidate.domain === 'a1' ? 0 : candidate.region === 'a' ? 1 : 2
}

/** Creates a choice in which `free` has the free slots of each place; each waiting request costs 10 ms. */
function createChoice (free: Record<string, number>, changes: Partial<PoolChoice> = {}): PoolChoice {
  return {
    from: HOME,
    shares: PLACES.map((place) => ({ place, fraction: { a1: 0.9, a2: 0.1 }[place] ?? 0 })),
    candidates: createCandidates(PLACES),
    excluded: new Set(),
    full: new Set(),
    view: {
      freeSlots: (owner) => free[owner.slice(0, 2)] ?? 6,
      delayMilliseconds: (candidate) => ROUND_TRIPS[getTierIndex(candidate)]! + 10 * Math.max(0, 1 - (free[candidate.place] ?? 6))
    },
    random: createRandom(1),
    ...changes
  }
}

const fillPlaces = (waiting: number, places: string[]) => Object.fromEntries(places.map((place) => [place, -waiting]))

const CASES: Array<{ name: string, free: Record<string, number>, excluded?: string[], random?: number, place: string | undefined }> = [
  { name: 'the planned place with a free slot', free: {}, place: 'a1' },
  { name: 'the other planned place by its share', free: {}, random: 0.95, place: 'a2' },
  { name: 'the sibling when the planned place is full', free: fillPlaces(2, ['a1']), place: 'a2' },
  { name: 'the planned place when waiting is shorter than the round trip', free: fillPlaces(1, ['a1', 'a2']), place: 'a1' },
  { name: 'a last resort when waiting is longer than the round trip', free: fillPlaces(20, ['a1', 'a2', 'b1', 'b2', 'c1']), excluded: ['b1-1', 'b2-1', 'c1-1'], place: 'c2' },
  { name: 'the shortest queue when all are full', free: { ...fillPlaces(40, PLACES), a2: -30 }, place: 'a2' },
  { name: 'a last resort when the planned ones are excluded', free: {}, excluded: ['a1-1', 'a2-1', 'b1-1', 'b2-1', 'c2-1'], place: 'c1' },
  { name: 'none when all are excluded', free: {}, excluded: PLACES.map((place) => `${place}-1`), place: undefined }
]

for (const { name, free, excluded = [], random = 0, place } of CASES) {
  test(`the chosen place is ${name}`, () => {
    assert.equal(choosePool(createChoice(free, { excluded: new Set(excluded), random: () => random }))?.pool.place, place)
  })
}

test('the chosen pool is a candidate, neither excluded nor unplanned, and the same for the same random numbers', () => {
  const places = fc.subarray(PLACES)
  fc.assert(fc.property(fc.dictionary(fc.constantFrom(...PLACES), fc.integer({ min: -20, max: 6 })), places, places, places, fc.nat(), (free, open, excluded, shared, seed) => {
    const changes = {
      candidates: createCandidates(open),
      excluded: new Set(excluded.map((place) => `${place}-1`)),
      shares: shared.map((place, index) => ({ place, fraction: index === 0 ? 0 : 1 }))
    }
    const chosen = choosePool(createChoice(free, { ...changes, random: createRandom(seed) }))
    const usable = open.filter((place) => shared.includes(place) && !excluded.includes(place))
    assert.equal(chosen !== undefined, usable.length > 0)
    assert.ok(chosen === undefined || usable.includes(chosen.pool.place))
    assert.deepEqual(choosePool(createChoice(free, { ...changes, random: createRandom(seed) })), chosen)
  }), PROPERTY_OPTIONS)
})

test('places with free slots get their shares within two percent', () => {
  const random = createRandom(7)
  const counts = new Map<string, number>()
  for (let run = 0; run < 10_000; run++) {
    const { place } = choosePool(createChoice({}, { random }))!.pool
    counts.set(place, (counts.get(place) ?? 0) + 1)
  }
  assert.ok(Math.abs(counts.get('a1')! - 9_000) < 200, `${counts.get('a1')}`)
  assert.equal(counts.get('a1')! + counts.get('a2')!, 10_000)
})

test('when the near places are full, requests spread over the far pools', () => {
  const random = createRandom(7)
  const counts = new Map<string, number>()
  for (let run = 0; run < 4_000; run++) {
    const { place } = choosePool(createChoice(fillPlaces(30, ['a1', 'a2']), { random }))!.pool
    counts.set(place, (counts.get(place) ?? 0) + 1)
  }
  for (const place of ['b1', 'b2', 'c1', 'c2']) assert.ok(Math.abs(counts.get(place)! - 1_000) < 150, `${place}: ${counts.get(place)}`)
})

const WAIT_CASES: Array<{ name: string, changes: Partial<PoolChoice>, free?: Record<string, number>, place: string, mayWait: boolean }> = [
  { name: 'not at a nearby pool that is believed to have free slots', changes: {}, place: 'a1', mayWait: false },
  { name: 'in the queue of the sibling rather than at a cap', changes: { full: new Set(['a1-1']) }, free: fillPlaces(1, ['a2']), place: 'a2', mayWait: true },
  { name: 'at the pool whose slots were taken when the far ones are no better', changes: { full: new Set(['a1-1', 'a2-1']) }, free: fillPlaces(0, ['a1', 'a2']), place: 'a1', mayWait: true },
  { name: 'not at the sibling of a pool at its cap', changes: { full: new Set(['a1-1']) }, place: 'a2', mayWait: false },
  { name: 'in another region when the near ones are at their caps', changes: { full: new Set(['a1-1', 'a2-1']) }, place: 'b1', mayWait: true },
  { name: 'at the planned place when all are at their caps', changes: { full: new Set(PLACES.map((place) => `${place}-1`)) }, place: 'a1', mayWait: true },
  { name: 'at a pool that is believed to be full', changes: { candidates: createCandidates(['a1', 'a2']) }, free: fillPlaces(1, ['a1', 'a2']), place: 'a1', mayWait: true },
  { name: 'at the only pool', changes: { candidates: createCandidates(['a1']) }, place: 'a1', mayWait: true },
  { name: 'in another region', changes: { excluded: new Set(['a1-1', 'a2-1', 'b1-1', 'b2-1', 'c1-1']), candidates: createCandidates([...PLACES, 'd1']), shares: [{ place: 'c2', fraction: 1 }, { place: 'd1', fraction: 0 }] }, place: 'c2', mayWait: true }
]

for (const { name, changes, free = {}, place, mayWait } of WAIT_CASES) {
  test(`a request may wait ${name}`.replace('may wait not', 'may not wait'), () => {
    const chosen = choosePool(createChoice(free, { random: () => 0, ...changes }))
    assert.deepEqual([chosen?.pool.place, chosen?.mayWait], [place, mayWait])
  })
}

test('candidates are pools of live hosts in open places', () => {
  const members = [
    createMember('a1-1'),
    createMember('a1-2', { details: { draining: false, sheetNumber: 1, pools: [] } }),
    createMember('a2-1', { state: MemberState.Suspect }),
    createMember('b1-1', { state: MemberState.Dead }),
    createMember('b2-1'),
    createMember('c1-1', { details: { draining: false, sheetNumber: 1, pools: [{ service: 'desk', upstreams: 0, slots: 0, freeSlots: 0 }] } }),
    createMember('c2-1', {}, true),
    createMember('d1-1')
  ]
  const owners = listPoolCandidates(members, createSheet({ draining: ['b2'] }), 'desk').map(({ owner }) => owner)
  assert.deepEqual(owners, ['a1-1', 'c2-1'])
  assert.deepEqual(listPoolCandidates(members, createSheet(), 'shop'), [])
})
