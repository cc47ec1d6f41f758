import type { Member } from '../types/Member.js'

/** Asks a host to probe another host on behalf of the caller. */
export interface IndirectProbeRequest {
  from: Member
  /** Name of the host to probe. */
  target: string
  /** Address of the target for calls between hosts. */
  targetAddress: string
}

/** Answer to an {@link IndirectProbeRequest}. */
export interface IndirectProbeAnswer {
  /** Whether the target answered in time. */
  answered: boolean
}
