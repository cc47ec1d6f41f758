import { createHash } from 'node:crypto'

/** Number of hosts of a failure domain that watch the replicas; the others watch these. */
const RELAYS_PER_DOMAIN = 2

/**
 * Chooses the relays: the hosts of a failure domain that ask the replicas on behalf of the others.
 * All hosts with the same view choose the same relays.
 *
 * @param names - names of the live hosts of the failure domain
 * @returns names of the relays
 */
export function chooseRelays (names: string[]): string[] {
  const ranked = names.map((name) => ({ name, rank: createHash('sha256').update(name).digest('hex') }))
  ranked.sort((left, right) => left.rank < right.rank ? -1 : 1)
  return ranked.slice(0, RELAYS_PER_DOMAIN).map(({ name }) => name)
}
