/** Answer of a host to the announcement of an upstream. */
export interface AnnouncementAnswer {
  owner: { name: string, guestAddress: string }
  host: { name: string, incarnation: number }
  stamp: number
  leaseMilliseconds: number
  nextAnnouncementMilliseconds: number
  hosts: string[]
  released?: boolean
  drained?: boolean
  leave?: boolean
}
