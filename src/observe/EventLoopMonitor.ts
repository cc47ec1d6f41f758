import { Step } from '../types/Step.js'
import type { Counters } from './Counters.js'
import type { Log } from './Log.js'

const CHECK_INTERVAL_MILLISECONDS = 50
/** Minimum lateness that is logged: about a third of the half second that users allow for a close or a late answer. */
const LOG_THRESHOLD_MILLISECONDS = 150
/** Number of checks that the maximum lateness covers: two seconds. */
const RETAINED_CHECKS = 40
const LATENESS_GAUGE = 'event-loop.late-milliseconds'

/**
 * Measures the lateness of the event loop. A late loop reads requests, connection closes and answers late, which no other
 * time measured in the process shows.
 */
export class EventLoopMonitor {
  readonly #log: Log
  readonly #counters: Counters
  readonly #recentLateMilliseconds: number[] = []
  #dueAt = 0
  #timer: NodeJS.Timeout | undefined

  /**
   * @param log - receives a warning for each check that is late by {@link LOG_THRESHOLD_MILLISECONDS} or more
   * @param counters - receives the maximum lateness as a gauge, in milliseconds
   */
  constructor (log: Log, counters: Counters) {
    this.#log = log
    this.#counters = counters
  }

  /** Maximum lateness during the last two seconds, in whole milliseconds. */
  get maximumLateMilliseconds (): number {
    return Math.round(Math.max(0, ...this.#recentLateMilliseconds))
  }

  start (): void {
    this.#dueAt = performance.now() + CHECK_INTERVAL_MILLISECONDS
    this.#timer = setInterval(() => { this.#check() }, CHECK_INTERVAL_MILLISECONDS)
  }

  stop (): void {
    clearInterval(this.#timer)
  }

  #check (): void {
    const now = performance.now()
    const lateMilliseconds = Math.max(0, now - this.#dueAt)
    this.#dueAt = now + CHECK_INTERVAL_MILLISECONDS
    this.#recentLateMilliseconds.push(lateMilliseconds)
    if (this.#recentLateMilliseconds.length > RETAINED_CHECKS) this.#recentLateMilliseconds.shift()
    this.#counters.gauge(LATENESS_GAUGE, this.maximumLateMilliseconds)
    if (lateMilliseconds >= LOG_THRESHOLD_MILLISECONDS) this.#log.warn('event-loop-late', { step: Step.Ingress, late: Math.round(lateMilliseconds) })
  }
}
