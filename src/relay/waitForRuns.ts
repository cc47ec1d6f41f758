import { pause } from '../utils/pause.js'
import type { PoolRegistry } from './PoolRegistry.js'

const POLL_INTERVAL_MILLISECONDS = 10

/**
 * Waits until none of some requests is in flight to an upstream of this host.
 *
 * @param pools - the pools of this host
 * @param fingerprints - the requests
 * @param maximumMilliseconds - longest wait
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
