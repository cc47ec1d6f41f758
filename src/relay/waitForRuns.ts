import { pause } from '../utils/pause.js'
import type { PoolRegistry } from './PoolRegistry.js'

const POLL_INTERVAL_MILLISECONDS = 10

/**
 * Waits until none of the given requests is in flight on an upstream of this host.
 *
 * @param pools - the pools of this host
 * @param fingerprints - fingerprints of the requests
 * @param maximumMilliseconds - maximum wait
 */
export async function waitForRuns (pools: PoolRegistry, fingerprints: ReadonlySet<string>, maximumMilliseconds: number): Promise<void> {
  const waitUntil = performance.now() + maximumMilliseconds
  while (isAnyInFlight(pools, fingerprints) && performance.now() < waitUntil) await pause(POLL_INTERVAL_MILLISECONDS)
}

function isAnyInFlight (pools: PoolRegistry, fingerprints: ReadonlySet<string>): boolean {
  return pools.list().some((pool) => [...pool.upstreams.values()].some((upstream) => {
    return [...upstream.inFlight].some(({ fingerprint }) => fingerprints.has(fingerprint))
  }))
}
