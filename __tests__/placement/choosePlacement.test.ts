import assert from 'node:assert/strict'
import { test } from 'node:test'
import { choosePlacement } from '../../src/placement/choosePlacement.js'

interface Candidate {
  name: string
  utilization: number
  isCold: boolean
  isWarm: boolean
}

function createCandidates (...utilizations: number[]): Candidate[] {
  return utilizations.map((utilization, index) => ({ name: `u${index}`, utilization, isCold: false, isWarm: false }))
}

test('an object stays on its first upstream while that has free slots', () => {
  assert.equal(choosePlacement(createCandidates(0.5, 0, 0))?.name, 'u0')
})

test('an object moves to its second upstream if the first has a queue and the second a free slot', () => {
  assert.equal(choosePlacement(createCandidates(1.5, 0.8, 0))?.name, 'u1')
  assert.equal(choosePlacement(createCandidates(1.6, 1.7, 0))?.name, 'u0')
})

test('upstreams that have handled the object recently share its load before another one runs it cold', () => {
  const [first, second, third, fourth] = createCandidates(1.2, 0, 0.4, 1.1)
  third!.isWarm = true
  fourth!.isWarm = true
  assert.equal(choosePlacement([first!, second!, third!, fourth!])?.name, 'u2')
  first!.utilization = 0.9
  assert.equal(choosePlacement([first!, second!, third!, fourth!])?.name, 'u0')
})

test('a request waits briefly where its object is warm rather than run cold at once', () => {
  assert.equal(choosePlacement(createCandidates(1.4, 0))?.name, 'u0')
})

test('an object has at most two upstreams: requests that they cannot take are refused, not run cold elsewhere', () => {
  assert.equal(choosePlacement(createCandidates(2, 2, 0)), undefined)
  assert.equal(choosePlacement(createCandidates(2, 2.5, 3)), undefined)
  assert.equal(choosePlacement([]), undefined)
})

test('cold upstreams are used only while there are no others', () => {
  const cold = { name: 'cold', utilization: 0, isCold: true, isWarm: false }
  assert.equal(choosePlacement([cold, ...createCandidates(0.9)])?.name, 'u0')
  assert.equal(choosePlacement([cold, ...createCandidates(1.9)])?.name, 'u0')
  assert.equal(choosePlacement([cold])?.name, 'cold')
})
