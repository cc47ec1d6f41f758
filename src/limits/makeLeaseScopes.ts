import type { HostIdentity } from '../types/HostIdentity.js'
import type { LeaseScope } from './LeaseScope.js'

/**
 * Makes the scope of the link budgets of a region: its hosts share them, and a majority of them decides.
 * A part of the region that has no majority is left with the static shares.
 *
 * @param region - name of the region
 * @param hosts - all hosts that the settings name
 */
export function makeRegionScope (region: string, hosts: readonly HostIdentity[]): LeaseScope {
  const hostNames = hosts.filter((host) => host.region === region).map((host) => host.name).sort()
  return { name: `region:${region}`, consumers: hostNames, voters: hostNames, isQuorum: (promised) => isMajority(promised, hostNames) }
}

/**
 * Makes the scope of the place caps of a failure domain. Its hosts share them. A majority of the region decides,
 * so that one host goes on when the others of its domain died, or else all hosts of the domain together,
 * so that a domain goes on when it is cut off. The candidate is a host of the domain, which is what
 * a majority and the whole domain have in common.
 *
 * @param domain - name of the failure domain
 * @param hosts - all hosts that the settings name
 */
export function makeDomainScope (domain: string, hosts: readonly HostIdentity[]): LeaseScope {
  const domainHosts = hosts.filter((host) => host.domain === domain)
  const hostNames = domainHosts.map((host) => host.name).sort()
  const voters = hosts.filter((host) => host.region === domainHosts[0]?.region).map((host) => host.name).sort()
  const isQuorum = (promisingVoters: ReadonlySet<string>): boolean => {
    if (!hostNames.some((name) => promisingVoters.has(name))) return false
    return isMajority(promisingVoters, voters) || hostNames.every((name) => promisingVoters.has(name))
  }
  return { name: `domain:${domain}`, consumers: hostNames, voters, isQuorum }
}

function isMajority (promisingVoters: ReadonlySet<string>, voters: readonly string[]): boolean {
  return voters.filter((name) => promisingVoters.has(name)).length * 2 > voters.length
}
