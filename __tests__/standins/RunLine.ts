import type { RunEvent } from './RunEvent.js'

/** One line of a stand-in upstream's run log. */
export interface RunLine {
  event: RunEvent
  /** Wall-clock time in milliseconds, with fractions. */
  time: number
  upstream: string
  service: string
  /** Identifier that the guest put into the query. */
  token?: string
  /** Identifier of the guest's sending; differs between resends. */
  sending?: string
  /** Idempotency key, of one-time actions. */
  key?: string
  /** Identifier that the relay gave the request. */
  request?: string
  /** Number of requests that run at the upstream, including that of this line if it runs. */
  running: number
}
