import { buildConnector, Pool } from 'undici'
import { failOnConnectionReset } from './failOnConnectionReset.js'
import { FramingLimitClient } from './FramingLimitClient.js'

/** How connections to one address are made and kept. */
export interface PoolLimits {
  connections: number
  connectTimeoutMilliseconds: number
  /** How long an idle connection stays open; the library's own time unless given. */
  idleTimeoutMilliseconds?: number
}

/**
 * Opens connections to one address, one request at a time on each.
 *
 * @param address - `ip:port`
 * @param limits - how many, and how long things may take
 */
export function openPool (address: string, { connections, connectTimeoutMilliseconds, idleTimeoutMilliseconds }: PoolLimits): Pool {
  const connect = failOnConnectionReset(buildConnector({ timeout: connectTimeoutMilliseconds }))
  return new Pool(`http://${address}`, {
    connections,
    pipelining: 1,
    keepAliveTimeout: idleTimeoutMilliseconds,
    keepAliveMaxTimeout: idleTimeoutMilliseconds,
    factory: (origin, options) => new FramingLimitClient(origin, { ...options, connect })
  })
}
