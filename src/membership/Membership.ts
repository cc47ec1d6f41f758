import type { HostDetails } from '../types/HostDetails.js'
import type { Member } from '../types/Member.js'

/** A host's view of all hosts, including itself. */
export interface Membership {
  /** @returns all known hosts, the local one first; the same array until the view changes */
  members (): Member[]
  /** Replaces the details that the local host publishes of itself. */
  describeSelf (details: HostDetails): void
  /** Calls the listener after each change of the view, until the returned function is called. */
  subscribe (listener: () => void): () => void
  /** Starts exchanging messages. */
  start (): void
  /** Announces to the other hosts that this host leaves, then stops. */
  leave (): Promise<void>
}
