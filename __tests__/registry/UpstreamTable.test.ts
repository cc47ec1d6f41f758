import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { UpstreamReadiness } from '../../src/registry/UpstreamRecord.js'
import { UpstreamTable } from '../../src/registry/UpstreamTable.js'
import { advance, pauseClock } from '../support/pauseClock.js'
import { createUpstreamRecord } from './createUpstreamRecord.js'

const LOST_MILLISECONDS = 4_500

function createTable (context: TestContext): UpstreamTable {
  pauseClock(context)
  return new UpstreamTable({ lostMilliseconds: LOST_MILLISECONDS })
}

test('a late announcement does not undo a newer one', (context) => {
  const table = createTable(context)
  table.merge(createUpstreamRecord({ sequence: 7, readiness: UpstreamReadiness.Draining }))
  assert.equal(table.merge(createUpstreamRecord({ sequence: 6 })), false)
  assert.equal(table.get('i-1')?.record.readiness, UpstreamReadiness.Draining)
})

test('a departure overrides later announcements of the same start, but not a new start', (context) => {
  const table = createTable(context)
  table.merge(createUpstreamRecord({ sequence: 3 }))
  table.markGone('i-1')
  table.merge(createUpstreamRecord({ sequence: 9 }))
  assert.equal(table.get('i-1')?.record.readiness, UpstreamReadiness.Gone)
  table.merge(createUpstreamRecord({ bornAt: 2_000, sequence: 1 }))
  assert.equal(table.get('i-1')?.record.readiness, UpstreamReadiness.Ready)
})

test('an address that a later upstream uses belongs to that one only', (context) => {
  const table = createTable(context)
  table.merge(createUpstreamRecord())
  table.merge(createUpstreamRecord({ id: 'i-2', bornAt: 5_000, service: 'reservas' }))
  assert.equal(table.get('i-1')?.record.readiness, UpstreamReadiness.Gone)
  assert.equal(table.merge(createUpstreamRecord({ id: 'i-3', bornAt: 4_000 })), false)
  assert.equal(table.get('i-3'), undefined)
})

test('tables that receive the same records in different orders agree', (context) => {
  const records = [createUpstreamRecord(), createUpstreamRecord({ sequence: 2, readiness: UpstreamReadiness.Draining }), createUpstreamRecord({ bornAt: 3_000 }), createUpstreamRecord({ id: 'i-2', bornAt: 2_000 })]
  pauseClock(context)
  const states = [records, [...records].reverse()].map((order) => {
    const table = new UpstreamTable({ lostMilliseconds: LOST_MILLISECONDS })
    for (const record of order) table.merge(record)
    return table.list().map(({ record }) => [record.id, record.bornAt, record.sequence, record.readiness])
      .filter(([, , , readiness]) => readiness === UpstreamReadiness.Ready)
  })
  assert.deepEqual(states[0], states[1])
})

test('only changes that matter to followers raise the revision', (context) => {
  const table = createTable(context)
  table.merge(createUpstreamRecord())
  const { revision } = table
  table.merge(createUpstreamRecord({ sequence: 2 }))
  table.renew('i-1', 1_000, 3, 0)
  assert.equal(table.revision, revision)
  table.merge(createUpstreamRecord({ sequence: 4, coldMilliseconds: 3_000 }))
  assert.equal(table.revision, revision + 1)
  assert.deepEqual(table.changedSince(revision).map(({ record }) => record.id), ['i-1'])
})

test('an upstream that was silent for long is lost until it announces itself again', async (context) => {
  const table = createTable(context)
  table.merge(createUpstreamRecord())
  await advance(context, LOST_MILLISECONDS)
  assert.deepEqual(table.sweep(), [])
  await advance(context, 1)
  assert.deepEqual(table.sweep(), ['i-1'])
  assert.deepEqual(table.sweep(), [])
  table.merge(createUpstreamRecord({ sequence: 2 }))
  assert.equal(table.get('i-1')?.isLost, false)
})

test('an upstream whose start is not known needs its full record', (context) => {
  const table = createTable(context)
  assert.equal(table.renew('i-1', 1_000, 1, 0), false)
  table.merge(createUpstreamRecord())
  assert.equal(table.renew('i-1', 1_000, 2, 0), true)
  assert.equal(table.renew('i-1', 2_000, 1, 0), false)
})

test('an upstream that moved to another address does not keep the next one from its old address', (context) => {
  const table = createTable(context)
  table.merge(createUpstreamRecord({ id: 'i-1', bornAt: 5_000 }))
  table.merge(createUpstreamRecord({ id: 'i-1', bornAt: 6_000, address: '127.0.0.8:8080' }))
  assert.equal(table.merge(createUpstreamRecord({ id: 'i-2', bornAt: 2_000 })), true)
  assert.equal(table.get('i-1')?.record.readiness, UpstreamReadiness.Ready)
  assert.equal(table.merge(createUpstreamRecord({ id: 'i-3', bornAt: 1_000 })), false)
})

/** A merge checks one entry; a table that checked all entries on each merge would do thousands of checks. */
test('a merge checks only the upstreams at the address of the record', (context) => {
  const table = createTable(context)
  let addressReads = 0
  const createWatchedRecord = (number: number): ReturnType<typeof createUpstreamRecord> => new Proxy(createUpstreamRecord({ id: `i-${number}`, address: `10.0.0.${number}:80` }), {
    get: (target, name, receiver) => {
      if (name === 'address') addressReads += 1
      return Reflect.get(target, name, receiver) as unknown
    }
  })
  for (let number = 0; number < 100; number += 1) table.merge(createWatchedRecord(number))
  addressReads = 0
  table.merge(createWatchedRecord(100))
  assert.ok(addressReads < 10, `${addressReads} reads of addresses`)
})

test('a record with an unusable address or number is not merged, whichever host it comes from', () => {
  const table = new UpstreamTable({ lostMilliseconds: 3_000 })
  const oddFields = [{ address: '127.0.0.1:99999' }, { address: '' }, { slots: Number.MAX_SAFE_INTEGER }, { coldMilliseconds: 1e303 }, { coldMilliseconds: Number.NaN }, { bornAt: Number.MAX_SAFE_INTEGER }]
  for (const fields of oddFields) assert.equal(table.merge(createUpstreamRecord(fields)), false, JSON.stringify(fields))
  assert.deepEqual(table.list(), [])
})
