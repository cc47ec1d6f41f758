import type { LoadReport } from './LoadReport.js'
import type { ServiceTimeShape } from './ServiceTimeShape.js'

/** Settings of one stand-in upstream. */
export interface StandInSettings {
  name: string
  service: string
  /** `ip:port` to listen on; port 0 takes any free one. */
  address: string
  /** Number of requests that run at the same time; more are shed. */
  slots: number
  /** Connection limit; connections above it are logged. */
  connections: number
  /** Guest addresses of hosts to announce to first; empty for an upstream that sends no announcements. */
  hosts: string[]
  /** Path of the run log. */
  runLog: string
  seed: number
  /** Mean of the service times after the cold start. */
  serviceTimeMilliseconds: number
  serviceTimeShape: ServiceTimeShape
  /** Duration after the start in which service times are longer. */
  coldStartMilliseconds: number
  /** Factor on the service time at the start; it falls linearly to 1 over the cold start. */
  coldStartFactor: number
  loadReport: LoadReport
  /** Whether each answer repeats the identifier of its request. */
  echoesRequest: boolean
}
