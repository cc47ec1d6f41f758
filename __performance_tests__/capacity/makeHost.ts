import type { HostIdentity } from '../../src/types/HostIdentity.js'

/**
 * @param domain - number of the failure domain
 * @param index - number of the host in the failure domain
 * @returns identity of a stand-in host, with names and addresses as long as real ones
 */
export function makeHost (domain: number, index: number): HostIdentity {
  const address = `10.${domain}.${index >> 8}.${index & 255}`
  return {
    name: `entry-${domain}-${index}`,
    domain: `domain-${domain}`,
    region: `region-${Math.floor(domain / 2.5)}`,
    peerAddress: `${address}:7400`,
    guestAddress: `${address}:8400`
  }
}
