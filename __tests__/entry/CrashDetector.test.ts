import assert from 'node:assert/strict'
import { test } from 'node:test'
import { CrashTable } from '../../src/crashes/CrashTable.js'
import { CrashDetector } from '../../src/entry/CrashDetector.js'
import { UpstreamRuns } from '../../src/entry/UpstreamRuns.js'
import { KnownState } from '../../src/follow/KnownState.js'
import { getIncarnation, UpstreamReadiness, type UpstreamRecord } from '../../src/registry/UpstreamRecord.js'
import { ListenerState } from '../../src/utils/probeListener.js'
import { createFollowReply } from '../follow/createFollowReply.js'
import { createUpstreamRecord } from '../registry/createUpstreamRecord.js'
import { advance, pauseClock } from '../support/pauseClock.js'

const silentLog = { info: () => {}, warn: () => {}, error: () => {} }

/** A detector with one run of the request `f` at an upstream, which connections find in the given states in turn. Each health request finds the next state, too. */
function createDetector (...states: ListenerState[]): { detector: CrashDetector, crashes: CrashTable, known: KnownState, runs: UpstreamRuns, record: UpstreamRecord } {
  const runs = new UpstreamRuns()
  const crashes = new CrashTable()
  const known = new KnownState()
  const record = createUpstreamRecord()
  known.merge(createFollowReply({ upstreams: [{ record, isLost: false }] }))
  let probes = 0
  const probe = async (): Promise<ListenerState> => states[Math.min(probes++, states.length - 1)]!
  const identify = async ({ id }: UpstreamRecord): Promise<string | undefined> => await probe() === ListenerState.Open ? id : undefined
  const detector = new CrashDetector({ runs, crashes, known, probe, identify, onChange: () => {}, saveLosses: async () => {}, log: silentLog })
  runs.begin('f', record)
  return { detector, crashes, known, runs, record }
}

test('an upstream that refuses connections has ended under its runs', async () => {
  const { detector, crashes, record } = createDetector(ListenerState.Refused)
  await detector.checkUpstream(record)
  assert.equal(crashes.countLosses('f'), 1)
})

// Guards against requests that are refused as crashing ones because they tried to connect to upstreams that had ended.
test('a request that only tries to connect is not blamed for the end of the upstream', async () => {
  const { detector, crashes, runs, record } = createDetector(ListenerState.Refused)
  const run = runs.begin('connecting', record, false)
  await detector.checkUpstream(record)
  assert.equal(crashes.countLosses('connecting'), 0)
  run.isWritten = true
  assert.deepEqual([...runs.listFingerprints(getIncarnation(record))], ['f', 'connecting'])
})

test('an upstream that is closing its sockets one after another has ended', async () => {
  const { detector, crashes, record } = createDetector(ListenerState.ClosedEarly, ListenerState.ClosedEarly, ListenerState.Refused)
  await detector.checkUpstream(record)
  assert.equal(crashes.countLosses('f'), 1)
})

// Guards against requests that are blamed because a partition made their upstreams unreachable.
for (const state of [ListenerState.Open, ListenerState.ClosedEarly, ListenerState.Unreachable, ListenerState.Unknown]) {
  test(`an upstream is not taken for ended when connections are ${state}`, async () => {
    const { detector, crashes, record } = createDetector(state)
    await detector.checkUpstream(record)
    assert.equal(crashes.countLosses('f'), 0)
  })
}

test('an upstream that announced that it leaves has not ended by a request', async () => {
  const { detector, crashes, known, record } = createDetector(ListenerState.Refused)
  known.merge(createFollowReply({ upstreams: [{ record: { ...record, sequence: 2, readiness: UpstreamReadiness.Draining }, isLost: false }] }))
  await detector.checkUpstream(record)
  assert.equal(crashes.countLosses('f'), 0)
})

test('a run that this host gave up is blamed when another start of its upstream is announced', async () => {
  const { detector, crashes, known, runs, record } = createDetector(ListenerState.Open)
  for (const run of runs.list()) runs.abandon(run)
  known.merge(createFollowReply({ upstreams: [{ record: { ...record, bornAt: record.bornAt + 1 }, isLost: false }] }))
  detector.review()
  await detector.checkUpstream(record)
  assert.equal(crashes.countLosses('f'), 1)
})

