import type { Counters } from '../observe/Counters.js'
import type { Log } from '../observe/Log.js'
import { Step } from '../types/Step.js'
import { isListening } from '../utils/isListening.js'
import { selectBlamedRequests } from './selectBlamedRequests.js'
import type { PoisonGuard, PoisonRecord } from './PoisonGuard.js'
import type { Upstream } from './Upstream.js'

const CONNECT_TIMEOUT_MILLISECONDS = 200
const MINIMUM_CONNECTION_MILLISECONDS = 100

/** What the reporter needs. */
export interface CrashReporterOptions {
  poison: PoisonGuard
  /** Tells the other hosts; resolves when they know or the wait is over. */
  notifyPeers: (records: PoisonRecord[]) => Promise<void>
  /** Called when the upstream is found dead. */
  onDead: (upstream: Upstream) => void
  counters: Counters
  log: Log
}

/** Finds out whether an upstream died when a connection to it broke, and which requests to blame. */
export class CrashReporter {
  readonly #options: CrashReporterOptions
  readonly #runningChecks = new Map<Upstream, Promise<void>>()

  /** @param options - guard and peers */
  constructor (options: CrashReporterOptions) {
    this.#options = options
  }

  /**
   * Settles whether the upstream died, blames requests if so, and tells the other hosts before it resolves.
   *
   * @param upstream - the upstream that broke a connection with a request in flight
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

  async #checkOnce (upstream: Upstream): Promise<void> {
    const fingerprints = [...upstream.inFlight].map((request) => request.fingerprint)
    if (await isListening(upstream.address, CONNECT_TIMEOUT_MILLISECONDS, MINIMUM_CONNECTION_MILLISECONDS)) return
    const blamed = selectBlamedRequests(fingerprints, this.#options.poison)
    this.#options.counters.increment('upstream.died')
    this.#options.log.warn('upstream-died', { step: Step.Dispatch, peer: upstream.address, inFlight: fingerprints.length, blamed: blamed.length })
    this.#options.onDead(upstream)
    for (const fingerprint of blamed) this.#options.poison.recordLoss({ fingerprint, lostUpstreams: [upstream.identity] })
    await this.#options.notifyPeers(blamed.map((fingerprint) => this.#options.poison.describe(fingerprint)))
  }
}
