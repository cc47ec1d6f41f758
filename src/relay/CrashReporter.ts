import type { Counters } from '../observe/Counters.js'
import type { Log } from '../observe/Log.js'
import { Step } from '../types/Step.js'
import { FreshLooks } from '../utils/FreshLooks.js'
import { isListening } from '../utils/isListening.js'
import { selectBlamedRequests } from './selectBlamedRequests.js'
import type { PoisonGuard, PoisonRecord } from './PoisonGuard.js'
import type { Upstream } from './Upstream.js'

const CONNECT_TIMEOUT_MILLISECONDS = 200
const MINIMUM_CONNECTION_LIFETIME_MILLISECONDS = 100

/** Dependencies of a {@link CrashReporter}. */
export interface CrashReporterOptions {
  poison: PoisonGuard
  /** Sends the records to the other hosts; resolves when they have replied or the wait has timed out. */
  notifyPeers: (records: PoisonRecord[]) => Promise<void>
  /** Called when an upstream was found dead. */
  onDead: (upstream: Upstream) => void
  counters: Counters
  log: Log
}

/** Checks whether an upstream died after a connection to it broke, and blames the requests that may have killed it. */
export class CrashReporter {
  readonly #options: CrashReporterOptions
  readonly #runningChecks = new Map<Upstream, Promise<void>>()
  readonly #looks = new FreshLooks()

  /** @param options - poison guard, peers and callbacks */
  constructor (options: CrashReporterOptions) {
    this.#options = options
  }

  /**
   * Checks whether the upstream died. If so, blames requests and reports them to the other hosts before it resolves.
   * Concurrent calls for the same upstream share one check.
   *
   * @param upstream - the upstream whose connection broke with a request in flight
   */
  async checkUpstream (upstream: Upstream): Promise<void> {
    const runningCheck = this.#runningChecks.get(upstream)
    if (runningCheck !== undefined) {
      await runningCheck
      return
    }
    const check = this.#checkOnce(upstream)
    this.#runningChecks.set(upstream, check)
    await check
    this.#runningChecks.delete(upstream)
  }

  /** @returns whether an upstream listens, found out after this call began */
  async isAlive ({ address }: Upstream): Promise<boolean> {
    return await this.#looks.look(address, () => isListening(address, CONNECT_TIMEOUT_MILLISECONDS, MINIMUM_CONNECTION_LIFETIME_MILLISECONDS))
  }

  async #checkOnce (upstream: Upstream): Promise<void> {
    const fingerprints = [...upstream.inFlight].map((request) => request.fingerprint)
    if (await isListening(upstream.address, CONNECT_TIMEOUT_MILLISECONDS, MINIMUM_CONNECTION_LIFETIME_MILLISECONDS)) return
    const blamed = selectBlamedRequests(fingerprints, this.#options.poison)
    this.#options.counters.increment('upstream.died')
    this.#options.log.warn('upstream-died', { step: Step.Dispatch, peer: upstream.address, inFlight: fingerprints.length, blamed: blamed.length })
    this.#options.onDead(upstream)
    for (const fingerprint of blamed) this.#options.poison.recordLoss({ fingerprint, lostUpstreams: [upstream.identity] })
    await this.#options.notifyPeers(blamed.map((fingerprint) => this.#options.poison.describe(fingerprint)))
  }
}
