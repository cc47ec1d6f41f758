import { buildConnector, Pool } from 'undici'
import { failOnConnectionReset } from './failOnConnectionReset.js'
import { FramingLimitClient } from './FramingLimitClient.js'

/** How connections to one address are made and kept. */
export interface PoolLimits {
  connections: number
  connectMilliseconds: number
  /** How long an idle connection stays open; the library's own time unless given. */
  idleMilliseconds?: number
}

/**
 * Opens connections to one address, one request at a time on each.
 *
 * @param address - `ip:port`
 * @param limits - how many, and how long things may take
 */
export function openPool (address: string, { connections, connectMilliseconds, idleMilliseconds }: PoolLimits): Pool {
  const connect = failOnConnectionReset(buildConnector({ timeout: connectMilliseconds }))
  return new Pool(`http://${address}`, {
    connections,
    pipelining: 1,
    keepAliveTimeout: idleMilliseconds,
    keepAliveMaxTimeout: idleMilliseconds,
    factory: (origin, options) => new FramingLimitClient(origin, { ...options, connect })
  })
}
