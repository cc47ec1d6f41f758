import { xorshift128plus } from 'pure-rand/generator/xorshift128plus'
import { GossipMembership } from '../../src/membership/GossipMembership.js'
import { pause } from '../../src/utils/pause.js'
import { Counters } from '../../src/observe/Counters.js'
import type { HostIdentity } from '../../src/types/HostIdentity.js'
import { MemberState } from '../../src/types/MemberState.js'
import { CountingNetwork } from './CountingNetwork.js'
import { makeHost } from './makeHost.js'

const SEED = 20261204
const SEEDS_PER_DOMAIN = 2
const CONVERGENCE_TIMEOUT_MILLISECONDS = 60_000
const SETTLE_MILLISECONDS = 6000
const POLL_MILLISECONDS = 50
const MEASURED_MILLISECONDS = 6000
const LOAD_CHANGE_MILLISECONDS = 250

/** Figures of one size. Traffic counts the JSON bodies sent and received; processor time counts JSON encoding and the membership. */
export interface GossipFigures {
  domains: number
  hosts: number
  meanBytesPerSecond: number
  largestBytesPerSecond: number
  meanCallsPerSecond: number
  largestBodyBytes: number
  processorMicrosecondsPerSecond: number
  /** Time until all hosts know each other; NaN after the time limit. */
  convergenceMilliseconds: number
  /** Time until all hosts detect the end of one host; NaN after the time limit. */
  detectionMilliseconds: number
  suspicions: number
}

/**
 * Runs hosts in this process until they know each other, measures their traffic, and then the detection of a host that ends.
 *
 * @param domains - number of failure domains
 * @param hostsPerDomain - number of hosts in each failure domain
 * @returns figures of this size
 */
export async function measureGossip (domains: number, hostsPerDomain: number): Promise<GossipFigures> {
  const identities = Array.from({ length: domains * hostsPerDomain }, (_, index) => makeHost(Math.floor(index / hostsPerDomain), index % hostsPerDomain))
  const network = new CountingNetwork()
  const counters = new Counters()
  const memberships = startHosts(identities, network, counters)
  const convergenceMilliseconds = await measureTimeUntil(() => memberships.every((membership) => countAlive(membership) === identities.length))
  const loadTimer = startLoadChanges(memberships)
  await pause(SETTLE_MILLISECONDS)
  const steady = await measureSteadyState(network, identities.length)
  const suspicions = counters.read('membership.suspected')

  clearInterval(loadTimer)
  memberships.pop()!.stop()
  network.disconnect(identities.at(-1)!.peerAddress)
  const detectionMilliseconds = await measureTimeUntil(() => memberships.every((membership) => countAlive(membership) === identities.length - 1))
  for (const membership of memberships) membership.stop()
  return { domains, hosts: identities.length, ...steady, convergenceMilliseconds, detectionMilliseconds, suspicions }
}

function startHosts (identities: HostIdentity[], network: CountingNetwork, counters: Counters): GossipMembership[] {
  const generator = xorshift128plus(SEED)
  const seeds = identities.filter((identity) => Number(identity.name.split('-')[2]) < SEEDS_PER_DOMAIN).map((identity) => identity.peerAddress)
  return identities.map((self) => {
    const membership = new GossipMembership({
      self,
      seeds,
      callPeer: network.createCallPeer(self.peerAddress),
      registerHandler: network.createRegisterHandler(self.peerAddress),
      random: () => (generator.next() >>> 0) / 0x100000000,
      log: { info: () => {}, warn: () => {}, error: () => {} },
      counters
    })
    membership.describeSelf({ draining: false, sheetNumber: 1, pools: [{ service: 'inventario', upstreams: 4, slots: 28, freeSlots: 28 }] })
    membership.start()
    return membership
  })
}

/** Changes the reported load of every host at intervals, as under traffic. */
function startLoadChanges (memberships: GossipMembership[]): NodeJS.Timeout {
  let freeSlots = 0
  return setInterval(() => {
    freeSlots = (freeSlots + 1) % 28
    for (const membership of memberships) {
      membership.describeSelf({ draining: false, sheetNumber: 1, pools: [{ service: 'inventario', upstreams: 4, slots: 28, freeSlots }] })
    }
  }, LOAD_CHANGE_MILLISECONDS)
}

async function measureSteadyState (network: CountingNetwork, hosts: number): Promise<Pick<GossipFigures,
  'meanBytesPerSecond' | 'largestBytesPerSecond' | 'meanCallsPerSecond' | 'largestBodyBytes' | 'processorMicrosecondsPerSecond'>> {
  network.takeTraffic()
  const processorUsageBefore = process.cpuUsage()
  const startedAt = performance.now()
  await pause(MEASURED_MILLISECONDS)
  const seconds = (performance.now() - startedAt) / 1000
  const used = process.cpuUsage(processorUsageBefore)
  const { largestBodyBytes } = network
  const traffic = network.takeTraffic()
  return {
    meanBytesPerSecond: traffic.reduce((sum, host) => sum + host.bytes, 0) / hosts / seconds,
    largestBytesPerSecond: Math.max(...traffic.map((host) => host.bytes)) / seconds,
    meanCallsPerSecond: traffic.reduce((sum, host) => sum + host.calls, 0) / hosts / seconds,
    largestBodyBytes,
    processorMicrosecondsPerSecond: (used.user + used.system) / hosts / seconds
  }
}

function countAlive (membership: GossipMembership): number {
  return membership.members().filter((member) => member.state === MemberState.Alive).length
}

/** @returns milliseconds until the condition holds; NaN after the time limit */
async function measureTimeUntil (condition: () => boolean): Promise<number> {
  const startedAt = performance.now()
  while (!condition()) {
    if (performance.now() - startedAt > CONVERGENCE_TIMEOUT_MILLISECONDS) return NaN
    await pause(POLL_MILLISECONDS)
  }
  return performance.now() - startedAt
}
