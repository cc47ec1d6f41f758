import type { PoolCandidate } from './PoolCandidate.js'
import type { PoolEstimates } from './PoolEstimates.js'
import type { AnswerReport, PoolReport } from './PoolReport.js'
import { PoolState } from './PoolState.js'
import { DEFAULT_POOL_VIEW_SETTINGS, type PoolViewSettings } from './PoolViewSettings.js'
import { ExponentialMean } from './ExponentialMean.js'
import { tierOf, type DomainLocation } from './Tier.js'

const RUN_MEAN_WEIGHT = 0.02

/**
 * One host's view of the pools of one service. Each owner's free slots are those of its latest report, less the
 * requests that this host sent since; an old report fades into the owner's mean, so that missing reports cost little.
 */
export class PoolView implements PoolEstimates {
  readonly #location: DomainLocation
  readonly #settings: PoolViewSettings
  readonly #meanRunMilliseconds: ExponentialMean
  readonly #statesByOwner = new Map<string, PoolState>()

  /**
   * @param from - where this host is
   * @param settings - tuning that differs from the default
   */
  constructor (from: DomainLocation, settings: Partial<PoolViewSettings> = {}) {
    this.#location = from
    this.#settings = { ...DEFAULT_POOL_VIEW_SETTINGS, ...settings }
    this.#meanRunMilliseconds = new ExponentialMean(this.#settings.runMilliseconds, RUN_MEAN_WEIGHT)
  }

  /**
   * Takes in what a membership message tells of a pool.
   *
   * @param pool - the pool
   * @param report - what its owner wrote
   * @param ageMilliseconds - how long ago
   */
  recordReport (pool: PoolCandidate, report: PoolReport, ageMilliseconds: number): void {
    this.#getState(pool).recordReport(report, ageMilliseconds)
  }

  /**
   * Notes that a request is sent now.
   *
   * @param pool - where it is sent
   * @returns the time of sending, for {@link PoolView.recordAnswer} or {@link PoolView.recordEnd}
   */
  recordSent (pool: PoolCandidate): number {
    this.#getState(pool).recordSent()
    return performance.now()
  }

  /**
   * Takes in the report on an answer or refusal; that of an owner that was removed meanwhile is passed over.
   *
   * @param pool - where the request was sent
   * @param sentAt - what {@link PoolView.recordSent} returned
   * @param report - what the owner told
   */
  recordAnswer (pool: PoolCandidate, sentAt: number, report: AnswerReport): void {
    this.#statesByOwner.get(pool.owner)?.recordAnswer(sentAt, report)
    if (report.runMilliseconds !== undefined) this.#meanRunMilliseconds.add(report.runMilliseconds)
  }

  /**
   * Notes that a request is over without a report: it was lost, or the answer did not carry one.
   *
   * @param pool - where it was sent
   * @param sentAt - what {@link PoolView.recordSent} returned
   */
  recordEnd (pool: PoolCandidate, sentAt: number): void {
    this.#statesByOwner.get(pool.owner)?.recordEnd(sentAt)
  }

  /**
   * Forgets an owner that is gone, with the requests that are out to it.
   *
   * @param owner - name of the owning host
   */
  remove (owner: string): void {
    this.#statesByOwner.delete(owner)
  }

  /**
   * @param owner - name of the owning host
   * @returns estimate of its free slots now; below zero are waiting requests
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
