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

test('tables that exchange reports of simultaneous and withdrawn ends in any order become equal', () => {
  const source = new CrashTable()
  for (const upstream of ['a@1', 'b@1', 'c@1', 'd@1']) source.recordLoss(upstream, ['f'])
  source.recordSimultaneous('first', ['a@1', 'b@1'])
  source.recordSimultaneous('second', ['b@1', 'c@1'])
  source.withdrawEnd('d@1')
  assert.equal(source.countLosses('f'), 1)
  const { requests, simultaneousEnds, withdrawnEnds } = source.changedSince(0)
  const parts: CrashReport[] = [{ requests, unreachableUpstreams: [] }, { requests: [], unreachableUpstreams: [], simultaneousEnds: simultaneousEnds! }, { requests: [], unreachableUpstreams: [], withdrawnEnds: withdrawnEnds! }]
  for (const order of [[0, 1, 2], [2, 1, 0], [1, 0, 2]]) {
    const table = new CrashTable()
    for (const index of order) table.merge(parts[index]!)
    assert.equal(table.countLosses('f'), 1)
    assert.equal(table.merge(source.changedSince(0)), false, 'nothing is new')
  }
})

test('an end of which no loss is known is not withdrawn, and observations without end are bounded', () => {
  const table = new CrashTable()
  table.withdrawEnd('a@1')
  assert.deepEqual(table.changedSince(0), { requests: [], unreachableUpstreams: [] })
  for (let number = 0; number < 1_100; number += 1) table.recordSimultaneous(`observation-${number}`, [`u-${number}@1`, 'a@1'])
  assert.equal(table.changedSince(0).simultaneousEnds!.length, 1_000)
})
