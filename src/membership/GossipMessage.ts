import type { Member } from '../types/Member.js'
import type { DomainContact } from './DomainContact.js'
import type { DomainDigest } from './DomainDigest.js'

/** A probe or heartbeat, or the answer to one. */
export interface GossipMessage {
  /** The sender's own record. */
  from: Member
  /** Recently changed records, bounded in size. */
  updates: Member[]
  /** Digests of some failure domains in the sender's view. */
  digests: DomainDigest[]
  /** Times since the sender's domain last received a message from some of the other domains. */
  contacts: DomainContact[]
}
