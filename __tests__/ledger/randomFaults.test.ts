import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { ClaimResult } from '../../src/ledger/ClaimLedger.js'
import type { QuorumLedger } from '../../src/ledger/QuorumLedger.js'
import { LedgerFixture, createSeededRandom } from './LedgerFixture.js'

const CLAIMANTS = ['x', 'y', 'z']
const TIMINGS = { reconfigureAfterMilliseconds: 800, sealAfterMilliseconds: 1_200, openAfterMilliseconds: 300, openAloneAfterMilliseconds: 700, runMilliseconds: 2_000 }
const STEPS = 120
const STEP_MILLISECONDS = 50
const RUNS = 25

/** Sends a few keys repeatedly through three claimants while members, links and claimants fail at random. */
async function runWithRandomFaults (context: TestContext, members: number, seed: number): Promise<Map<ClaimResult, number>> {
  const fixture = new LedgerFixture(context, members, seed, {}, TIMINGS)
  const random = createSeededRandom(seed + 1_000)
  const pick = <Item>(items: Item[]): Item => items[Math.floor(random() * items.length)]!
  const results = new Map<ClaimResult, number>()
  const brokenLinks = new Set<string>()
  const keys: string[] = []
  await fixture.startAll()
  fixture.network.route = ({ from, to }) => {
    if (brokenLinks.has(`${from},${to}`) || random() < 0.03) return undefined
    return { delayMilliseconds: random() < 0.1 ? random() * 600 : random() * 10, copies: random() < 0.05 ? 2 : 1 }
  }
  const ledgers = new Map<string, QuorumLedger>(CLAIMANTS.map((address) => [address, fixture.createClaimant(address)]))
  const pending: Array<Promise<void>> = []
  for (let step = 0; step < STEPS; step++) {
    const chance = random()
    if (chance < 0.04) fixture.startMember(pick(fixture.hosts))
    if (chance > 0.98) fixture.stopMember(pick(fixture.hosts))
    if (chance > 0.5 && chance < 0.53) brokenLinks.add(`${pick([...fixture.hosts, ...CLAIMANTS])},${pick(fixture.hosts)}`)
    if (chance > 0.6 && chance < 0.65) brokenLinks.clear()
    if (chance > 0.7 && chance < 0.71) ledgers.set('z', fixture.createClaimant('z'))
    const ledger = ledgers.get(pick(CLAIMANTS))!
    if (step % 15 === 0) {
      const key = await fixture.createKey(ledger)
      if (key !== undefined) keys.push(key)
    }
    if (keys.length > 0) {
      pending.push(fixture.send(ledger, pick(keys.slice(-3))).then(({ result }) => { results.set(result, (results.get(result) ?? 0) + 1) }))
    }
    await fixture.advance(STEP_MILLISECONDS, STEP_MILLISECONDS / 10)
  }
  await fixture.advanceUntilSettled(Promise.all(pending))
  fixture.checkRuns()
  return results
}

for (const members of [1, 2, 3]) {
  test(`under random faults no key runs twice, and every answer is truthful: ${members} member(s), ${RUNS} seeds`, async (context) => {
    const total = new Map<ClaimResult, number>()
    for (let seed = 1; seed <= RUNS; seed++) {
      await context.test(`seed ${seed}`, async (inner) => {
        for (const [result, count] of await runWithRandomFaults(inner, members, seed)) total.set(result, (total.get(result) ?? 0) + count)
      })
    }
    context.diagnostic(JSON.stringify([...total]))
    assert.ok((total.get(ClaimResult.Granted) ?? 0) > RUNS)
  })
}
