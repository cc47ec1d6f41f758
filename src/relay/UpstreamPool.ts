import { RefusalReason } from '../types/RefusalReason.js'
import type { ServiceCap } from './ServiceCap.js'
import type { PoolSummary } from '../types/PoolSummary.js'
import { DeadlineQueue } from './DeadlineQueue.js'
import type { SlotWaiter } from './SlotWaiter.js'
import type { Upstream } from './Upstream.js'

const RUN_MEAN_WEIGHT = 0.05
const INITIAL_RUN_MILLISECONDS = 20
const CAP_RETRY_MILLISECONDS = 10
const MILLISECONDS_PER_SECOND = 1_000
/** Fraction of the time until the deadline that a request may wait, so that its refusal still arrives in time. */
const WAIT_FRACTION = 0.95

/** Settings of an {@link UpstreamPool}. */
export interface UpstreamPoolOptions {
  service: string
  queueLength: number
  /** Caps of the services in this place. */
  cap: ServiceCap
}

/** A request for a slot. */
export interface SlotRequest {
  deadline: number
  isSuspect: boolean
  mayWait: boolean
  cancelled: AbortSignal
}

/** Totals over the upstreams of a pool. */
interface PoolSurvey {
  /** Number of usable upstreams. */
  upstreams: number
  /** Number of their slots. */
  slots: number
  /** Number of slots that requests may take now. */
  freeSlots: number
  /** The upstream with the largest fraction of free slots, undefined when none has one for the request. */
  leastLoaded: Upstream | undefined
}

/** The upstreams of one service whose grants this host holds, with one queue of waiting requests. */
export class UpstreamPool {
  readonly service: string
  readonly upstreams = new Map<string, Upstream>()
  readonly #options: UpstreamPoolOptions
  readonly #queue: DeadlineQueue<SlotWaiter>
  #meanRunMilliseconds = INITIAL_RUN_MILLISECONDS
  #capTimer: NodeJS.Timeout | undefined

  /** @param options - service, queue length and caps */
  constructor (options: UpstreamPoolOptions) {
    this.service = options.service
    this.#options = options
    this.#queue = new DeadlineQueue(options.queueLength)
  }

  /** Number of requests that wait for a slot. */
  get waiting (): number {
    return this.#queue.length
  }

