import type { KnownState } from '../follow/KnownState.js'
import type { Counters } from '../observe/Counters.js'
import type { Log } from '../observe/Log.js'
import { UpstreamPause } from '../placement/UpstreamPause.js'
import { computeReturnDelay } from '../placement/computeReturnDelay.js'
import type { UpstreamRecord } from '../registry/UpstreamRecord.js'
import { parseRetryAfter } from '../relay/parseRetryAfter.js'
import { Step } from '../types/Step.js'
import type { UpstreamLoads } from './UpstreamLoads.js'
import type { UpstreamNotice } from './UpstreamNotice.js'

const LEAVING_COUNTER = 'upstream.leaving'
const PAUSED_COUNTER = 'upstream.paused'
const UNREADABLE_COUNTER = 'upstream.pause-unreadable'

/** Dependencies of {@link UpstreamNotices}. */
export interface UpstreamNoticesOptions {
  hostName: string
  known: KnownState
  loads: UpstreamLoads
  /** Called after an upstream was marked as leaving. */
  onLeaving: () => void
  counters: Counters
  log: Log
}

/** Acts at once on what upstreams say of themselves in their answers, without waiting for a control host. */
export class UpstreamNotices {
  readonly #options: UpstreamNoticesOptions

  /** @param options - known state and loads, which receive the marks */
  constructor (options: UpstreamNoticesOptions) {
    this.#options = options
    for (const counter of [LEAVING_COUNTER, PAUSED_COUNTER, UNREADABLE_COUNTER]) options.counters.declare(counter)
  }

  /**
   * Records the notice in the head of an answer.
   *
   * @param record - the upstream that sent it
   * @param notice - what it says of itself
   * @param request - identifier of the request that was answered
   */
  record (record: UpstreamRecord, { isLeaving, retryAfter }: UpstreamNotice, request: string): void {
    if (isLeaving) this.#markLeaving(record, request)
    for (const value of retryAfter) this.#pause(record, value, request)
  }

  #markLeaving (record: UpstreamRecord, request: string): void {
    const { known, onLeaving, counters, log } = this.#options
    if (!known.markLeaving(record)) return
    counters.increment(LEAVING_COUNTER)
    log.info('upstream-leaving', { step: Step.Answer, peer: record.address, upstream: record.id, born: record.bornAt, service: record.service, request })
    onLeaving()
  }

  #pause (record: UpstreamRecord, value: string, request: string): void {
    const { hostName, known, loads, counters, log } = this.#options
    const pauseMilliseconds = parseRetryAfter(value)
    if (pauseMilliseconds === undefined) {
      counters.increment(UNREADABLE_COUNTER)
      log.warn('pause-unreadable', { step: Step.Answer, peer: record.address, upstream: record.id, value: value.slice(0, 40), request })
      return
    }
    if (pauseMilliseconds === 0) return
    const delay = computeReturnDelay(record.id, hostName, known.countedEntryHosts)
    const returnsAt = performance.now() + pauseMilliseconds + delay
    if (!loads.pause(record.id, new UpstreamPause(record.bornAt, returnsAt))) return
    counters.increment(PAUSED_COUNTER)
    log.info('upstream-paused', { step: Step.Answer, peer: record.address, upstream: record.id, service: record.service, pause: pauseMilliseconds, returns: Math.round(pauseMilliseconds + delay), request })
  }
}
