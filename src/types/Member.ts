import type { HostDetails } from './HostDetails.js'
import type { HostIdentity } from './HostIdentity.js'
import type { MemberState } from './MemberState.js'

/** A host as currently seen by another host. */
export interface Member {
  host: HostIdentity
  state: MemberState
  /** Increased by the host itself at each start and to refute a suspicion. */
  incarnation: number
  /** Increased by the host at each change of its details within one incarnation. */
  version: number
  details: HostDetails
}