  /** @returns the summary of this pool for other hosts */
  summarize (): PoolSummary {
    const { upstreams, slots, freeSlots } = this.#survey(false)
    return { service: this.service, upstreams, slots, freeSlots: freeSlots - this.#queue.length }
  }

  /**
   * Waits for a slot; the caller must give it back with {@link release}.
   *
   * @param request - deadline and conditions
   * @returns the upstream whose slot was taken, or the reason for the refusal
   */
  async acquire (request: SlotRequest): Promise<Upstream | RefusalReason> {
    const survey = this.#survey(request.isSuspect)
    const refusal = this.#findEarlyRefusal(request, survey)
    if (refusal !== undefined) return refusal
    const canTakeSlot = this.#queue.length === 0 && survey.leastLoaded !== undefined
    if (canTakeSlot && this.#options.cap.admit(this.service)) return this.#occupySlot(survey.leastLoaded!, request.isSuspect)
    if (canTakeSlot && !request.mayWait) return RefusalReason.PlaceCap
    return await new Promise((resolve) => { this.#enqueue(request, canTakeSlot, resolve) })
  }

  /**
   * Gives a slot back.
   *
   * @param upstream - the upstream that has the slot
   * @param isSuspect - whether the request was a suspect
   * @param runMilliseconds - run time of the request, undefined when it did not run to completion
   */
  release (upstream: Upstream, isSuspect: boolean, runMilliseconds: number | undefined): void {
    upstream.running -= 1
    if (isSuspect) upstream.suspects -= 1
    if (runMilliseconds !== undefined) this.#meanRunMilliseconds += RUN_MEAN_WEIGHT * (runMilliseconds - this.#meanRunMilliseconds)
    this.serveQueue()
  }

  /** Gives free slots to waiting requests; refuses all of them when no usable upstream is left. */
  serveQueue (): void {
    while (this.#queue.length > 0) {
      const { upstreams, leastLoaded } = this.#survey(false)
      if (upstreams === 0) {
        for (const waiter of this.#queue.takeAll()) waiter.refuse(RefusalReason.NoUpstream)
      } else if (leastLoaded === undefined || !this.#grantNextSlot(leastLoaded)) return
    }
  }

  /** @returns whether another waiting request may be served at once */
  #grantNextSlot (leastLoaded: Upstream): boolean {
    const leastLoadedForSuspects = leastLoaded.suspects === 0 ? leastLoaded : this.#survey(true).leastLoaded
    const waiter = this.#queue.takeFirst((each) => !each.isSuspect || leastLoadedForSuspects !== undefined)
    if (waiter === undefined) return false
    if (this.#isTooLate(waiter)) {
      waiter.refuse(RefusalReason.DeadlineTooShort)
      return true
    }
    if (!this.#options.cap.admit(this.service)) {
      this.#queue.add(waiter)
      this.#scheduleCapRetry()
      return false
    }
    waiter.grant(this.#occupySlot(waiter.isSuspect ? leastLoadedForSuspects! : leastLoaded, waiter.isSuspect))
    return true
  }

  #scheduleCapRetry (): void {
    this.#capTimer ??= setTimeout(() => { this.#capTimer = undefined; this.serveQueue() }, CAP_RETRY_MILLISECONDS)
  }

  /** While others wait, no slot is spent on a request that is unlikely to finish in time. */
  #isTooLate (waiter: SlotWaiter): boolean {
    return this.#queue.length > 0 && waiter.deadline - performance.now() < this.#meanRunMilliseconds
  }

  /** Visits each upstream once. The number of free slots changes with time alone, so that a running count would not stay exact. */
  #survey (isSuspect: boolean): PoolSurvey {
    const survey: PoolSurvey = { upstreams: 0, slots: 0, freeSlots: 0, leastLoaded: undefined }
    const now = performance.now()
    const mustTrust = this.#hasTrusted(now)
    let highestFreeFraction = 0
    for (const upstream of this.upstreams.values()) {
      if (!upstream.isUsable(now)) continue
      const freeSlots = mustTrust && !upstream.isTrusted(now) ? 0 : upstream.freeSlots(now)
      survey.upstreams += 1
      survey.slots += upstream.slots
      survey.freeSlots += freeSlots
      if (freeSlots / upstream.slots <= highestFreeFraction || (isSuspect && upstream.suspects > 0)) continue
      survey.leastLoaded = upstream
      highestFreeFraction = freeSlots / upstream.slots
    }
    return survey
  }

  /** @returns whether an upstream takes requests that has not failed, so that those that have may wait */
  #hasTrusted (now: number): boolean {
    for (const upstream of this.upstreams.values()) if (upstream.isTrusted(now)) return true
    return false
  }

  #occupySlot (upstream: Upstream, isSuspect: boolean): Upstream {
    upstream.running += 1
    if (isSuspect) upstream.suspects += 1
    return upstream
  }

  #findEarlyRefusal (request: SlotRequest, survey: PoolSurvey): RefusalReason | undefined {
    if (request.cancelled.aborted) return RefusalReason.Cancelled
    if (survey.upstreams === 0) return RefusalReason.NoUpstream
    if (!request.mayWait && survey.freeSlots <= this.#queue.length) return RefusalReason.QueueFull
    if (this.#canMeetDeadline(request, survey.slots)) return undefined
    this.#options.cap.recordDemand(this.service)
    return RefusalReason.DeadlineTooShort
  }

  /** Estimates the wait from the slots and the cap; a request that must wait also needs time to run afterwards, and is refused before its deadline. */
  #canMeetDeadline (request: SlotRequest, slots: number): boolean {
    const remainingMilliseconds = request.deadline - performance.now()
    const requestsAhead = this.#queue.countDueBy(request.deadline)
    if (requestsAhead === 0) return remainingMilliseconds > 0
    const millisecondsPerRequest = Math.max(this.#meanRunMilliseconds / Math.max(1, slots), MILLISECONDS_PER_SECOND / this.#options.cap.rate(this.service))
    return requestsAhead * millisecondsPerRequest < Math.min(remainingMilliseconds - this.#meanRunMilliseconds, remainingMilliseconds * WAIT_FRACTION)
  }

  #enqueue (request: SlotRequest, isAtCap: boolean, resolve: (result: Upstream | RefusalReason) => void): void {
    const settle = (result: Upstream | RefusalReason): void => {
      clearTimeout(timer)
      request.cancelled.removeEventListener('abort', onCancelled)
      resolve(result)
    }
    const waiter: SlotWaiter = { deadline: request.deadline, isSuspect: request.isSuspect, grant: settle, refuse: settle }
    const abandon = (reason: RefusalReason): void => {
      this.#queue.remove(waiter)
      settle(reason)
    }
    const onCancelled = (): void => { abandon(RefusalReason.Cancelled) }
    const timer = setTimeout(() => { abandon(RefusalReason.DeadlinePassed) }, (request.deadline - performance.now()) * WAIT_FRACTION)
    request.cancelled.addEventListener('abort', onCancelled, { once: true })
    if (!this.#queue.add(waiter)) {
      settle(RefusalReason.QueueFull)
      return
    }
    // Asking the cap again at once would count the demand twice.
    if (isAtCap) this.#scheduleCapRetry()
    else this.serveQueue()
    const mustRefuse = !request.mayWait && this.#queue.countDueBy(Infinity) > 0
    if (mustRefuse) this.#refuseIfWaiting(waiter)
  }

  #refuseIfWaiting (waiter: SlotWaiter): void {
    const removed = this.#queue.takeFirst((each) => each === waiter)
    removed?.refuse(RefusalReason.PlaceCap)
  }
}
