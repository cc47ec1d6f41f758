import type { LookupHost } from './LookupAnswer.js'

/**
 * Picks a host with a probability in proportion to its weight.
 *
 * @param hosts - hosts to pick from; with a total weight of 0 all are equally likely
 * @param uniform - random number from 0 to below 1
 * @returns the picked host, undefined when the list is empty
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
