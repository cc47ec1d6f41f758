import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { digestOf } from '../../src/agreement/sheets/digestOf.js'
import type { SheetEntry } from '../../src/agreement/sheets/SheetEntry.js'
import { SheetEntryKind } from '../../src/agreement/sheets/SheetEntryKind.js'
import { SheetState } from '../../src/agreement/sheets/SheetState.js'
import { SubmitResult } from '../../src/agreement/sheets/SubmitResult.js'

const SEED = 20_261_204
const LIMITS = { rememberedSheets: 200, listedSheets: 3, keptContents: 3, keptContentBytes: 100 }

function createEntry (number: number, content = `sheet ${number}`, packedContent = content): SheetEntry {
  return { kind: SheetEntryKind.Submit, number, digest: digestOf(content), operator: 'ana', submittedAt: number * 10, packedContent }
}

test('a number older than the archived sheets is answered as forgotten, an archived one as before', () => {
  const state = new SheetState(LIMITS)
  for (let number = 1; number <= 300; number += 1) state.apply(createEntry(number * 2))
  const cases = [
    { number: 2, content: 'sheet 2', result: SubmitResult.Forgotten },
    { number: 200, content: 'sheet 200', result: SubmitResult.Forgotten },
    { number: 202, content: 'sheet 202', result: SubmitResult.AcceptedBefore },
    { number: 202, content: 'other', result: SubmitResult.Conflict },
    { number: 203, content: 'sheet 203', result: SubmitResult.Stale },
    { number: 600, content: 'sheet 600', result: SubmitResult.AcceptedBefore }
  ]
  for (const { number, content, result } of cases) assert.equal(state.apply(createEntry(number, content)).result, result, `${number} ${content}`)
  assert.deepEqual(state.apply(createEntry(202)).accepted, { number: 202, digest: digestOf('sheet 202'), revision: 101, acceptedAt: 2_020 })
})

test('contents are retained up to the maximum count and bytes, and the current one always', () => {
  const state = new SheetState(LIMITS)
  for (const [index, size] of [40, 40, 40, 70, 500].entries()) state.apply(createEntry(index + 1, `${index}`, 'x'.repeat(size)))
  assert.deepEqual([1, 2, 3, 4, 5].filter((revision) => state.findPackedContent(revision) !== undefined), [4, 5])
})

const submissions = fc.array(fc.record({ number: fc.integer({ min: 1, max: 300 }), content: fc.constantFrom('a', 'b') }), { maxLength: 80 })

test('a state restored from a snapshot decides every later submission as the original does', () => {
  fc.assert(fc.property(submissions, submissions, (before, after) => {
    const limits = { ...LIMITS, rememberedSheets: 5 }
    const original = new SheetState(limits)
    for (const { number, content } of before) original.apply(createEntry(number, content))
    const restored = new SheetState(limits)
    restored.restore(JSON.parse(JSON.stringify(original.snapshot())))
    for (const { number, content } of after) assert.deepEqual(restored.apply(createEntry(number, content)), original.apply(createEntry(number, content)))
    assert.deepEqual(restored.snapshot(), original.snapshot())
  }), { seed: SEED, numRuns: 300 })
})

test('revisions increase by one, and one number never has two contents', () => {
  fc.assert(fc.property(submissions, (list) => {
    const state = new SheetState()
    const digests = new Map<number, string>()
    let revision = 0
    for (const { number, content } of list) {
      const { result, accepted } = state.apply(createEntry(number, content))
      if (result === SubmitResult.Accepted) assert.equal(accepted?.revision, revision += 1)
      if (accepted !== undefined) assert.equal(digests.get(number) ?? accepted.digest, accepted.digest)
      if (accepted !== undefined) digests.set(number, accepted.digest)
    }
  }), { seed: SEED, numRuns: 300 })
})
