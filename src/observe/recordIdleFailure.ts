import { Step } from '../types/Step.js'
import type { Counters } from './Counters.js'
import { IDLE_CONNECTION_COUNTER } from './declareCounters.js'
import type { Log } from './Log.js'

/**
 * Counts and logs a kept connection that was closed while no request was on it, because of an error or of bytes that answer
 * no request. A request that waited for it is written on another one, so that no line about a request tells of it.
 *
 * @param telemetry - counters and log
 * @param address - address of the upstream
 * @param cause - what happened to the connection
 */
export function recordIdleFailure ({ counters, log }: { counters: Counters, log: Log }, address: string, cause: string): void {
  counters.increment(IDLE_CONNECTION_COUNTER)
  log.warn('idle-connection-failed', { step: Step.Dispatch, peer: address, cause })
}
