import type { LookupHost } from './LookupAnswer.js'

/**
 * Picks a host with a probability in proportion to its weight.
 *
 * @param hosts - hosts to pick from
 * @param uniform - a random number from 0 to below 1
 * @returns the host, undefined when there is none
 */
export function pickByWeight (hosts: LookupHost[], uniform: number): LookupHost | undefined {
  const totalWeight = hosts.reduce((sum, host) => sum + host.weight, 0)
  if (totalWeight === 0) return hosts[Math.floor(uniform * hosts.length)]
  let remainingWeight = uniform * totalWeight
  for (const host of hosts) {
    remainingWeight -= host.weight
    if (remainingWeight < 0) return host
  }
  return hosts[hosts.length - 1]
}
