import type { HostIdentity } from '../types/HostIdentity.js'
import type { LeaseScope } from './LeaseScope.js'
import { makeDomainScope, makeRegionScope } from './makeLeaseScopes.js'

/**
 * Makes all scopes that a host takes part in: its region's links, and the caps of each failure domain of its region,
 * as it spends in its own one and votes in the others.
 *
 * @param self - the own host
 * @param hosts - all hosts that the settings name, with or without the own one
 */
export function makeHostScopes (self: HostIdentity, hosts: readonly HostIdentity[]): LeaseScope[] {
  const allHosts = [self, ...hosts.filter((host) => host.name !== self.name)]
  const domains = new Set(allHosts.filter((host) => host.region === self.region).map((host) => host.domain))
  return [makeRegionScope(self.region, allHosts), ...[...domains].sort().map((domain) => makeDomainScope(domain, allHosts))]
}
