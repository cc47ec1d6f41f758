import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ProposalOutcome } from '../../src/agreement/ProposalOutcome.js'
import { PlanEntryKind, type PlanEntry } from '../../src/plan/PlanEntry.js'
import { PlanRegistry } from '../../src/plan/PlanRegistry.js'
import { PlanResult } from '../../src/plan/PlanResult.js'
import { PlanState } from '../../src/plan/PlanState.js'
import { createSubmission } from './createPlan.js'

const silentLog = { info: () => {}, warn: () => {}, error: () => {} }

/** A registry whose replica applies each entry at once; other hosts' entries come in by `commit`. */
function createRegistry (): { state: PlanState, registry: PlanRegistry, commit: (entry: PlanEntry) => PlanResult, entries: PlanEntry[] } {
  const state = new PlanState()
  const entries: PlanEntry[] = []
  const commit = (entry: PlanEntry): PlanResult => state.apply(entry, entries.push(entry))
  const propose = async (entry: PlanEntry) => ({ outcome: ProposalOutcome.Committed, result: commit(entry), index: entries.length })
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
