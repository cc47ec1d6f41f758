import type { ControlHost } from './ControlHost.js'
import type { EntryHost } from './EntryHost.js'
import type { UpstreamRecord } from './UpstreamRecord.js'

/** An announcement that changes nothing but its sequence number: identifier, start time, sequence number, age in milliseconds. */
export type RenewalRow = [id: string, bornAt: number, sequence: number, ageMilliseconds: number]

/** What the registry of a control host holds of the departures that were acknowledged before the host started. */
export enum RegistryOrigin {
  /** Nothing: its disk was empty, and it has not merged other registries yet. */
  Empty = 'empty',
  /** Those that this host itself had made durable. */
  Restored = 'restored',
  /** All: it has merged the registries of a majority, or the whole system started for the first time. */
  Merged = 'merged'
}

/** Upstreams and entry hosts that a control host sends to another one. */
export interface ShareRegistryRequest {
  sender: ControlHost
  records: Array<{ record: UpstreamRecord, ageMilliseconds: number }>
  heard: RenewalRow[]
  entryHosts: Array<{ host: EntryHost, ageMilliseconds: number }>
  /** Set in a full registry; absent from hosts of earlier versions, which restore theirs before they answer. */
  origin?: RegistryOrigin
}

/** Reply to {@link ShareRegistryRequest}, sent after the records are merged. */
export interface ShareRegistryReply {
  /** Identifiers of the upstreams whose full records the receiver requests. */
  unknown: string[]
}
