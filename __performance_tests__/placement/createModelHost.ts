import { upstreamProtocol } from '../../platform/wire/upstreamProtocol.js'
import { createSender } from '../../__tests__/support/createSender.js'
import { EntryRelay } from '../../src/entry/EntryRelay.js'
import { ServiceAdmission } from '../../src/entry/ServiceAdmission.js'
import { UpstreamLoads } from '../../src/entry/UpstreamLoads.js'
import { KnownState } from '../../src/follow/KnownState.js'
import { StopWindow } from '../../src/limits/StopWindow.js'
import { Counters } from '../../src/observe/Counters.js'
import { LatencyBuckets } from '../../src/observe/LatencyBuckets.js'
import { ListenerState } from '../../src/utils/probeListener.js'
import { ModelConnections, type ModelNetwork } from './ModelConnections.js'

const silentLog = { info: () => {}, warn: () => {}, error: () => {} }

/** A simulated entry host: the real relay and admission on a simulated network. */
export interface ModelEntryHost {
  name: string
  domain: string
  known: KnownState
  admission: ServiceAdmission
  relay: EntryRelay
}

/**
 * @param network - simulated upstreams and delays
 * @param name - name of the host
 * @param domain - number of its failure domain
 * @returns an entry host without a plan and upstreams, until its known state is updated
 */
export function createModelHost (network: ModelNetwork, name: string, domain: string): ModelEntryHost {
  const known = new KnownState()
  const loads = new UpstreamLoads(known)
  const admission = new ServiceAdmission(known, loads)
  const relay = new EntryRelay({
    hostName: name,
    domain,
    region: regionOf(domain),
    known,
    loads,
    admission,
    quota: { take: async () => ({ isGranted: true, refund: () => {} }) },
    protocol: upstreamProtocol,
    ...createSender({ known, loads, connections: new ModelConnections(network, domain), protocol: upstreamProtocol, answerBufferBytes: 65_536, probe: async () => ListenerState.Open }),
    stopWindow: new StopWindow(),
    retryBound: () => ({ ratio: 0.2, allowance: 112, windowMilliseconds: 10_000 }),
    regionOf,
    random: network.random,
    counters: new Counters(),
    latencies: new LatencyBuckets(),
    loopLateMilliseconds: () => 0,
    log: silentLog
  })
  return { name, domain, known, admission, relay }
}

/** @returns region of a failure domain; each region has two failure domains */
export function regionOf (domain: string): string {
  return String(Math.floor(Number(domain) / 2))
}
