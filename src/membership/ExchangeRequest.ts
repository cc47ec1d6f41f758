import type { Member } from '../types/Member.js'
import type { DomainDigest } from './DomainDigest.js'

/** Asks a host to compare views and to send the records that the caller lacks. */
export interface ExchangeRequest {
  from: Member
  /** Digests of the caller's view to compare. */
  digests: DomainDigest[]
  /** Whether domains without a digest are unknown to the caller and requested as well. */
  complete: boolean
  /** Records that the receiver may lack. */
  updates: Member[]
  /** Names of hosts whose records the caller requests. */
  wanted: string[]
}
