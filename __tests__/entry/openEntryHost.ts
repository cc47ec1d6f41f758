import type { TestContext } from 'node:test'
import { readGuestFields } from '../../platform/wire/readGuestFields.js'
import { upstreamProtocol } from '../../platform/wire/upstreamProtocol.js'
import { ENTRY_MEMORY_LIMITS } from '../../src/entry/entryMemoryLimits.js'
import { EntryHostProcess } from '../../src/entry/EntryHostProcess.js'
import { HostMemory } from '../../src/limits/HostMemory.js'
import { Counters } from '../../src/observe/Counters.js'
import { LatencyBuckets } from '../../src/observe/LatencyBuckets.js'
import type { RoutingPlan } from '../../src/plan/RoutingPlan.js'
import type { CallPeer } from '../../src/transport/CallPeer.js'
import { PeerMethod } from '../../src/types/PeerMethod.js'
import { pause } from '../../src/utils/pause.js'
import { createFollowReply } from '../follow/createFollowReply.js'
import { createUpstreamRecord } from '../registry/createUpstreamRecord.js'

const CONTROL_ADDRESS = '127.0.0.9:7660'
const FOLLOW_INTERVAL_MILLISECONDS = 50
const READY_POLL_MILLISECONDS = 10
const silentLog = { info: () => {}, warn: () => {}, error: () => {} }

/** An entry host whose control host is part of the test. */
export interface EntryHostFixture {
  host: EntryHostProcess
  counters: Counters
  /** The plan that the control host tells; a test replaces it to change the plan. */
  setPlan: (plan: RoutingPlan) => void
}

/** Settings of the entry host under test. */
export interface EntryHostFixtureOptions {
  guestAddress: string
  /** Address of its only upstream. */
  upstreamAddress: string
  plan: RoutingPlan
  slots: number
  /** Read at each use, like the settings of a real host. */
  stopMilliseconds: () => number
}

/** Opens an entry host on a real listener, and waits until it serves guests. */
export async function openEntryHost (context: TestContext, options: EntryHostFixtureOptions): Promise<EntryHostFixture> {
  let { plan } = options
  const counters = new Counters()
  const upstreams = [{ record: createUpstreamRecord({ id: 'i-1', address: options.upstreamAddress, slots: options.slots }), isLost: false }]
  const callPeer: CallPeer = async <Result>(_address: string, method: PeerMethod) => {
    if (method === PeerMethod.AskCurrency) return { isCurrent: true, planVersion: plan.version } as Result
    await pause(FOLLOW_INTERVAL_MILLISECONDS)
    return createFollowReply({ plan, upstreams, isComplete: true, entryHosts: 1, controlHosts: [{ peerAddress: CONTROL_ADDRESS, domain: 'oviedo', region: 'asturias' }] }) as Result
  }
  const host = new EntryHostProcess({
    memory: new HostMemory(ENTRY_MEMORY_LIMITS),
    settings: () => ({
      name: 'entry-1',
      domain: 'oviedo',
      region: 'asturias',
      guestAddress: options.guestAddress,
      seeds: [CONTROL_ADDRESS],
      regions: new Map([['oviedo', 'asturias']]),
      retryBound: { ratio: 0.2, allowance: 100, windowMilliseconds: 10_000 },
      stopMilliseconds: options.stopMilliseconds()
    }),
    protocol: upstreamProtocol,
    readFields: readGuestFields,
    malformedAnswer: () => '',
    callPeer,
    random: () => 0,
    counters,
    latencies: new LatencyBuckets(),
    log: silentLog
  })
  await host.start()
  while (!host.isReady) await pause(READY_POLL_MILLISECONDS)
  context.after(() => host.stop())
  return { host, counters, setPlan: (next) => { plan = next } }
}
