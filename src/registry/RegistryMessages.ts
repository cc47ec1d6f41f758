import type { ControlHost } from './ControlHost.js'
import type { EntryHost } from './EntryHost.js'
import type { UpstreamRecord } from './UpstreamRecord.js'

/** An announcement that changes nothing but its sequence number: identifier, start time, sequence number, age in milliseconds. */
export type RenewalRow = [id: string, bornAt: number, sequence: number, ageMilliseconds: number]

/** Upstreams and entry hosts that a control host sends to another one. */
export interface ShareRegistryRequest {
  sender: ControlHost
  records: Array<{ record: UpstreamRecord, ageMilliseconds: number }>
  heard: RenewalRow[]
  entryHosts: Array<{ host: EntryHost, ageMilliseconds: number }>
}

/** Reply to {@link ShareRegistryRequest}, sent after the records are merged. */
export interface ShareRegistryReply {
  /** Identifiers of the upstreams whose full records the receiver requests. */
  unknown: string[]
}
