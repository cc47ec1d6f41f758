import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { CrashReport } from '../../src/crashes/CrashReport.js'
import { CrashTable } from '../../src/crashes/CrashTable.js'
import { pauseClock } from '../support/pauseClock.js'

const RETENTION_MILLISECONDS = 600_000

function createReport (lostUpstreams: string[], excusedUpstreams: string[] = []): CrashReport {
  return { requests: [{ fingerprint: 'f', lostUpstreams, excusedUpstreams }], unreachableUpstreams: [] }
}

test('tables that exchange reports in any order, late and twice, become equal', () => {
  const reports = [createReport(['a@1']), createReport(['b@1'], []), createReport(['a@1'], ['a@1']), createReport(['c@1', 'b@1'])]
  const forwards = new CrashTable()
  const backwards = new CrashTable()
  for (const report of [...reports, ...reports]) forwards.merge(report)
  for (const report of [...reports].reverse()) backwards.merge(report)
  const sorted = (table: CrashTable): string[][] => [table.describe('f').lostUpstreams.sort(), table.describe('f').excusedUpstreams.sort()]
  assert.deepEqual(sorted(forwards), sorted(backwards))
  assert.equal(forwards.countLosses('f'), 2)
})

test('a request is poison after three losses, and no more once an upstream ran it completely', () => {
  const table = new CrashTable()
  for (const upstream of ['a@1', 'a@1', 'a@2']) table.recordLoss(upstream, ['f', 'innocent'])
  assert.equal(table.isPoison('f'), false)
  table.recordLoss('b@1', ['f', 'innocent'])
  assert.equal(table.isPoison('f'), true)
  table.excuse('innocent')
  assert.equal(table.countLosses('innocent'), 0)
  assert.equal(table.isPoison('f'), true)
})

test('an excuse covers only the losses that were known with it', () => {
  const table = new CrashTable()
  table.merge(createReport(['a@1'], ['a@1']))
  table.merge(createReport(['b@1']))
  assert.equal(table.countLosses('f'), 1)
})

test('changes after a revision are described, and a report without news changes nothing', () => {
  const table = new CrashTable()
  table.recordLoss('a@1', ['f'])
  const { revision } = table
  assert.equal(table.merge(createReport(['a@1'])), false)
  assert.equal(table.revision, revision)
  table.recordUnreachable('b@1')
  assert.deepEqual(table.changedSince(revision), { requests: [], unreachableUpstreams: ['b@1'] })
})

test('losses are forgotten ten minutes after the last one', (context) => {
  pauseClock(context)
  const table = new CrashTable()
  table.recordLoss('a@1', ['f'])
  context.mock.timers.tick(RETENTION_MILLISECONDS - 1)
  assert.equal(table.countLosses('f'), 1)
  context.mock.timers.tick(2)
  assert.equal(table.countLosses('f'), 0)
})

test('a popular request that is excused after each of many losses stays small', () => {
  const table = new CrashTable()
  for (let number = 0; number < 1_000; number += 1) {
    table.recordLoss(`u-${number}@1`, ['f'])
    table.excuse('f')
  }
  table.recordLoss('last@1', ['f'])
  assert.ok(table.describe('f').lostUpstreams.length <= 101)
  assert.equal(table.countLosses('f'), 1)
})
