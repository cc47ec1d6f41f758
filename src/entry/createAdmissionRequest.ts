import type { StopWindow } from '../limits/StopWindow.js'
import type { AdmissionRequest } from '../placement/AdmissionQueue.js'
import { computeMaximumWait } from '../placement/computeMaximumWait.js'
import type { EntryRequest } from './EntryRequest.js'

/**
 * Describes a request to the queue of its service.
 *
 * @param request - a request that has just arrived
 * @param meanHoldMilliseconds - mean time from admission to the end of a request
 * @param stopWindow - decides what a stopping host still accepts
 * @returns its priority, its maximum wait and what else ends the wait
 */
export function createAdmissionRequest ({ route, access, arrivedAt, deadline }: EntryRequest, meanHoldMilliseconds: number, stopWindow: Pick<StopWindow, 'watch'>): AdmissionRequest {
  const now = performance.now()
  const remainingObjective = arrivedAt + route.targetLatencyMilliseconds - now
  return {
    priority: access?.account?.priority ?? route.priority,
    maximumWaitMilliseconds: computeMaximumWait({ objectiveMilliseconds: remainingObjective, remainingMilliseconds: deadline - now, expectedRunMilliseconds: meanHoldMilliseconds }),
    watchStop: (refuse) => stopWindow.watch(deadline, refuse)
  }
}
