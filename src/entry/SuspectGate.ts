import { randomUUID } from 'node:crypto'
import type { CrashTable } from '../crashes/CrashTable.js'
import type { SuspectPermitReply, SuspectPermitRequest } from '../crashes/SuspectDesk.js'
import type { Log } from '../observe/Log.js'
import type { CallPeer } from '../transport/CallPeer.js'
import { PeerMethod } from '../types/PeerMethod.js'
import { RefusalReason } from '../types/RefusalReason.js'
import { Step } from '../types/Step.js'
import { abbreviateFingerprint } from '../utils/abbreviateFingerprint.js'
import { pause } from '../utils/pause.js'
import { rankByRendezvous } from '../utils/rankByRendezvous.js'
import type { CrashDetector } from './CrashDetector.js'

/** Timeout of one call to a control host: a round trip between regions takes 110 ms. */
const CALL_TIMEOUT_MILLISECONDS = 400
const RETRY_PAUSE_MILLISECONDS = 40
/** Time during which a control host that did not answer is not asked. */
const SILENT_MILLISECONDS = 3_000
/** Fraction of the remaining time that a suspect may wait, so that it can still run, or be sent again after a refusal. */
const WAIT_FRACTION = 0.5
/**
 * Time after a loss before a request is refused for its losses. Other hosts may report meanwhile that the upstreams ended at
 * the same moment under many requests; such a report takes up to three times 55 ms between regions, and the look before it.
 */
const POISON_SETTLE_MILLISECONDS = 400
/** Time after a request's deadline in which the end of its upstream is noticed and reported. */
const REPORT_MILLISECONDS = 3_000

/** Dependencies of {@link SuspectGate}. */
export interface SuspectGateOptions {
  crashes: CrashTable
  detector: Pick<CrashDetector, 'checkCopies' | 'reviewEnds'>
  /** @returns peer addresses of all known control hosts */
  listControlHosts: () => string[]
  callPeer: CallPeer
  log: Log
}

/** A request that wants to run. */
export interface GatedRequest {
  fingerprint: string
  /** On the clock of `performance.now()`. */
  deadline: number
  cancelled: AbortSignal
}

/**
 * Holds back requests under which upstreams ended: one copy runs at a time over all entry hosts, with a permit of the
 * first control host that answers in the request's rendezvous order, and none after too many losses.
 */
export class SuspectGate {
  readonly #options: SuspectGateOptions
  readonly #silentUntilByAddress = new Map<string, number>()

  /** @param options - crash table, control hosts and transport */
  constructor (options: SuspectGateOptions) {
    this.#options = options
  }

  /**
   * Waits until the request may run. Requests under which no upstream ended pass at once.
   *
   * @param request - the request, with its deadline and cancellation
   * @returns a function that ends the run, or the reason for the refusal
   */
  async enter (request: GatedRequest): Promise<(() => void) | RefusalReason> {
    const { fingerprint } = request
    const { detector } = this.#options
    await detector.checkCopies(fingerprint)
    if (this.#isRefused(fingerprint)) {
      detector.reviewEnds(fingerprint)
      return RefusalReason.Poison
    }
    return this.isSuspect(fingerprint) ? await this.#waitForPermit(request) : () => {}
  }

  /**
   * @param fingerprint - digest of the request
   * @returns whether an upstream ended under the request, so that one copy of it runs at a time
   */
  isSuspect (fingerprint: string): boolean {
    return this.#options.crashes.countLosses(fingerprint) > 0
  }

  /**
   * Checks the upstreams of the copies in flight first: one of them may have ended under the request.
   *
   * @param fingerprint - digest of the request
   * @returns whether a further copy may run beside those in flight, without a permit
   */
  async admitsCopy (fingerprint: string): Promise<boolean> {
    await this.#options.detector.checkCopies(fingerprint)
    return !this.isSuspect(fingerprint)
  }

  #isRefused (fingerprint: string): boolean {
    const { crashes } = this.#options
    return crashes.isPoison(fingerprint) && crashes.getLossAge(fingerprint) >= POISON_SETTLE_MILLISECONDS
  }

  async #waitForPermit ({ fingerprint, deadline, cancelled }: GatedRequest): Promise<(() => void) | RefusalReason> {
    const { crashes, log } = this.#options
    const holder = randomUUID()
    const waitUntil = performance.now() + (deadline - performance.now()) * WAIT_FRACTION
    while (performance.now() < waitUntil && !cancelled.aborted) {
      if (this.#isRefused(fingerprint)) return RefusalReason.Poison
      if (crashes.isPoison(fingerprint)) {
        await pause(RETRY_PAUSE_MILLISECONDS)
        continue
      }
      const permitHost = this.#findPermitHost(fingerprint)
      if (permitHost === undefined) return RefusalReason.SuspectWaiting
      const isGranted = await this.#call(permitHost, fingerprint, holder, deadline - performance.now() + REPORT_MILLISECONDS)
      if (isGranted && !crashes.isPoison(fingerprint)) {
        log.info('suspect-permitted', { step: Step.Dispatch, peer: permitHost, content: abbreviateFingerprint(fingerprint), losses: crashes.countLosses(fingerprint) })
        return () => { this.#release(permitHost, fingerprint, holder) }
      }
      if (isGranted) this.#release(permitHost, fingerprint, holder)
      await pause(RETRY_PAUSE_MILLISECONDS)
    }
    return cancelled.aborted ? RefusalReason.Cancelled : RefusalReason.SuspectWaiting
  }

  #findPermitHost (fingerprint: string): string | undefined {
    const now = performance.now()
    const order = rankByRendezvous(fingerprint, this.#options.listControlHosts())
    return order.find((address) => (this.#silentUntilByAddress.get(address) ?? 0) < now) ?? order[0]
  }

  #release (permitHost: string, fingerprint: string, holder: string): void {
    this.#call(permitHost, fingerprint, holder, 0).catch((error: unknown) => { this.#options.log.info('permit-not-returned', { step: Step.Dispatch, peer: permitHost, cause: String(error) }) })
  }

  /** @returns whether the permit was granted; false also when there is no answer */
  async #call (permitHost: string, fingerprint: string, holder: string, milliseconds: number): Promise<boolean> {
    const { crashes, callPeer, log } = this.#options
    const request: SuspectPermitRequest = { record: crashes.describe(fingerprint), holder, milliseconds }
    try {
      const { isGranted, record } = await callPeer<SuspectPermitReply>(permitHost, PeerMethod.SuspectPermit, request, CALL_TIMEOUT_MILLISECONDS)
      crashes.merge({ requests: [record], unreachableUpstreams: [] })
      return isGranted
    } catch (error) {
      this.#silentUntilByAddress.set(permitHost, performance.now() + SILENT_MILLISECONDS)
      log.info('permit-host-silent', { step: Step.Dispatch, peer: permitHost, cause: String(error) })
      return false
    }
  }
}
