import type { VersionEntry } from './VersionEntry.js'

/** Record versions of the live and suspect hosts of a domain in a contiguous range of host names. */
export interface DomainEntries {
  domain: string
  /** Exclusive lower bound of the range; undefined when it starts at the first name. */
  after?: string
  /** Exclusive upper bound of the range; undefined when it ends at the last name. */
  before?: string
  entries: VersionEntry[]
}
