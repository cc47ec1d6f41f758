import type { Member } from '../types/Member.js'
import type { DomainEntries } from './DomainEntries.js'

/** Answer to an {@link ExchangeRequest}. */
export interface ExchangeAnswer {
  from: Member
  /** The requested records, and newer records where the caller sent outdated ones. */
  updates: Member[]
  /** Record versions of the domains whose digests differ. */
  differing: DomainEntries[]
  /** Whether versions that are not listed differ or may differ. */
  more: boolean
}
