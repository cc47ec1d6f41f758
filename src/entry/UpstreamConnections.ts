import type { Dispatcher, Pool } from 'undici'
import type { UpstreamRecord } from '../registry/UpstreamRecord.js'
import { openPool } from '../relay/openPool.js'

/**
 * Timeout for connecting: a round trip between regions takes 110 ms. A lost packet is sent again after a second; by
 * then another upstream is the better choice.
 */
const CONNECT_TIMEOUT_MILLISECONDS = 500
/** Upstreams close idle connections after about 10 s; closing them earlier avoids sending on a closed connection. */
const IDLE_TIMEOUT_MILLISECONDS = 6_000
/** Maximum number of connections of this host to one upstream; it seldom has more requests there than slots. */
const MAXIMUM_CONNECTIONS = 32

/** Connections of this host to upstreams, one request at a time on each. */
export class UpstreamConnections {
  readonly #poolsByAddress = new Map<string, { record: UpstreamRecord, pool: Pool }>()

  readonly #onIdleFailure: (address: string, cause: string) => void

  /** @param onIdleFailure - called with the address and the cause when a connection fails while no request is on it */
  constructor (onIdleFailure: (address: string, cause: string) => void = () => {}) {
    this.#onIdleFailure = onIdleFailure
  }

  /** @returns the connections to an upstream, new ones if another process has taken over its address */
  to (record: UpstreamRecord): Dispatcher {
    const existing = this.#poolsByAddress.get(record.address)
    if (existing !== undefined && existing.record.id === record.id) return existing.pool
    existing?.pool.close().catch(() => {})
    const pool = openPool(record.address, {
      connections: MAXIMUM_CONNECTIONS,
      connectTimeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS,
      idleTimeoutMilliseconds: IDLE_TIMEOUT_MILLISECONDS,
      onIdleFailure: (cause) => { this.#onIdleFailure(record.address, cause) }
    })
    this.#poolsByAddress.set(record.address, { record, pool })
    return pool
  }

  /** Closes the connections to upstreams that are no longer in use, once they are idle. */
  closeUnused (isInUse: (record: UpstreamRecord) => boolean): void {
    for (const [address, { record, pool }] of this.#poolsByAddress) {
      if (isInUse(record)) continue
      this.#poolsByAddress.delete(address)
      pool.close().catch(() => {})
    }
  }

  /** Closes all connections immediately. */
  async destroy (): Promise<void> {
    await Promise.all([...this.#poolsByAddress.values()].map(({ pool }) => pool.destroy()))
  }
}
