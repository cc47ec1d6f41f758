/** Description of an upstream, from which its announcements are composed. */
export interface AnnouncedUpstream {
  service: string
  address: string
  slots: number
  connections: number
  /** Whether each answer repeats the identifier of its request. */
  echoesRequest: boolean
  /** Returns the number of requests that run now. */
  countRunning: () => number
  /** Returns the load to report as a fraction of the slots, undefined to report none. */
  readLoad: () => number | undefined
  /** Called when the owner's answer asks the upstream to leave, as ordered by an operator. */
  onLeaveRequested: () => void
}
