import type { PoolSummary } from '../types/PoolSummary.js'
import type { ServiceCap } from './ServiceCap.js'
import type { Upstream } from './Upstream.js'
import { UpstreamPool } from './UpstreamPool.js'

/** Settings of the pools in a {@link PoolRegistry}. */
export interface PoolRegistryOptions {
  queueLength: number
  /** Caps of the services in this place. */
  cap: ServiceCap
}

/** The pools that this host owns, by service. */
export class PoolRegistry {
  readonly #pools = new Map<string, UpstreamPool>()
  readonly #options: PoolRegistryOptions

  /** @param options - queue length and caps of the pools */
  constructor (options: PoolRegistryOptions) {
    this.#options = options
  }

  /** @returns the pool of a service, undefined if this host never owned one */
  find (service: string): UpstreamPool | undefined {
    return this.#pools.get(service)
  }

  /** @returns the pool of a service, created if it does not exist */
  ensure (service: string): UpstreamPool {
    const existing = this.#pools.get(service)
    if (existing !== undefined) return existing
    const pool = new UpstreamPool({ service, queueLength: this.#options.queueLength, cap: this.#options.cap })
    this.#pools.set(service, pool)
    return pool
  }

  /** @returns whether an upstream is still in its pool: neither found dead nor replaced by another process at its address */
  has (upstream: Upstream): boolean {
    return this.find(upstream.service)?.upstreams.get(upstream.address) === upstream
  }

  /** @returns all pools */
  list (): UpstreamPool[] {
    return [...this.#pools.values()]
  }

  /** @returns summaries for other hosts of the pools with at least one usable upstream */
  summarize (): PoolSummary[] {
    return this.list().map((pool) => pool.summarize()).filter((summary) => summary.upstreams > 0)
  }

  /** Number of requests in flight or waiting in all pools. */
  get requestCount (): number {
    let count = 0
    for (const pool of this.#pools.values()) {
      count += pool.waiting
      for (const upstream of pool.upstreams.values()) count += upstream.running
    }
    return count
  }
}
