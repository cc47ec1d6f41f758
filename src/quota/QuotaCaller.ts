import type { Counters } from '../observe/Counters.js'
import type { Log } from '../observe/Log.js'
import type { CallPeer } from '../transport/CallPeer.js'
import { PeerMethod } from '../types/PeerMethod.js'
import { Step } from '../types/Step.js'
import { QuotaCounter } from './QuotaCounter.js'
import type { QuotaGrant, QuotaReply, QuotaRequest, QuotaRow } from './QuotaMessages.js'

/** A round trip between regions takes 110 ms; a guest waits for at most two such calls. */
const CALL_TIMEOUT_MILLISECONDS = 300
/** Time after a failed call during which the control host ranks behind the others. */
const FAILURE_PENALTY_MILLISECONDS = 2_000
/** Minimum time between two log lines about failed calls. */
const LOG_INTERVAL_MILLISECONDS = 5_000

/** Dependencies of {@link QuotaCaller}. */
export interface QuotaCallerOptions {
  /** Identifies this run of this entry host. */
  client: string
  /** @returns peer addresses of the control hosts, the followed one first */
  listControlHosts: () => string[]
  callPeer: CallPeer
  counters: Counters
  log: Log
}

/** Calls control hosts for tokens. */
export class QuotaCaller {
  readonly #options: QuotaCallerOptions
  readonly #failedAtByAddress = new Map<string, number>()
  #loggedAt = Number.NEGATIVE_INFINITY

  /** @param options - control hosts and transport */
  constructor (options: QuotaCallerOptions) {
    this.#options = options
  }

  /** @returns peer addresses in the order in which they should be called: those that failed a moment ago last */
  rank (): string[] {
    const now = performance.now()
    for (const [address, failedAt] of this.#failedAtByAddress) if (now - failedAt > FAILURE_PENALTY_MILLISECONDS) this.#failedAtByAddress.delete(address)
    const addresses = [...new Set(this.#options.listControlHosts())]
    return [...addresses.filter((address) => !this.#failedAtByAddress.has(address)), ...addresses.filter((address) => this.#failedAtByAddress.has(address))]
  }

  /** @returns one grant per row in the same order, null for an unknown account; undefined when the control host did not answer in time */
  async call (address: string, rows: QuotaRow[]): Promise<Array<QuotaGrant | null> | undefined> {
    const { client, callPeer, counters } = this.#options
    const request: QuotaRequest = { client, rows }
    counters.increment(QuotaCounter.Calls)
    try {
      const { grants } = await callPeer<QuotaReply>(address, PeerMethod.TakeQuota, request, CALL_TIMEOUT_MILLISECONDS)
      this.#failedAtByAddress.delete(address)
      return grants
    } catch (error) {
      this.#recordFailure(address, error)
      return undefined
    }
  }

  #recordFailure (address: string, error: unknown): void {
    const { counters, log } = this.#options
    counters.increment(QuotaCounter.FailedCalls)
    const now = performance.now()
    this.#failedAtByAddress.set(address, now)
    if (now - this.#loggedAt < LOG_INTERVAL_MILLISECONDS) return
    this.#loggedAt = now
    log.warn('quota-call-failed', { step: Step.Quota, peer: address, cause: String(error), failed: counters.read(QuotaCounter.FailedCalls) })
  }
}