// Guards against a crash behind a partition that is not counted because its runs were forgotten before it became known.
test('a run at an upstream that could not be reached is blamed when another start is announced after a partition', async (context) => {
  pauseClock(context)
  const { detector, crashes, known, runs, record } = createDetector(ListenerState.Unreachable)
  for (const run of runs.list()) runs.abandon(run)
  await detector.checkUpstream(record)
  await advance(context, 12_000)
  known.merge(createFollowReply({ upstreams: [{ record: { ...record, bornAt: record.bornAt + 1 }, isLost: false }] }))
  detector.review()
  await detector.checkUpstream(record)
  assert.equal(crashes.countLosses('f'), 1)
  await advance(context, 31_000)
  assert.deepEqual(runs.list(), [])
})

test('a host looks at an upstream of its own runs when another host could not reach it', async () => {
  const { detector, crashes, record } = createDetector(ListenerState.Refused)
  crashes.merge({ requests: [], unreachableUpstreams: [`${record.id}@${record.bornAt}`] })
  detector.review()
  await detector.checkUpstream(record)
  assert.equal(crashes.countLosses('f'), 1)
})

// Guards against a part of an answer that looks whole because its upstream was still alive shortly before.
test('an upstream is alive only if a health request that was sent after the question shows it', async () => {
  const { detector, record } = createDetector(ListenerState.Open, ListenerState.Unreachable)
  const earlier = detector.isAlive(record, performance.now())
  const later = [detector.isAlive(record, performance.now()), detector.isAlive(record, performance.now())]
  assert.equal(await earlier, true)
  assert.deepEqual(await Promise.all(later), [false, false])
})

// Guards against a part of an answer that looks whole because another start of its upstream accepts connections at the address.
for (const { name, identifier, isAlive } of [
  { name: 'the upstream itself', identifier: 'i-1', isAlive: true },
  { name: 'another upstream', identifier: 'i-1-again', isAlive: false },
  { name: 'nobody', identifier: undefined, isAlive: false }
]) {
  test(`an upstream counts as ${isAlive ? '' : 'not '}alive behind an answer without a length when ${name} answers the health request`, async () => {
    const known = new KnownState()
    const record = createUpstreamRecord()
    known.merge(createFollowReply({ upstreams: [{ record, isLost: false }] }))
    const detector = new CrashDetector({ runs: new UpstreamRuns(), crashes: new CrashTable(), known, probe: async () => ListenerState.Open, identify: async () => identifier, onChange: () => {}, saveLosses: async () => {}, log: silentLog })
    assert.equal(await detector.isAlive(record, performance.now()), isAlive)
  })
}

test('an upstream that announced that it leaves is not alive for that', async () => {
  const { detector, known, record } = createDetector(ListenerState.Unreachable)
  known.merge(createFollowReply({ upstreams: [{ record: { ...record, sequence: 2, readiness: UpstreamReadiness.Draining }, isLost: false }] }))
  assert.equal(await detector.isAlive(record, performance.now()), false)
})

test('an upstream is not alive when another start of it listens at its address', async () => {
  const { detector, known, record } = createDetector(ListenerState.Open)
  const pending = detector.isAlive(record, performance.now())
  known.merge(createFollowReply({ upstreams: [{ record: { ...record, bornAt: record.bornAt + 1 }, isLost: false }] }))
  assert.equal(await pending, false)
  assert.equal(await detector.isAlive(record, performance.now()), false)
})

// Guards against answers without a length that are never confirmed again after a partition in which nothing ended.
test('an answer of a run that began after a partition is confirmed', async () => {
  const { detector, record } = createDetector(ListenerState.Unreachable, ListenerState.Open)
  await detector.checkUpstream(record)
  assert.equal(await detector.isAlive(record, performance.now()), true)
})

test('an assumed end counts against answers of runs before it and not against those of later runs', async () => {
  const { detector, record } = createDetector(ListenerState.Refused, ListenerState.Open)
  const begunBefore = performance.now() - 1
  await detector.checkUpstream(record)
  assert.equal(await detector.isAlive(record, begunBefore), false)
  assert.equal(await detector.isAlive(record, performance.now()), true)
})
