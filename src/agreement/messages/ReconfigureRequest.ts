import type { ReconfigureAction } from '../ReconfigureAction.js'
import type { Snapshot } from '../Snapshot.js'

/** A command that changes the membership of the replica group. */
export interface ReconfigureRequest {
  action: ReconfigureAction
  /** Whether a replica already forwarded the command; it is then not forwarded again. */
  forwarded: boolean
  /** Identity of the member to promote, remove or replace, or of the replica that adopts the group. */
  identity?: string
  /** Address of the replica to add. */
  address?: string
  /** First state of the group, with {@link ReconfigureAction.AdoptGroup}. */
  snapshot?: Snapshot
}
