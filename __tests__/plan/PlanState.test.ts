import assert from 'node:assert/strict'
import { test } from 'node:test'
import { PlanEntryKind } from '../../src/plan/PlanEntry.js'
import { PlanResult } from '../../src/plan/PlanResult.js'
import { PlanState } from '../../src/plan/PlanState.js'
import { createSubmission } from './createPlan.js'

function submit (state: PlanState, version: number, baseVersion: number, variant = ''): PlanResult {
  return state.apply({ kind: PlanEntryKind.Submit, submission: createSubmission(version, baseVersion, variant) }, version)
}

test('of two plans that are based on the same version, the first wins and the other never comes into force', () => {
  const state = new PlanState()
  assert.equal(submit(state, 2, 0), PlanResult.Accepted)
  assert.equal(submit(state, 5, 2, 'a'), PlanResult.Accepted)
  assert.equal(submit(state, 5, 2, 'b'), PlanResult.OtherBase)
  assert.equal(state.current?.document, 'document 5 a')
})

test('an accepted plan that is sent again is accepted again, even after newer ones', () => {
  const state = new PlanState()
  submit(state, 2, 0)
  submit(state, 4, 2)
  assert.equal(submit(state, 2, 0), PlanResult.Accepted)
  assert.equal(state.plan?.version, 4)
})

test('a version that does not increase is refused', () => {
  const state = new PlanState()
  submit(state, 4, 0)
  assert.equal(submit(state, 4, 4, 'same'), PlanResult.OldVersion)
  assert.equal(submit(state, 3, 4), PlanResult.OldVersion)
})

test('a restored state has the plan, the accepted submissions and the evacuations', () => {
  const state = new PlanState()
  submit(state, 2, 0)
  submit(state, 4, 2)
  state.apply({ kind: PlanEntryKind.Evacuate, domain: 'gijon' }, 7)
  const restored = new PlanState()
  restored.restore(JSON.parse(JSON.stringify(state.snapshot())))
  assert.equal(submit(restored, 2, 0), PlanResult.Accepted)
  assert.equal(restored.plan?.version, 4)
  assert.deepEqual(restored.evacuated, ['gijon'])
  assert.equal(restored.evacuationRevision, 7)
})

test('an evacuation ends with the return of its failure domain', () => {
  const state = new PlanState()
  state.apply({ kind: PlanEntryKind.Evacuate, domain: 'gijon' }, 1)
  state.apply({ kind: PlanEntryKind.Evacuate, domain: 'oviedo' }, 2)
  state.apply({ kind: PlanEntryKind.Return, domain: 'gijon' }, 3)
  assert.deepEqual(state.evacuated, ['oviedo'])
})

test('an evacuation order on an old revision changes nothing, unless its failure domain is in the ordered state', () => {
  const state = new PlanState()
  state.apply({ kind: PlanEntryKind.Evacuate, domain: 'gijon', baseRevision: 0 }, 1)
  state.apply({ kind: PlanEntryKind.Return, domain: 'gijon', baseRevision: 1 }, 2)
  state.apply({ kind: PlanEntryKind.Evacuate, domain: 'gijon', baseRevision: 2 }, 3)
  assert.equal(state.apply({ kind: PlanEntryKind.Return, domain: 'gijon', baseRevision: 1 }, 4), PlanResult.OtherBase)
  assert.deepEqual([state.evacuated, state.evacuationRevision], [['gijon'], 3])
  assert.equal(state.apply({ kind: PlanEntryKind.Evacuate, domain: 'gijon', baseRevision: 0 }, 5), PlanResult.Accepted, 'an accepted order that is sent again')
  assert.equal(state.apply({ kind: PlanEntryKind.Return, domain: 'gijon' }, 6), PlanResult.Accepted, 'an entry of an earlier version')
})
