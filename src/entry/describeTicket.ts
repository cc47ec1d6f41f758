import type { AdmissionTicket } from '../placement/AdmissionQueue.js'
import { mostUsefulWait } from '../placement/mostUsefulWait.js'
import type { EntryRequest } from './EntryRequest.js'

/**
 * @param request - a request that has just arrived
 * @param expectedRun - mean time of a run, in milliseconds
 * @returns what the queue of its service needs to know
 */
export function describeTicket ({ route, arrivedAt, deadline }: EntryRequest, expectedRun: number): AdmissionTicket {
  const now = performance.now()
  const objective = arrivedAt + route.targetLatencyMilliseconds - now
  return { priority: route.priority, mostWaitMilliseconds: mostUsefulWait({ objective, remaining: deadline - now, expectedRun }) }
}
