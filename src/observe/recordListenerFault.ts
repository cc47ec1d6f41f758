import type { ListenerFault } from '../transport/ListenerFault.js'
import type { ListenerFaultDetails } from '../transport/HttpListenerOptions.js'
import { Step } from '../types/Step.js'
import type { Counters } from './Counters.js'
import { listenerFaultCounter } from './declareCounters.js'
import type { Log } from './Log.js'

/**
 * Creates the callback of a listener that counts and logs its faults.
 *
 * @param telemetry - counters and log
 * @param listener - which listener it is, for the log
 * @returns the callback
 */
export function recordListenerFault ({ counters, log }: { counters: Counters, log: Log }, listener: string): (fault: ListenerFault, details: ListenerFaultDetails) => void {
  return (fault, { peer, path, cause }) => {
    counters.increment(listenerFaultCounter(fault))
    log.warn('listener-fault', { step: Step.Listen, listener, fault, peer, path, cause })
  }
}
