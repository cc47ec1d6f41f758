import { upstreamProtocol } from '../../platform/wire/upstreamProtocol.js'
import type { CrashDetectorOptions } from '../../src/entry/CrashDetector.js'
import { EntryRelay } from '../../src/entry/EntryRelay.js'
import type { EntryRelayOptions } from '../../src/entry/EntryRelayOptions.js'
import { ServiceAdmission } from '../../src/entry/ServiceAdmission.js'
import { UpstreamConnections } from '../../src/entry/UpstreamConnections.js'
import { UpstreamLoads } from '../../src/entry/UpstreamLoads.js'
import { KnownState } from '../../src/follow/KnownState.js'
import { StopWindow } from '../../src/limits/StopWindow.js'
import { Counters } from '../../src/observe/Counters.js'
import { LatencyBuckets } from '../../src/observe/LatencyBuckets.js'
import type { PlanRoute } from '../../src/plan/RoutingPlan.js'
import { createSender, type SenderParts } from '../support/createSender.js'
import { createFollowReply } from '../follow/createFollowReply.js'
import { createPlan, createRoute } from '../plan/createPlan.js'
import { createUpstreamRecord } from '../registry/createUpstreamRecord.js'

const silentLog = { info: () => {}, warn: () => {}, error: () => {} }

/** Connections to upstreams, and their end. */
export type UpstreamConnectionPools = Pick<UpstreamConnections, 'to' | 'destroy'>

/** A relay with its known state and its connections. */
export interface RelayFixture extends SenderParts {
  relay: EntryRelay
  known: KnownState
  loads: UpstreamLoads
  connections: UpstreamConnectionPools
}

/**
 * @param addresses - addresses of the upstreams of its only service
 * @param routeOverrides - fields of its only route that differ from the default
 * @param options - options of the relay that differ from the default
 * @param connections - connections to the upstreams
 * @param probe - replaces the connection that shows whether an upstream has ended
 * @returns a relay that knows a plan and upstreams
 */
export function createRelayFixture (addresses: string[], routeOverrides: Partial<PlanRoute> = {}, options: Partial<EntryRelayOptions> = {}, connections: UpstreamConnectionPools = new UpstreamConnections(), probe?: CrashDetectorOptions['probe']): RelayFixture {
  const known = new KnownState()
  const upstreams = addresses.map((address, number) => ({ record: createUpstreamRecord({ id: `i-${number}`, address }), isLost: false }))
  known.merge(createFollowReply({ plan: createPlan(1, [createRoute(routeOverrides)]), upstreams, isComplete: true, entryHosts: 1 }))
  // KnownState reports an infinite number of entry hosts at first; a fixed number of 1 gives this host the full share of the retries.
  Object.defineProperty(known, 'entryHosts', { value: 1 })
  const loads = new UpstreamLoads(known)
  const parts = createSender({ known, loads, connections, protocol: upstreamProtocol, answerBufferBytes: 1024, probe, counters: options.counters, log: options.log })
  const relay = new EntryRelay({
    hostName: 'entry-1',
    domain: 'oviedo',
    region: 'asturias',
    known,
    loads,
    admission: new ServiceAdmission(known, loads),
    quota: { take: async () => ({ isGranted: true, refund: () => {} }) },
    protocol: upstreamProtocol,
    ...parts,
    stopWindow: new StopWindow(),
    retryBound: () => ({ ratio: 0.2, allowance: 1_000_000, windowMilliseconds: 10_000 }),
    regionOf: () => 'asturias',
    random: () => 0,
    counters: new Counters(),
    latencies: new LatencyBuckets(),
    loopLateMilliseconds: () => 0,
    log: silentLog,
    ...options
  })
  return { relay, known, loads, connections, ...parts }
}
