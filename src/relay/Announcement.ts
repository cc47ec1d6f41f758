import { z } from 'zod'
import ipaddr from 'ipaddr.js'
import { splitAddress } from '../utils/splitAddress.js'

/** State that an upstream announces. */
export enum UpstreamState {
  Ready = 'ready',
  /** Accepts no new requests; finishes the running ones. */
  Leaving = 'leaving'
}

const MAXIMUM_NAME_LENGTH = 128
const MAXIMUM_SLOTS = 100_000
const MAXIMUM_GRANT_MILLISECONDS = 3_600_000

/** Schema of the announcement that an upstream sends to a host. */
export const announcementSchema = z.object({
  service: z.string().min(1).max(MAXIMUM_NAME_LENGTH),
  address: z.string().refine((address) => ipaddr.isValid(splitAddress(address).host) && splitAddress(address).port > 0, 'allowed: ip:port'),
  /** Random identifier of the upstream process, new at each start. */
  identity: z.string().min(1).max(MAXIMUM_NAME_LENGTH),
  /** Increases with each announcement of one identity. */
  sequence: z.number().int().min(0),
  state: z.enum(UpstreamState),
  slots: z.number().int().min(1).max(MAXIMUM_SLOTS),
  connections: z.number().int().min(1).max(MAXIMUM_SLOTS),
  /** Number of running requests, as counted by the upstream. */
  running: z.number().int().min(0).max(MAXIMUM_SLOTS).default(0),
  /** Whether the upstream returns the request's identifier in each answer; connections to it are reused only then. */
  echoesRequest: z.boolean().default(false),
  /** Number of consecutive answers in which the answering host named another host as owner. */
  redirects: z.number().int().min(0).default(0),
  /** Stamp of the last answer from the receiving host. */
  echo: z.object({ host: z.string(), incarnation: z.number(), stamp: z.number() }).optional(),
  /** Grant to another host that has not ended yet. */
  heldBy: z.object({ host: z.string(), remainingMilliseconds: z.number().min(0).max(MAXIMUM_GRANT_MILLISECONDS) }).optional(),
  load: z.number().min(0).optional()
})

/** Announcement that an upstream sends to a host. */
export type Announcement = z.infer<typeof announcementSchema>

/** Answer to an announcement. */
export interface AnnouncementAnswer {
  /** Host to announce to next. */
  owner: { name: string, guestAddress: string }
  /** Host that answered. */
  host: { name: string, incarnation: number }
  /** Time on the clock of the answering host, in milliseconds; the upstream echoes it in its next announcement. */
  stamp: number
  leaseMilliseconds: number
  nextAnnouncementMilliseconds: number
  /** Guest addresses of the live hosts of the failure domain. */
  hosts: string[]
  /** Whether the answering host has given up any grant that it had. */
  released: boolean
  /** Whether the upstream is leaving and no requests are in flight on it. */
  drained: boolean
  /** Whether an operator has requested that the upstream leaves. */
  leave: boolean
}
