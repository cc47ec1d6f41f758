/** What an upstream says of itself when it announces. */
export interface AnnouncedUpstream {
  service: string
  address: string
  slots: number
  connections: number
  /** Whether each answer repeats the request's identifier. */
  echoesRequest: boolean
  countRunning: () => number
  readLoad: () => number | undefined
  /** Called when the owner's operator wants the upstream to leave. */
  onLeaveRequested: () => void
}
