import type { AdmissionRequest } from '../placement/AdmissionQueue.js'
import { computeMaximumWait } from '../placement/computeMaximumWait.js'
import type { EntryRequest } from './EntryRequest.js'

/**
 * @param request - a request that has just arrived
 * @param meanHoldMilliseconds - mean time of a run, in milliseconds
 * @returns what the queue of its service needs to know
 */
export function createAdmissionRequest ({ route, arrivedAt, deadline }: EntryRequest, meanHoldMilliseconds: number): AdmissionRequest {
  const now = performance.now()
  const remainingObjective = arrivedAt + route.targetLatencyMilliseconds - now
  return { priority: route.priority, maximumWaitMilliseconds: computeMaximumWait({ objectiveMilliseconds: remainingObjective, remainingMilliseconds: deadline - now, expectedRunMilliseconds: meanHoldMilliseconds }) }
}
