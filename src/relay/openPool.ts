import { buildConnector, Pool } from 'undici'
import { failOnConnectionReset } from './failOnConnectionReset.js'
import { FramingLimitClient } from './FramingLimitClient.js'

/** Limits of the connections to one address. */
export interface PoolLimits {
  connections: number
  connectTimeoutMilliseconds: number
  /** Time after which an idle connection is closed; the default of the HTTP library when absent. */
  idleTimeoutMilliseconds?: number
  /** Called with the cause when a connection fails while no request is on it. */
  onIdleFailure?: (cause: string) => void
}

/**
 * Opens connections to one address, one request at a time on each.
 *
 * @param address - `ip:port`
 * @param limits - number of connections, connect timeout and idle timeout, and what to call on a failure
 */
export function openPool (address: string, { connections, connectTimeoutMilliseconds, idleTimeoutMilliseconds, onIdleFailure }: PoolLimits): Pool {
  const connect = failOnConnectionReset(buildConnector({ timeout: connectTimeoutMilliseconds }))
  return new Pool(`http://${address}`, {
    connections,
    pipelining: 1,
    keepAliveTimeout: idleTimeoutMilliseconds,
    keepAliveMaxTimeout: idleTimeoutMilliseconds,
    factory: (origin, options) => new FramingLimitClient(origin, { ...options, connect }, onIdleFailure)
  })
}
