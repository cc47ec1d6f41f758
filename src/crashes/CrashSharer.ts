import type { Log } from '../observe/Log.js'
import type { CallPeer } from '../transport/CallPeer.js'
import { PeerMethod } from '../types/PeerMethod.js'
import { Step } from '../types/Step.js'
import { waitWithinDeadline } from '../utils/waitWithinDeadline.js'
import type { CrashReport } from './CrashReport.js'
import type { CrashTable } from './CrashTable.js'

/** Timeout of one call: a round trip between regions takes 110 ms, and a busy host takes longer. */
const CALL_TIMEOUT_MILLISECONDS = 400
/** Interval at which reports that were not confirmed are sent again. */
const RESEND_INTERVAL_MILLISECONDS = 250
/** Changes within this time are sent together: the end of one upstream concerns several requests. */
const BATCH_DELAY_MILLISECONDS = 5
/** Maximum wait for a stored change: a request under which an upstream ended waits as long for the permit of its next run. */
const MAXIMUM_SAVE_MILLISECONDS = 250

/** Dependencies of {@link CrashSharer}. */
export interface CrashSharerOptions {
  /** Name of this host, for the logs of the others. */
  hostName: () => string
  crashes: CrashTable
  /** @returns peer addresses of the hosts to keep up to date */
  listPeers: () => string[]
  callPeer: CallPeer
  log: Log
}

/** A call that reports crashes. */
export interface ReportCrashesRequest {
  hostName: string
  report: CrashReport
}

/** Sends each change of the crash table to other hosts at once, and again until they confirm it. */
export class CrashSharer {
  readonly #options: CrashSharerOptions
  readonly #confirmedRevisionByAddress = new Map<string, number>()
  readonly #busyAddresses = new Set<string>()
  #batchTimer: NodeJS.Timeout | undefined
  #resendTimer: NodeJS.Timeout | undefined

  /** @param options - the table, the hosts to keep up to date, and the transport */
  constructor (options: CrashSharerOptions) {
    this.#options = options
  }

  /** Begins to send again what was not confirmed, until {@link stop}. */
  start (): void {
    this.#resendTimer = setInterval(() => { this.#sendToAll() }, RESEND_INTERVAL_MILLISECONDS)
  }

  stop (): void {
    clearInterval(this.#resendTimer)
    clearTimeout(this.#batchTimer)
  }

  /** Sends changes of the table soon. */
  share (): void {
    this.#batchTimer ??= setTimeout(() => {
      this.#batchTimer = undefined
      this.#sendToAll()
    }, BATCH_DELAY_MILLISECONDS)
  }

  /**
   * Sends what changed and waits until the hosts have stored it, {@link MAXIMUM_SAVE_MILLISECONDS} at most. A failure is
   * only logged, as {@link share} sends changes until they are confirmed.
   *
   * @param revision - revision of the crash table before the change
   */
  async save (revision: number): Promise<void> {
    const { crashes, hostName, listPeers, callPeer, log } = this.#options
    const request: ReportCrashesRequest = { hostName: hostName(), report: crashes.changedSince(revision) }
    await Promise.all(listPeers().map(async (address) => {
      try {
        const saved = callPeer(address, PeerMethod.SaveCrashes, request, MAXIMUM_SAVE_MILLISECONDS)
        await waitWithinDeadline(saved, performance.now() + MAXIMUM_SAVE_MILLISECONDS)
      } catch (error) {
        log.info('crashes-not-saved', { step: Step.Follow, peer: address, cause: String(error) })
      }
    }))
  }

  /** Sends everything again to a host that was started again and knows nothing of what it confirmed. */
  forgetConfirmations (address: string): void {
    this.#confirmedRevisionByAddress.delete(address)
  }

  #sendToAll (): void {
    for (const address of this.#options.listPeers()) {
      this.#send(address).catch((error: unknown) => { this.#options.log.info('crashes-not-reported', { step: Step.Follow, peer: address, cause: String(error) }) })
    }
  }

  async #send (address: string): Promise<void> {
    const { crashes, hostName, callPeer } = this.#options
    const { revision } = crashes
    const confirmedRevision = this.#confirmedRevisionByAddress.get(address) ?? 0
    if (this.#busyAddresses.has(address) || confirmedRevision >= revision) return
    this.#busyAddresses.add(address)
    try {
      const request: ReportCrashesRequest = { hostName: hostName(), report: crashes.changedSince(confirmedRevision) }
      await callPeer(address, PeerMethod.ReportCrashes, request, CALL_TIMEOUT_MILLISECONDS)
      this.#confirmedRevisionByAddress.set(address, revision)
    } finally {
      this.#busyAddresses.delete(address)
    }
    if (crashes.revision > revision) this.share()
  }
}
