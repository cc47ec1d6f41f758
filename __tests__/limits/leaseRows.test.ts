import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import fc from 'fast-check'
import { BudgetLeaseClient } from '../../src/limits/BudgetLeaseClient.js'
import { BudgetLeaseHolder } from '../../src/limits/BudgetLeaseHolder.js'
import type { LeaseAnswer, LeaseRequest } from '../../src/limits/LeaseMessages.js'
import { packLeaseAnswer, packLeaseRequest, unpackLeaseAnswer, unpackLeaseRequest } from '../../src/limits/leaseRows.js'
import { DEFAULT_LEASE_TIMINGS } from '../../src/limits/LeaseTimings.js'
import { computeRenewInterval } from '../../src/limits/computeRenewInterval.js'
import { Counters } from '../../src/observe/Counters.js'
import { MemberState } from '../../src/types/MemberState.js'
import { pauseClock } from '../support/pauseClock.js'

const SEED = 20261204
const amounts = fc.double({ min: 0, max: 1e9, noNaN: true })

test('rows never understate held amounts or overstate lent and granted ones, and round by at most a hundredth', () => {
  const demandWithGrant = fc.record({ wantedPerSecond: fc.nat(), heldPerSecond: amounts, lentPerSecond: amounts, granted: fc.option(amounts) })
  fc.assert(fc.property(fc.array(demandWithGrant), (cases) => {
    const demands = cases.map(({ granted, ...demandFields }, index) => ({ budget: `budget-${index}`, ...demandFields }))
    const grants = cases.flatMap(({ granted }, index) => granted === null ? [] : [{ budget: `budget-${index}`, amountPerSecond: granted }])
    const request = packLeaseRequest({ scope: 'scope', client: 'client', serial: 1, term: 'term', answeredAt: 1, demands })
    const unpackedDemands = unpackLeaseRequest(JSON.parse(JSON.stringify(request)) as LeaseRequest).demands
    const answer = JSON.parse(JSON.stringify(packLeaseAnswer(request, { term: 'term', holder: 'holder', time: 1, grants }))) as LeaseAnswer
    const granted = unpackLeaseAnswer(request, answer).grants
    assert.deepEqual(unpackedDemands.map(({ budget, wantedPerSecond }) => [budget, wantedPerSecond]), demands.map(({ budget, wantedPerSecond }) => [budget, wantedPerSecond]))
    unpackedDemands.forEach(({ heldPerSecond, lentPerSecond }, index) => {
      assertJustBelow(demands[index]!.heldPerSecond, heldPerSecond)
      assertJustBelow(lentPerSecond, demands[index]!.lentPerSecond)
    })
    assert.deepEqual(granted.map(({ budget }) => budget), grants.map(({ budget }) => budget))
    granted.forEach(({ amountPerSecond }, index) => assertJustBelow(amountPerSecond, grants[index]!.amountPerSecond))
  }), { seed: SEED, numRuns: 500 })
})

function assertJustBelow (lower: number, upper: number): void {
  assert.ok(lower <= upper && upper - lower < 0.0101, `${lower} and ${upper}`)
}

/** Renews the leases of a client at a stand-in holder once per answer. Returns the requests that the holder received. */
async function renewWithAnswers (context: TestContext, answers: LeaseAnswer[]): Promise<LeaseRequest[]> {
  pauseClock(context)
  const requests: LeaseRequest[] = []
  const scope = { name: 'scope', consumers: ['own', 'holder'], voters: ['own', 'holder'], isQuorum: () => false }
  const host = { name: 'holder', domain: 'gijon', region: 'asturias', peerAddress: 'holder', guestAddress: '' }
  const settings = {
    self: 'own',
    scopes: [scope],
    members: () => [{ host, state: MemberState.Alive, incarnation: 1, version: 1, details: { draining: false, sheetNumber: 1, pools: [] } }],
    callPeer: async <Result>(_: string, __: string, request: object) => {
      requests.push(request as LeaseRequest)
      return answers[requests.length - 1] as Result
    },
    registerHandler: () => {},
    log: { info: () => {}, warn: () => {}, error: () => {} },
    counters: new Counters()
  }
  const client = new BudgetLeaseClient(scope, settings, DEFAULT_LEASE_TIMINGS, new BudgetLeaseHolder(scope, settings, DEFAULT_LEASE_TIMINGS))
  client.setBudgets([{ name: 'budget', amountPerSecond: 100, unit: 1 }])
  while (requests.length < answers.length) await client.renew()
  return requests
}

test('rows are sent only to a holder that declared in its current term that it reads them', async (context) => {
  const rowReadingAnswer: LeaseAnswer = { term: 'first', holder: 'holder', time: 1, grants: [], readsRows: true }
  const otherTermAnswer: LeaseAnswer = { term: 'second', holder: 'holder', time: 1, grants: [] }
  const granted: LeaseAnswer = { ...rowReadingAnswer, amounts: [20] }
  const requests = await renewWithAnswers(context, [rowReadingAnswer, granted, otherTermAnswer, otherTermAnswer, otherTermAnswer])
  assert.deepEqual(requests.map(({ rows, demands }) => [rows?.length ?? 0, demands.length]), [[0, 1], [1, 0], [1, 0], [0, 1], [0, 1]])
  assert.equal(requests[2]!.rows![0]![2], 20)
})

for (const [hostCount, milliseconds] of [[1, 500], [16, 500], [35, 500], [50, 700], [178, 1000], [3200, 1000]] as const) {
  test(`${hostCount} hosts renew every ${milliseconds} ms, so that a loan outlasts one lost renewal`, () => {
    assert.equal(computeRenewInterval(DEFAULT_LEASE_TIMINGS, hostCount), milliseconds)
  })
}
