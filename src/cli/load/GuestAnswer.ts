import type { Outcome } from '../../types/Outcome.js'

/** What a guest got for a request. */
export interface GuestAnswer {
  /** HTTP status, 0 when no whole answer came. */
  status: number
  /** What the system said of the request, undefined when no whole answer came. */
  outcome: Outcome | undefined
  /** The refusal's reason, or the transport's error code. */
  reason: string
  body: Buffer
  /** Address of the host that answered, or was tried last. */
  hostAddress: string
  attempts: number
  /** Attempts that broke after the request may have been sent. */
  lostAttempts: number
  /** Addresses of the hosts of these attempts. */
  lostHostAddresses: string[]
  /** Error codes of these attempts. */
  lostReasons: string[]
}
