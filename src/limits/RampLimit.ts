import { DemandMeter } from './DemandMeter.js'
import { TokenBucket } from './TokenBucket.js'

/** Fraction of the full rate that is open at the start and after a period of low use. */
export const RAMP_START_SHARE = 0.5
/** Fraction of the full rate by which the open rate grows or shrinks per second. */
export const RAMP_SHARE_PER_SECOND = 0.125
/** The open rate grows while the demand is at least this fraction of it. */
const MINIMUM_BUSY_FRACTION = 0.5
/** Longest stall of a host whose requests may be dispatched afterwards, beyond the usual burst. */
export const CATCH_UP_SECONDS = 0.3

/**
 * Bounds the growth of a request rate per second, so that the caches of the upstreams warm up while traffic shifts to them.
 * The open rate shrinks again during low use.
 */
export class RampLimit {
  readonly #demandMeter = new DemandMeter()
  readonly #tokenBucket = new TokenBucket(1, CATCH_UP_SECONDS)
  #fullRate: number
  #openShare = RAMP_START_SHARE
  #adjustedAt = performance.now()

  /** @param fullRate - requests per second when the ramp is fully open */
  constructor (fullRate: number) {
    this.#fullRate = fullRate
    this.#tokenBucket.setRate(fullRate * RAMP_START_SHARE)
    this.#tokenBucket.fill()
  }

  /** Requests per second that may currently pass. */
  get openRate (): number {
    return this.#fullRate * this.#openShare
  }

  /** Open fraction of the full rate, from 0 to 1, as of the last request. */
  get openShare (): number {
    return this.#openShare
  }

  /**
   * Raises the open fraction to that of the host that has passed the requests so far. Afterwards it shrinks during low use
   * and grows with demand as usual.
   *
   * @param openShare - open fraction of the other ramp, from 0 to 1
   */
  follow (openShare: number): void {
    this.#adjustOpenShare()
    this.#openShare = Math.min(1, Math.max(this.#openShare, openShare))
    this.#tokenBucket.setRate(this.openRate)
  }

  /** Adds a request to the demand that was refused before {@link canPass} was called. */
  recordDemand (): void {
    this.#demandMeter.add(1)
  }

  resize (fullRate: number): void {
    this.#adjustOpenShare()
    this.#openShare = Math.min(1, Math.max(RAMP_START_SHARE, fullRate === 0 ? 0 : this.openRate / fullRate))
    this.#fullRate = fullRate
    this.#tokenBucket.setRate(this.openRate)
  }

  /** @returns whether a request may pass; it is charged only by {@link pass} */
  canPass (): boolean {
    this.#demandMeter.add(1)
    this.#adjustOpenShare()
    return this.#tokenBucket.canSpend(1)
  }

  pass (): void {
    this.#tokenBucket.spend(1)
  }

  /** Records that a request that may pass was refused by another limit. */
  recordRefusal (): void {
    this.#tokenBucket.recordRefusal()
  }

  #adjustOpenShare (): void {
    const seconds = (performance.now() - this.#adjustedAt) / 1000
    const isBusy = this.#demandMeter.readPerSecond() >= this.openRate * MINIMUM_BUSY_FRACTION
    const change = RAMP_SHARE_PER_SECOND * seconds * (isBusy ? 1 : -1)
    this.#openShare = Math.min(1, Math.max(RAMP_START_SHARE, this.#openShare + change))
    this.#adjustedAt = performance.now()
    this.#tokenBucket.setRate(this.openRate)
  }
}
