import type { PoisonGuard, PoisonRecord } from '../relay/PoisonGuard.js'
import type { UpstreamRecord } from '../registry/UpstreamRecord.js'
import type { Log } from '../observe/Log.js'
import { Step } from '../types/Step.js'
import { isListening } from '../utils/isListening.js'

/** Wait for a connection to an upstream that broke one: a round trip between regions takes 110 ms. */
const CONNECT_MILLISECONDS = 400
/** How long that connection must last: the sockets of a process that ends close one after another. */
const STAY_MILLISECONDS = 50

/** Finds out whether an upstream died of a request or only broke its connection. */
export class CrashWatch {
  readonly #poison: PoisonGuard
  readonly #log: Log
  #unreported: PoisonRecord[] = []

  /**
   * @param poison - remembers requests whose upstream died under them
   * @param log - gets a line for each death
   */
  constructor (poison: PoisonGuard, log: Log) {
    this.#poison = poison
    this.#log = log
  }

  /** Checks an upstream whose connection broke under a request. */
  suspect (fingerprint: string, { id, address }: UpstreamRecord): void {
    isListening(address, CONNECT_MILLISECONDS, STAY_MILLISECONDS).then((listening) => {
      if (listening) return
      const record = { fingerprint, lostUpstreams: [id] }
      this.#poison.noteLoss(record)
      this.#unreported.push(record)
      this.#log.warn('upstream-died', { step: Step.Dispatch, peer: address, upstream: id, fingerprint: fingerprint.slice(0, 16) })
    }, (error: unknown) => { this.#log.warn('crash-check-failed', { step: Step.Dispatch, peer: address, cause: String(error) }) })
  }

  /** @returns losses to tell the other hosts, taken from the list */
  takeUnreported (): PoisonRecord[] {
    const records = this.#unreported
    this.#unreported = []
    return records
  }

  /** Puts losses back that could not be told. */
  putBack (records: PoisonRecord[]): void {
    this.#unreported.unshift(...records)
  }
}
