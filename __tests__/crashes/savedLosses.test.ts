import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { CrashExchange } from '../../src/crashes/CrashExchange.js'
import { CrashSharer } from '../../src/crashes/CrashSharer.js'
import { CrashTable } from '../../src/crashes/CrashTable.js'
import { CrashDetector } from '../../src/entry/CrashDetector.js'
import { UpstreamRuns } from '../../src/entry/UpstreamRuns.js'
import { KnownState } from '../../src/follow/KnownState.js'
import type { PeerHandler } from '../../src/transport/PeerHandler.js'
import type { PeerMethod } from '../../src/types/PeerMethod.js'
import { ListenerState } from '../../src/utils/probeListener.js'
import { createFollowReply } from '../follow/createFollowReply.js'
import { createUpstreamRecord } from '../registry/createUpstreamRecord.js'
import { advance, pauseClock } from '../support/pauseClock.js'

const silentLog = { info: () => {}, warn: () => {}, error: () => {} }
const MAXIMUM_WAIT_MILLISECONDS = 250

interface SavingSystem {
  /** Losses of the request that the control host has stored. */
  countStored: () => number
  /** Whether the entry host may answer the request, or send it again. */
  isSettled: () => boolean
}

/** An entry host notices that an upstream ended under a request. A control host stores its state with the function. */
function noticeEnd (context: TestContext, persist: () => Promise<void>, controlHosts = ['control']): SavingSystem {
  pauseClock(context)
  const handlers = new Map<PeerMethod, PeerHandler<object, unknown>>()
  let stored = 0
  const exchange: CrashExchange = new CrashExchange({
    hostName: () => 'control',
    listPeers: () => [],
    callPeer: async () => await Promise.reject(new Error('no peers')),
    registerHandler: (method, handler) => { handlers.set(method, handler as PeerHandler<object, unknown>) },
    persist: async () => {
      await persist()
      stored = exchange.table.countLosses('f')
    },
    onChange: () => {},
    log: silentLog
  })
  const crashes = new CrashTable()
  const sharer = new CrashSharer({
    hostName: () => 'entry',
    crashes,
    listPeers: () => controlHosts,
    callPeer: async <Result>(_address: string, method: PeerMethod, request: object) => await handlers.get(method)!(request) as Result,
    log: silentLog
  })
  const runs = new UpstreamRuns()
  const known = new KnownState()
  const record = createUpstreamRecord()
  known.merge(createFollowReply({ upstreams: [{ record, isLost: false }] }))
  runs.begin('f', record)
  const detector = new CrashDetector({ runs, crashes, known, probe: async () => ListenerState.Refused, identify: async () => undefined, onChange: () => {}, saveLosses: (revision) => sharer.save(revision), log: silentLog })
  let isSettled = false
  detector.checkUpstream(record).then(() => { isSettled = true }, () => {})
  return { countStored: () => stored, isSettled: () => isSettled }
}

// Guards against losses that a kill of all processes makes unknown after their request was answered.
test('a request under which an upstream ended goes on when a control host has stored the loss', async (context) => {
  const system = noticeEnd(context, () => new Promise((resolve) => { setTimeout(resolve, 60) }))
  await advance(context, 50)
  assert.equal(system.isSettled(), false)
  await advance(context, 20)
  assert.equal(system.isSettled(), true)
  assert.equal(system.countStored(), 1)
})

test('a control host that does not store the loss delays the request for a limited time', async (context) => {
  const system = noticeEnd(context, () => new Promise(() => {}))
  await advance(context, MAXIMUM_WAIT_MILLISECONDS - 10)
  assert.equal(system.isSettled(), false)
  await advance(context, 20)
  assert.equal(system.isSettled(), true)
  assert.equal(system.countStored(), 0)
})

for (const { name, persist, controlHosts } of [
  { name: 'whose disk fails', persist: async () => await Promise.reject(new Error('disk full')), controlHosts: ['control'] },
  { name: 'that is not known', persist: async () => {}, controlHosts: [] }
]) {
  test(`a control host ${name} does not delay the request`, async (context) => {
    const system = noticeEnd(context, persist, controlHosts)
    await advance(context, 10)
    assert.equal(system.isSettled(), true)
    assert.equal(system.countStored(), 0)
  })
}
