import type { MemberRole } from './MemberRole.js'

/** One member of the replica group. */
export interface ReplicaMember {
  /** Random identity, created together with the replica's data folder. */
  identity: string
  /** Address for peer calls, `ip:port`. */
  address: string
  role: MemberRole
}
