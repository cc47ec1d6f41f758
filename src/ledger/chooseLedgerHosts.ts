import type { HostIdentity } from '../types/HostIdentity.js'

const MAXIMUM_LEDGER_HOSTS = 3

/**
 * Chooses the ledger hosts of a failure domain. Every host with the same settings makes the same choice.
 *
 * @param hosts - all hosts in the settings
 * @param domain - the failure domain
 * @returns peer addresses of up to three hosts, in the order of the hosts' names
 */
export function chooseLedgerHosts (hosts: HostIdentity[], domain: string): string[] {
  return hosts
    .filter((host) => host.domain === domain)
    .sort((left, right) => left.name < right.name ? -1 : 1)
    .slice(0, MAXIMUM_LEDGER_HOSTS)
    .map(({ peerAddress }) => peerAddress)
}
