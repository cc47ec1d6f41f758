import type { CallPeer } from '../transport/CallPeer.js'
import { findCurrentEpoch } from './epochViews.js'
import type { LedgerTimings } from './LedgerTimings.js'
import { pauseUnreferenced } from './pauseUnreferenced.js'
import { readStatuses } from './readStatuses.js'
import { writeTicketPrefix, type SignText } from './Ticket.js'

/** Settings and dependencies of {@link TicketIssuer}. */
export interface TicketIssuerOptions {
  domain: string
  ledgerHostsOf: (domain: string) => string[]
  callPeer: CallPeer
  sign: SignText
}

/** Issues ticket prefixes of this failure domain while its ledger has a quorum. */
export class TicketIssuer {
  readonly #options: TicketIssuerOptions
  readonly #timings: LedgerTimings
  #epoch: string | undefined
  #checkedAt = 0
  #isRunning = false

  /**
   * @param options - failure domain, its ledger hosts, transport and signature
   * @param timings - intervals, timeouts and the lifetime of tickets
   */
  constructor (options: TicketIssuerOptions, timings: LedgerTimings) {
    this.#options = options
    this.#timings = timings
  }

  /** Starts to check for a quorum in the background. */
  start (): void {
    if (this.#isRunning) return
    this.#isRunning = true
    this.#run()
  }

  /** Stops the background checks. */
  stop (): void {
    this.#isRunning = false
  }

  /** @returns a new, unique prefix, undefined while no recent check found a quorum */
  issue (): string | undefined {
    const isRecent = performance.now() - this.#checkedAt <= this.#timings.ticketCheckMilliseconds
    if (this.#epoch === undefined || !isRecent) return undefined
    const { domain, sign } = this.#options
    return writeTicketPrefix({ domain, epoch: this.#epoch, expiresAt: Date.now() + this.#timings.ticketMilliseconds }, sign)
  }

  /** Determines once which epoch has a quorum. */
  async check (): Promise<void> {
    const startedAt = performance.now()
    const { domain, callPeer, ledgerHostsOf } = this.#options
    const statuses = await readStatuses(callPeer, ledgerHostsOf(domain), domain, this.#timings.statusMilliseconds)
    this.#epoch = findCurrentEpoch(statuses)?.id
    this.#checkedAt = startedAt
  }

  async #run (): Promise<void> {
    while (this.#isRunning) {
      await this.check()
      await pauseUnreferenced(this.#epoch === undefined ? this.#timings.roundMilliseconds : this.#timings.ticketRoundMilliseconds)
    }
  }
}
