import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { CrashTable } from '../../src/crashes/CrashTable.js'
import { CrashDetector } from '../../src/entry/CrashDetector.js'
import { UpstreamRuns } from '../../src/entry/UpstreamRuns.js'
import { KnownState } from '../../src/follow/KnownState.js'
import type { UpstreamRecord } from '../../src/registry/UpstreamRecord.js'
import { ListenerState } from '../../src/utils/probeListener.js'
import { createFollowReply } from '../follow/createFollowReply.js'
import { createUpstreamRecord } from '../registry/createUpstreamRecord.js'
import { advance, pauseClock } from '../support/pauseClock.js'

const silentLog = { info: () => {}, warn: () => {}, error: () => {} }
const WITHDRAWAL_MILLISECONDS = 2_100
const REVIEW_MILLISECONDS = 5_000

interface Fixture {
  detector: CrashDetector
  crashes: CrashTable
  known: KnownState
  runs: UpstreamRuns
  records: UpstreamRecord[]
  /** What a connection to an upstream shows from now on. */
  setState: (next: ListenerState) => void
}

/** A detector with four upstreams that refuse connections. */
function createFixture (context: TestContext): Fixture {
  pauseClock(context)
  let state = ListenerState.Refused
  const runs = new UpstreamRuns()
  const crashes = new CrashTable()
  const known = new KnownState()
  const records = [1, 2, 3, 4].map((number) => createUpstreamRecord({ id: `u-${number}`, address: `127.0.0.1:${9_000 + number}` }))
  known.merge(createFollowReply({ upstreams: records.map((record) => ({ record, isLost: false })) }))
  const detector = new CrashDetector({ runs, crashes, known, probe: async () => state, identify: async ({ id }) => state === ListenerState.Open ? id : undefined, onChange: () => {}, saveLosses: async () => {}, log: silentLog })
  return { detector, crashes, known, runs, records, setState: (next) => { state = next } }
}

// Guards against a popular harmless request that is refused for ten minutes after the servers of a failure domain crash together.
test('upstreams that end at the same moment under many requests count as one loss for each of them', async (context) => {
  const { detector, crashes, runs, records } = createFixture(context)
  for (const record of records) {
    runs.begin('popular', record)
    runs.begin(`request of ${record.id}`, record)
  }
  await Promise.all(records.map((record) => detector.checkUpstream(record)))
  assert.equal(crashes.countLosses('popular'), 1)
  assert.equal(crashes.isPoison('popular'), false)
})

test('upstreams that end at the same moment under one request alone count one by one', async (context) => {
  const { detector, crashes, runs, records } = createFixture(context)
  for (const record of records) runs.begin('crashing', record)
  await Promise.all(records.map((record) => detector.checkUpstream(record)))
  assert.equal(crashes.isPoison('crashing'), true)
})

// Guards against a request that ends one upstream after another and is not refused because others were in flight each time.
test('upstreams that end one after another under many requests count one by one', async (context) => {
  const { detector, crashes, runs, records } = createFixture(context)
  for (const record of records.slice(0, 3)) {
    runs.begin('crashing', record)
    for (const other of ['a', 'b', 'c']) runs.begin(`${other} of ${record.id}`, record)
    await detector.checkUpstream(record)
    await advance(context, 250)
  }
  assert.equal(crashes.isPoison('crashing'), true)
})

// Guards against losses that stay after a partition that refused connections, in which nothing ended.
test('an end is withdrawn when the same start answers a later request completely, and a later end counts again', async (context) => {
  const { detector, crashes, runs, records: [record], setState } = createFixture(context)
  runs.begin('f', record!)
  await detector.checkUpstream(record!)
  assert.equal(crashes.countLosses('f'), 1)
  setState(ListenerState.Open)
  await advance(context, 10)
  detector.recordAnswer(runs.begin('later', record!))
  await advance(context, WITHDRAWAL_MILLISECONDS)
  assert.equal(crashes.countLosses('f'), 0)
  setState(ListenerState.Refused)
  await detector.checkUpstream(record!)
  assert.equal(crashes.countLosses('f'), 1)
})

// Guards against a request that stays refused after a partition that refused connections, as no other request reaches its upstreams.
test('ends that count against a refused request are withdrawn when the same starts answer health requests again', async (context) => {
  const { detector, crashes, runs, records, setState } = createFixture(context)
  for (const record of records.slice(0, 3)) runs.abandon(runs.begin('f', record))
  await Promise.all(records.slice(0, 3).map((record) => detector.checkUpstream(record)))
  detector.reviewEnds('f')
  await advance(context, WITHDRAWAL_MILLISECONDS)
  assert.equal(crashes.isPoison('f'), true, 'none of them answers')
  await advance(context, REVIEW_MILLISECONDS)
  setState(ListenerState.Open)
  detector.reviewEnds('f')
  await advance(context, WITHDRAWAL_MILLISECONDS)
  assert.equal(crashes.countLosses('f'), 0)
})

test('an end is not withdrawn by an answer of a run before it, or by another start under the same identifier', async (context) => {
  const { detector, crashes, known, runs, records: [record], setState } = createFixture(context)
  runs.begin('f', record!)
  const earlierRun = runs.begin('earlier', record!)
  await advance(context, 10)
  await detector.checkUpstream(record!)
  setState(ListenerState.Open)
  detector.recordAnswer(earlierRun)
  await advance(context, WITHDRAWAL_MILLISECONDS)
  detector.recordAnswer(runs.begin('later', record!))
  await advance(context, 500)
  known.merge(createFollowReply({ upstreams: [{ record: { ...record!, bornAt: record!.bornAt + 1 }, isLost: false }] }))
  await advance(context, WITHDRAWAL_MILLISECONDS)
  assert.equal(crashes.countLosses('f'), 1)
})
