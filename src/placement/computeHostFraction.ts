import { hashKey, computeScore } from '../steering/RendezvousItems.js'
import { hashText } from '../utils/hashText.js'

/** @returns a number from 0 up to but not including 1 that is fixed for an upstream and a host, and spread evenly over the hosts */
export function computeHostFraction (upstream: string, host: string): number {
  return computeScore(hashKey(upstream), hashText(host)) / 2 ** 32
}
