import type { GuestAnswer } from './GuestAnswer.js'
import type { GuestRequest } from './GuestRequest.js'

/** One finished request of a load run. */
export interface LoadRecord {
  request: GuestRequest
  answer: GuestAnswer
  /** Identifier of the arrival, the same for all its resends. */
  token: string
  /** Scheduled time of the arrival, from the start of the run. */
  intendedMilliseconds: number
  /** Time at which this sending began, from the start of the run. */
  sentMilliseconds: number
  /** From the scheduled time to the end of the request. */
  latencyMilliseconds: number
  /** From the scheduled time to the actual sending of the arrival. */
  sendDelayMilliseconds: number
}
