import { z } from 'zod'
import ipaddr from 'ipaddr.js'
import { splitAddress } from '../utils/splitAddress.js'

/** Whether an upstream takes new work. */
export enum UpstreamState {
  Ready = 'ready',
  /** Takes no new work; finishes what runs. */
  Leaving = 'leaving'
}

const MAXIMUM_NAME_LENGTH = 128
const MAXIMUM_SLOTS = 100_000
const MAXIMUM_GRANT_MILLISECONDS = 3_600_000

/** Schema of what an upstream sends to announce itself. */
export const announcementSchema = z.object({
  service: z.string().min(1).max(MAXIMUM_NAME_LENGTH),
  address: z.string().refine((address) => ipaddr.isValid(splitAddress(address).host) && splitAddress(address).port > 0, 'allowed: ip:port'),
  /** Random at each start of the upstream process. */
  identity: z.string().min(1).max(MAXIMUM_NAME_LENGTH),
  /** Raised with each announcement of one identity. */
  sequence: z.number().int().min(0),
  state: z.enum(UpstreamState),
  slots: z.number().int().min(1).max(MAXIMUM_SLOTS),
  connections: z.number().int().min(1).max(MAXIMUM_SLOTS),
  /** Requests that the upstream believes it is running. */
  running: z.number().int().min(0).max(MAXIMUM_SLOTS).default(0),
  /** Whether the upstream repeats the request's identifier in each answer; only then are connections kept. */
  echoesRequest: z.boolean().default(false),
  /** Consecutive answers that named another owner than the host asked. */
  redirects: z.number().int().min(0).default(0),
  /** Stamp of the last answer from the host announced to. */
  echo: z.object({ host: z.string(), incarnation: z.number(), stamp: z.number() }).optional(),
  /** Grant of another host that has not ended yet. */
  heldBy: z.object({ host: z.string(), remainingMilliseconds: z.number().min(0).max(MAXIMUM_GRANT_MILLISECONDS) }).optional(),
  load: z.number().min(0).optional()
})

/** What an upstream sends to announce itself. */
export type Announcement = z.infer<typeof announcementSchema>

/** Answer to an announcement. */
export interface AnnouncementAnswer {
  /** Host to announce to next. */
  owner: { name: string, guestAddress: string }
  /** Host that answered. */
  host: { name: string, incarnation: number }
  /** Time at the answering host, to be echoed. */
  stamp: number
  leaseMilliseconds: number
  nextAnnouncementMilliseconds: number
  /** Guest addresses of the live hosts of the failure domain. */
  hosts: string[]
  /** Whether the answering host gives up any grant that it had. */
  released: boolean
  /** Whether a leaving upstream has no request in flight any more. */
  drained: boolean
  /** Whether an operator wants the upstream to leave. */
  leave: boolean
}
