import { DemandMeter } from './DemandMeter.js'
import { TokenBucket } from './TokenBucket.js'

/** Part of the full rate that is open at once after a time of little use. */
export const RAMP_START_SHARE = 0.5
/** Part of the full rate by which the open rate grows or shrinks in a second. */
export const RAMP_SHARE_PER_SECOND = 0.125
/** The open rate grows while at least this part of it is asked for. */
const MINIMUM_BUSY_FRACTION = 0.5

/**
 * Lets a rate of requests grow only by a bounded step per second, so that a shift of traffic
 * finds caches that warm up with it. Little use lets the open rate shrink again.
 */
export class RampLimit {
  readonly #demandMeter = new DemandMeter()
  readonly #tokenBucket = new TokenBucket(1)
  #fullRate: number
  #openShare = RAMP_START_SHARE
  #adjustedAt = performance.now()

  /** @param fullRate - requests per second when fully open */
  constructor (fullRate: number) {
    this.#fullRate = fullRate
    this.#tokenBucket.setRate(fullRate * RAMP_START_SHARE)
    this.#tokenBucket.fill()
  }

  /** @returns requests per second that may pass now */
  get openRate (): number {
    return this.#fullRate * this.#openShare
  }

  /** @returns part of the full rate that is open, as of the last request */
  get openShare (): number {
    return this.#openShare
  }

  /**
   * Opens at least as far as the ramp of the host that let the requests pass until now; from there on it falls with
   * little use and grows as always.
   *
   * @param openShare - the open share of that ramp
   */
  follow (openShare: number): void {
    this.#adjustOpenShare()
    this.#openShare = Math.min(1, Math.max(this.#openShare, openShare))
    this.#tokenBucket.setRate(this.openRate)
  }

  /** Counts a request that was refused before it came to be passed. */
  recordDemand (): void {
    this.#demandMeter.add(1)
  }

  resize (fullRate: number): void {
    this.#adjustOpenShare()
    this.#openShare = Math.min(1, Math.max(RAMP_START_SHARE, fullRate === 0 ? 0 : this.openRate / fullRate))
    this.#fullRate = fullRate
    this.#tokenBucket.setRate(this.openRate)
  }

  /** @returns whether a request may pass; it counts only after {@link pass} */
  canPass (): boolean {
    this.#demandMeter.add(1)
    this.#adjustOpenShare()
    return this.#tokenBucket.canSpend(1)
  }

  pass (): void {
    this.#tokenBucket.spend(1)
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
