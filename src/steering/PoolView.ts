import type { PoolCandidate } from './PoolCandidate.js'
import type { PoolEstimates } from './PoolEstimates.js'
import type { AnswerReport, PoolReport } from './PoolReport.js'
import { PoolState } from './PoolState.js'
import { DEFAULT_POOL_VIEW_SETTINGS, type PoolViewSettings } from './PoolViewSettings.js'
import { ExponentialMean } from './ExponentialMean.js'
import { tierOf, type DomainLocation } from './Tier.js'

const RUN_MEAN_WEIGHT = 0.02

/**
 * A host's view of the pools of one service. The free slots of an owner are those of its latest report, less the
 * requests that this host has sent since. As a report ages, the mean of the owner's reports gradually replaces it,
 * so that missing reports do little harm.
 */
export class PoolView implements PoolEstimates {
  readonly #location: DomainLocation
  readonly #settings: PoolViewSettings
  readonly #meanRunMilliseconds: ExponentialMean
  readonly #statesByOwner = new Map<string, PoolState>()

  /**
   * @param from - location of this host
   * @param settings - settings that differ from the defaults
   */
  constructor (from: DomainLocation, settings: Partial<PoolViewSettings> = {}) {
    this.#location = from
    this.#settings = { ...DEFAULT_POOL_VIEW_SETTINGS, ...settings }
    this.#meanRunMilliseconds = new ExponentialMean(this.#settings.runMilliseconds, RUN_MEAN_WEIGHT)
  }

  /**
   * Records the report on a pool in a membership message.
   *
   * @param pool - the reported pool
   * @param report - report of the pool's owner
   * @param ageMilliseconds - age of the report
   */
  recordReport (pool: PoolCandidate, report: PoolReport, ageMilliseconds: number): void {
    this.#getState(pool).recordReport(report, ageMilliseconds)
  }

  /**
   * Records that a request is sent now.
   *
   * @param pool - pool to which the request is sent
   * @returns the time of sending, for {@link PoolView.recordAnswer} or {@link PoolView.recordEnd}
   */
  recordSent (pool: PoolCandidate): number {
    this.#getState(pool).recordSent()
    return performance.now()
  }

  /**
   * Records the report on an answer or refusal. Reports of an owner that has been removed since are ignored,
   * except for the run time.
   *
   * @param pool - pool to which the request was sent
   * @param sentAt - result of {@link PoolView.recordSent}
   * @param report - the owner's report
   */
  recordAnswer (pool: PoolCandidate, sentAt: number, report: AnswerReport): void {
    this.#statesByOwner.get(pool.owner)?.recordAnswer(sentAt, report)
    if (report.runMilliseconds !== undefined) this.#meanRunMilliseconds.add(report.runMilliseconds)
  }

  /**
   * Records that a request has ended without a report: it was lost, or the answer did not carry one.
   *
   * @param pool - pool to which the request was sent
   * @param sentAt - result of {@link PoolView.recordSent}
   */
  recordEnd (pool: PoolCandidate, sentAt: number): void {
    this.#statesByOwner.get(pool.owner)?.recordEnd(sentAt)
  }

  /**
   * Removes an owner that is gone, together with its outstanding requests.
   *
   * @param owner - name of the owning host
   */
  remove (owner: string): void {
    this.#statesByOwner.delete(owner)
  }

  /**
   * @param owner - name of the owning host
   * @returns estimate of its free slots now; a negative value is the number of waiting requests
   */
  freeSlots (owner: string): number {
    return this.#statesByOwner.get(owner)?.estimateFreeSlots(this.#settings.agingMilliseconds) ?? this.#settings.unreportedFreeSlots
  }

  /**
   * @param candidate - a pool
   * @returns round trip to its owner plus the weighted wait for a slot, in milliseconds
   */
  delayMilliseconds (candidate: PoolCandidate): number {
    const state = this.#statesByOwner.get(candidate.owner)
    const roundTrip = state?.roundTripMilliseconds ?? this.#getAssumedRoundTrip(candidate)
    const requestsAhead = Math.max(0, 1 - this.freeSlots(candidate.owner))
    return roundTrip + this.#settings.waitWeight * requestsAhead * this.#meanRunMilliseconds.mean / (state?.slots ?? 1)
  }

  #getState (pool: PoolCandidate): PoolState {
    const existing = this.#statesByOwner.get(pool.owner)
    if (existing !== undefined) return existing
    const state = new PoolState(this.#settings.unreportedFreeSlots, this.#getAssumedRoundTrip(pool))
    this.#statesByOwner.set(pool.owner, state)
    return state
  }

  #getAssumedRoundTrip (pool: PoolCandidate): number {
    return this.#settings.roundTripMilliseconds[tierOf(this.#location, pool)]
  }
}
