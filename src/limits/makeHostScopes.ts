import type { HostIdentity } from '../types/HostIdentity.js'
import type { LeaseScope } from './LeaseScope.js'
import { makeDomainScope, makeRegionScope } from './makeLeaseScopes.js'

/**
 * Makes all scopes in which a host takes part: the links of its region, and the caps of each failure domain of its region.
 * The host spends in its own failure domain and only votes in the others.
 *
 * @param self - the local host
 * @param hosts - all hosts named in the settings, with or without the local one
 */
export function makeHostScopes (self: HostIdentity, hosts: readonly HostIdentity[]): LeaseScope[] {
  const allHosts = [self, ...hosts.filter((host) => host.name !== self.name)]
  const domains = new Set(allHosts.filter((host) => host.region === self.region).map((host) => host.domain))
  return [makeRegionScope(self.region, allHosts), ...[...domains].sort().map((domain) => makeDomainScope(domain, allHosts))]
}
