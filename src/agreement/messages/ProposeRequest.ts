/** Asks a replica to append a value to the log. */
export interface ProposeRequest {
  /** Identity of the asked replica, if the caller knows it. */
  receiver?: string
  /** Whether a replica already forwarded the value; it is then not forwarded again. */
  forwarded: boolean
  /** The proposed value, JSON. */
  value: unknown
}
