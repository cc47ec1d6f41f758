import type { HostIdentity } from '../types/HostIdentity.js'
import type { LeaseScope } from './LeaseScope.js'

/**
 * Makes the scope of the link budgets of a region. The hosts of the region share them, and a majority of these hosts elects
 * the holder. In a partition, the part of the region without a majority is left with its static shares.
 *
 * @param region - name of the region
 * @param hosts - all hosts named in the settings
 */
export function makeRegionScope (region: string, hosts: readonly HostIdentity[]): LeaseScope {
  const hostNames = hosts.filter((host) => host.region === region).map((host) => host.name).sort()
  return { name: `region:${region}`, consumers: hostNames, voters: hostNames, isQuorum: (promised) => isMajority(promised, hostNames) }
}

/**
 * Makes the scope of the place caps of a failure domain, which its hosts share. The holder is elected either by a majority
 * of the hosts of the region, so that a single host can continue after the other hosts of its domain have died, or by all hosts
 * of the domain, so that the domain can continue when it is cut off. A majority must include a host of the domain, the
 * candidate, so that it has a host in common with the full domain.
 *
 * @param domain - name of the failure domain
 * @param hosts - all hosts named in the settings
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
