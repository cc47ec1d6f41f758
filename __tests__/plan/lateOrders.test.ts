import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { ProposalOutcome } from '../../src/agreement/ProposalOutcome.js'
import { PlanEntryKind, type PlanEntry } from '../../src/plan/PlanEntry.js'
import { PlanRegistry } from '../../src/plan/PlanRegistry.js'
import { PlanResult } from '../../src/plan/PlanResult.js'
import { PlanState } from '../../src/plan/PlanState.js'
import { pause } from '../../src/utils/pause.js'
import { advance, pauseClock } from '../support/pauseClock.js'
import { createSubmission } from './createPlan.js'

/** Delay to a control host in another region, one way. */
const DELAY_MILLISECONDS = 55
const OPERATOR_TIMEOUT_MILLISECONDS = 1_000
const ACKNOWLEDGE_MILLISECONDS = 5_000
const CONCURRENT_ORDERS = 8
const silentLog = { info: () => {}, warn: () => {}, error: () => {} }

/** A registry whose replica applies each entry at once, or after a delay; other hosts' entries come in by `commit`. */
function createRegistry (delayMilliseconds = 0): { state: PlanState, registry: PlanRegistry, commit: (entry: PlanEntry) => PlanResult, entries: PlanEntry[] } {
  const state = new PlanState()
  const entries: PlanEntry[] = []
  const commit = (entry: PlanEntry): PlanResult => state.apply(entry, entries.push(entry))
  const propose = async (entry: PlanEntry) => {
    if (delayMilliseconds > 0) await pause(delayMilliseconds)
    const answer = { outcome: ProposalOutcome.Committed, result: commit(entry), index: entries.length }
    if (delayMilliseconds > 0) await pause(delayMilliseconds)
    return answer
  }
  return { state, commit, entries, registry: new PlanRegistry({ state, propose, waitApplied: async () => true, log: silentLog }) }
}

// Guards against an evacuation that a late order takes back, though its caller was answered by another host long ago.
test('an order whose caller was answered elsewhere, and left, is not carried out', async () => {
  const { registry, state, commit } = createRegistry()
  commit({ kind: PlanEntryKind.Evacuate, domain: 'gijon' })
  let checks = 0
  const result = await registry.evacuate('gijon', false, async () => {
    checks += 1
    if (checks > 1) return false
    // Between this check and the proposal, the same order and a new evacuation are accepted by other hosts.
    commit({ kind: PlanEntryKind.Return, domain: 'gijon' })
    commit({ kind: PlanEntryKind.Evacuate, domain: 'gijon' })
    return true
  })
  assert.equal(result, PlanResult.Abandoned)
  assert.deepEqual(state.evacuated, ['gijon'])
})

test('an order beside orders on other failure domains is based on the newer evacuations, and accepted', async () => {
  const { registry, state, commit } = createRegistry()
  let checks = 0
  const result = await registry.evacuate('gijon', true, async () => {
    checks += 1
    if (checks < 3) commit({ kind: PlanEntryKind.Evacuate, domain: `other-${checks}` })
    return true
  })
  assert.equal(result, PlanResult.Accepted)
  assert.deepEqual(state.evacuated, ['other-1', 'other-2', 'gijon'])
})

test('nothing is submitted for a caller that has left', async () => {
  const { registry, entries } = createRegistry()
  assert.equal(await registry.evacuate('gijon', true, async () => false), PlanResult.Abandoned)
  assert.equal((await registry.submit(createSubmission(1, 0), async () => false)).result, PlanResult.Abandoned)
  assert.deepEqual(entries, [])
})

for (const closedAfter of [6, 116]) {
  // Guards against a late copy of an order that takes back a later one: the end of its connection comes a round trip behind it.
  test(`an order whose caller closes its connection ${closedAfter} ms after its arrival is not carried out`, async (context: TestContext) => {
    pauseClock(context)
    const { registry, state, commit } = createRegistry()
    commit({ kind: PlanEntryKind.Evacuate, domain: 'gijon' })
    const arrivedAt = performance.now()
    const ordered = registry.evacuate('gijon', false, async () => performance.now() - arrivedAt < closedAfter)
    await advance(context, OPERATOR_TIMEOUT_MILLISECONDS)
    assert.equal(await ordered, PlanResult.Abandoned)
    assert.deepEqual(state.evacuated, ['gijon'])
  })
}

// Guards against a late copy that is taken for an order without effect by a host that does not know the later order yet.
test('an order that changes nothing on a host that lags is not carried out on the later order, either', async (context: TestContext) => {
  pauseClock(context)
  const { registry, state, commit } = createRegistry(DELAY_MILLISECONDS)
  const arrivedAt = performance.now()
  const ordered = registry.evacuate('gijon', false, async () => performance.now() - arrivedAt < 2 * DELAY_MILLISECONDS + 10)
  commit({ kind: PlanEntryKind.Evacuate, domain: 'gijon' })
  await advance(context, OPERATOR_TIMEOUT_MILLISECONDS)
  assert.equal(await ordered, PlanResult.Abandoned)
  assert.deepEqual(state.evacuated, ['gijon'])
})

// Guards against an order that a host which was cut off from its caller and the others goes on with after the cut.
test('an order whose caller must have given up is not based on newer evacuations, though no end of its connection came', async (context: TestContext) => {
  pauseClock(context)
  const { registry, state, commit } = createRegistry(3_000)
  commit({ kind: PlanEntryKind.Evacuate, domain: 'gijon' })
  const ordered = registry.evacuate('gijon', false)
  await advance(context, 2_000)
  commit({ kind: PlanEntryKind.Return, domain: 'gijon' })
  commit({ kind: PlanEntryKind.Evacuate, domain: 'gijon' })
  await advance(context, 30_000)
  assert.equal(await ordered, PlanResult.Abandoned)
  assert.deepEqual(state.evacuated, ['gijon'])
})

// Guards against a wait that leaves too little time to acknowledge orders that are based on each other.
test('eight orders at once are acknowledged in time at the distance of another region', async (context: TestContext) => {
  pauseClock(context)
  const { registry, state } = createRegistry(2 * DELAY_MILLISECONDS)
  const domains = Array.from({ length: CONCURRENT_ORDERS }, (_, index) => `domain-${index}`)
  const acknowledgedAfter: number[] = []
  const order = async (domain: string): Promise<void> => {
    const startedAt = performance.now()
    let result: PlanResult | undefined
    while (result !== PlanResult.Accepted) {
      const sentAt = performance.now()
      const hasLeft = (): boolean => performance.now() - sentAt >= OPERATOR_TIMEOUT_MILLISECONDS
      result = await Promise.race([registry.evacuate(domain, true, async () => !hasLeft()), pause(OPERATOR_TIMEOUT_MILLISECONDS).then(() => undefined)])
    }
    acknowledgedAfter.push(performance.now() - startedAt)
  }
  const ordered = Promise.all(domains.map(order))
  await advance(context, ACKNOWLEDGE_MILLISECONDS)
  assert.equal(acknowledgedAfter.length, CONCURRENT_ORDERS, `acknowledged after ${acknowledgedAfter.map(Math.round).join(', ')} ms`)
  await ordered
  assert.deepEqual([...state.evacuated].sort(), domains)
})
