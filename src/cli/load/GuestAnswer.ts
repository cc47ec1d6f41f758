import type { Outcome } from '../../types/Outcome.js'

/** Result of a request as its guest sees it, after all attempts. */
export interface GuestAnswer {
  /** HTTP status; 0 when no complete answer arrived. */
  status: number
  /** Outcome that the system reported; undefined when no complete answer arrived. */
  outcome: Outcome | undefined
  /** Reason of a refusal, or error code of the transport. */
  reason: string
  body: Buffer
  /** Address of the host that answered, or of the last attempt. */
  hostAddress: string
  attempts: number
  /** Attempts that failed after the request may have been sent. */
  lostAttempts: number
  /** Addresses of the hosts of these attempts. */
  lostHostAddresses: string[]
  /** Error codes of these attempts. */
  lostReasons: string[]
}
