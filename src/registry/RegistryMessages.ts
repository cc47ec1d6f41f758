import type { ControlHost } from './ControlHost.js'
import type { EntryHost } from './EntryHost.js'
import type { UpstreamRecord } from './UpstreamRecord.js'

/** An announcement that changes nothing but its number: identifier, start, number, age in milliseconds. */
export type RenewalRow = [id: string, bornAt: number, sequence: number, ageMilliseconds: number]

/** What a control host tells another of upstreams and entry hosts. */
export interface ShareRegistryRequest {
  sender: ControlHost
  records: Array<{ record: UpstreamRecord, ageMilliseconds: number }>
  heard: RenewalRow[]
  entryHosts: Array<{ host: EntryHost, ageMilliseconds: number }>
}

/** Answer to {@link ShareRegistryRequest}, after the records are taken in. */
export interface ShareRegistryReply {
  /** Identifiers that the receiver wants whole records of. */
  unknown: string[]
}
