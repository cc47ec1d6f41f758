import type { PoisonGuard, PoisonRecord } from '../relay/PoisonGuard.js'
import { getIncarnation, type UpstreamRecord } from '../registry/UpstreamRecord.js'
import type { Log } from '../observe/Log.js'
import { Step } from '../types/Step.js'
import { isListening } from '../utils/isListening.js'
import { abbreviateFingerprint } from '../utils/abbreviateFingerprint.js'

/** Timeout for a connection to an upstream that broke one: a round trip between regions takes 110 ms. */
const CONNECT_TIMEOUT_MILLISECONDS = 400
/** How long that connection must stay open: the sockets of an exiting process close one after another. */
const MINIMUM_CONNECTION_LIFETIME_MILLISECONDS = 50

/** Detects whether an upstream died while running a request or only closed its connection. */
export class CrashDetector {
  readonly #poisonGuard: PoisonGuard
  readonly #log: Log
  #unreportedLosses: PoisonRecord[] = []

  /**
   * @param poisonGuard - stores requests whose upstream died while running them
   * @param log - receives a line for each upstream that died
   */
  constructor (poisonGuard: PoisonGuard, log: Log) {
    this.#poisonGuard = poisonGuard
    this.#log = log
  }

  /** Checks an upstream whose connection broke during a request, and records a loss if it has died. */
  checkUpstream (fingerprint: string, record: UpstreamRecord): void {
    const { address } = record
    const incarnation = getIncarnation(record)
    isListening(address, CONNECT_TIMEOUT_MILLISECONDS, MINIMUM_CONNECTION_LIFETIME_MILLISECONDS).then((isStillListening) => {
      if (isStillListening) return
      const loss = { fingerprint, lostUpstreams: [incarnation] }
      this.#poisonGuard.recordLoss(loss)
      this.#unreportedLosses.push(loss)
      this.#log.warn('upstream-died', { step: Step.Dispatch, peer: address, upstream: incarnation, content: abbreviateFingerprint(fingerprint) })
    }, (error: unknown) => { this.#log.warn('crash-check-failed', { step: Step.Dispatch, peer: address, cause: String(error) }) })
  }

  /** @returns losses that other hosts have not received yet; they are removed from the list */
  takeUnreportedLosses (): PoisonRecord[] {
    const losses = this.#unreportedLosses
    this.#unreportedLosses = []
    return losses
  }

  /** Puts back losses that could not be reported. */
  requeueLosses (losses: PoisonRecord[]): void {
    this.#unreportedLosses.unshift(...losses)
  }
}
