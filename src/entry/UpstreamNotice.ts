/** What an upstream says of itself in the head of an answer. */
export interface UpstreamNotice {
  /** Whether it leaves and wants no further requests. */
  isLeaving: boolean
  /** Values of the headers in which it asks for no requests for a time, as received. */
  retryAfter: readonly string[]
}
