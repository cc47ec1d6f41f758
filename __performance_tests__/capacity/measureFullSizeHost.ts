import { pause } from '../../src/utils/pause.js'
import { FullSizeHost } from './FullSizeHost.js'

/** Hosts measured side by side in this process. */
const HOST_COUNT = 4
const MEASURED_MILLISECONDS = 10_000
const POLL_MILLISECONDS = 100
const SETTLE_MILLISECONDS = 3000
const DELEGATE_EXCHANGES_PER_SECOND = 4

/** Figures of one host with the view of a full-size system. */
export interface FullSizeFigures {
  hosts: number
  bytesPerSecond: number
  callsPerSecond: number
  processorMicrosecondsPerSecond: number
  suspicions: number
}

/**
 * Measures several hosts, each among its own stand-in hosts. The processor time includes the work of the stand-ins.
 *
 * @param domains - number of failure domains
 * @param hostsPerDomain - number of hosts in each failure domain
 * @param changesPerSecond - changes of the records of other hosts that reach each measured host
 * @returns figures per host
 */
export async function measureFullSizeHost (domains: number, hostsPerDomain: number, changesPerSecond: number): Promise<FullSizeFigures> {
  const hosts = Array.from({ length: HOST_COUNT }, () => new FullSizeHost(domains, hostsPerDomain))
  for (const host of hosts) host.membership.start()
  while (!hosts.every((host) => host.hasFullView())) await pause(POLL_MILLISECONDS)
  const probesPerSecond = 1000 / Math.max(200, 25 * Math.sqrt(domains * hostsPerDomain))
  const timers = hosts.flatMap((host) => [
    startRepeating(probesPerSecond, () => { host.receiveProbe() }),
    startRepeating(DELEGATE_EXCHANGES_PER_SECOND, () => { host.receiveExchange() }),
    startRepeating(changesPerSecond, () => { host.receiveChange() })
  ])
  await pause(SETTLE_MILLISECONDS)
  const trafficBefore = countTraffic(hosts)
  const processorUsageBefore = process.cpuUsage()
  await pause(MEASURED_MILLISECONDS)
  const used = process.cpuUsage(processorUsageBefore)
  const trafficAfter = countTraffic(hosts)
  for (const timer of timers) clearInterval(timer)
  for (const host of hosts) host.membership.stop()
  const hostSeconds = HOST_COUNT * MEASURED_MILLISECONDS / 1000
  return {
    hosts: domains * hostsPerDomain,
    bytesPerSecond: (trafficAfter.bytes - trafficBefore.bytes) / hostSeconds,
    callsPerSecond: (trafficAfter.calls - trafficBefore.calls) / hostSeconds,
    processorMicrosecondsPerSecond: (used.user + used.system) / hostSeconds,
    suspicions: hosts.reduce((sum, host) => sum + host.counters.read('membership.suspected'), 0)
  }
}

function countTraffic (hosts: FullSizeHost[]): { bytes: number, calls: number } {
  return {
    bytes: hosts.reduce((sum, host) => sum + host.bytes, 0),
    calls: hosts.reduce((sum, host) => sum + host.calls, 0)
  }
}

function startRepeating (perSecond: number, action: () => void): NodeJS.Timeout {
  return setInterval(action, 1000 / perSecond)
}
