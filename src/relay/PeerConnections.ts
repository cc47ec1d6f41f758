import type { Dispatcher, Pool } from 'undici'
import { openPool } from './openPool.js'

const MAXIMUM_CONNECTIONS_PER_PEER = 256
const CONNECT_TIMEOUT_MILLISECONDS = 1_000

/** Connections for forwarding requests to owners on other hosts, one request at a time on each. */
export class PeerConnections {
  readonly #pools = new Map<string, Pool>()
  readonly #dialAddress: (address: string) => string

  /** @param dialAddress - maps a peer's address to the address to connect to */
  constructor (dialAddress: (address: string) => string) {
    this.#dialAddress = dialAddress
  }

  /** @returns the connections to a peer; they are opened on first use */
  to (address: string): Dispatcher {
    const existing = this.#pools.get(address)
    if (existing !== undefined) return existing
    const pool = openPool(this.#dialAddress(address), { connections: MAXIMUM_CONNECTIONS_PER_PEER, connectTimeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS })
    this.#pools.set(address, pool)
    return pool
  }

  /** Closes all connections immediately. */
  async close (): Promise<void> {
    await Promise.all([...this.#pools.values()].map(async (pool) => { await pool.destroy() }))
  }
}
