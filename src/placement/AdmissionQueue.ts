import { ExponentialMean } from '../steering/ExponentialMean.js'

/** Weight of the newest hold time in the running mean. */
const HOLD_TIME_MEAN_WEIGHT = 0.1
/** Part of the limit up to which further attempts are admitted: the limit is 1.2 times the slots, and arrivals vary. */
const SPARE_FRACTION = 0.75
/** A host with little demand has a limit of two or three requests, of which one may be slow. */
const MINIMUM_SPARE_LIMIT = 2

/** A request that waits for admission. */
export interface AdmissionRequest {
  /** 0 is the most urgent. */
  priority: number
  /** Longest useful wait; a request that would wait longer is refused. */
  maximumWaitMilliseconds: number
  /** Calls the function when a stop of the host begins that ends the wait; returns a function that ends the watch. By default never. */
  watchStop?: (refuse: () => void) => () => void
}

/** Result of asking for admission. */
export enum AdmissionResult {
  Admitted = 'admitted',
  /** The request could not be sent within its maximum wait. */
  TooLate = 'too-late',
  /** The host stops before the request could be answered. */
  Stopping = 'stopping',
  /** The guest disconnected. */
  Cancelled = 'cancelled'
}

interface QueuedRequest {
  priority: number
  enqueuedAt: number
  settle: (result: AdmissionResult) => void
}

/**
 * Limits how many requests of one service a host has in flight. Requests above the limit wait, ordered by priority and
 * then by arrival, and are refused at once if their turn would come too late.
 *
 * Load pattern: a burst, or a period of slow upstreams. An unbounded queue delays every request; a queue ordered by
 * arrival alone makes urgent requests wait behind others.
 */
export class AdmissionQueue {
  readonly #currentLimit: () => number
  readonly #waiting: QueuedRequest[] = []
  #inFlight = 0
  readonly #holdTime = new ExponentialMean(0, HOLD_TIME_MEAN_WEIGHT)

  /** @param currentLimit - returns how many requests may be in flight now */
  constructor (currentLimit: () => number) {
    this.#currentLimit = currentLimit
  }

  get inFlight (): number {
    return this.#inFlight
  }

  get length (): number {
    return this.#waiting.length
  }

  /** Mean time from admission to the end of a request, in milliseconds; 0 before the first request ends. */
  get meanHoldMilliseconds (): number {
    return this.#holdTime.mean
  }

  /**
   * Waits until the request may be sent.
   *
   * @param request - priority and maximum wait of the request
   * @param cancelled - aborts the wait when the guest disconnects
   * @returns whether the request may be sent; an admitted request must end with {@link leave}
   */
  async enter (request: AdmissionRequest, cancelled: AbortSignal): Promise<AdmissionResult> {
    if (cancelled.aborted) return AdmissionResult.Cancelled
    if (this.#waiting.length === 0 && this.#inFlight < this.#currentLimit()) {
      this.#inFlight += 1
      return AdmissionResult.Admitted
    }
    if (this.estimateWaitMilliseconds(request.priority) > request.maximumWaitMilliseconds) return AdmissionResult.TooLate
    return await this.#wait(request, cancelled)
  }

  /** @returns the estimated wait of a request with this priority, in milliseconds */
  estimateWaitMilliseconds (priority: number): number {
    const aheadCount = this.#waiting.filter((queued) => queued.priority <= priority).length
    return (aheadCount + 1) * this.#holdTime.mean / Math.max(1, this.#currentLimit())
  }

  /**
   * Ends an admitted request and admits waiting ones.
   *
   * @param heldMilliseconds - time since its admission
   */
  leave (heldMilliseconds: number): void {
    this.#inFlight -= 1
    this.#holdTime.add(heldMilliseconds)
    this.admitWaiting()
  }

  /** Whether the limit leaves places for further attempts of admitted requests. */
  get hasSpare (): boolean {
    const limit = this.#currentLimit()
    return this.#waiting.length === 0 && this.#inFlight < limit && this.#inFlight < Math.max(MINIMUM_SPARE_LIMIT, SPARE_FRACTION * limit)
  }

  /**
   * Takes a place for a further attempt of an admitted request, without a wait.
   *
   * @returns whether there was one; a place that was taken must be given back with {@link returnSpare}
   */
  tryTakeSpare (): boolean {
    if (!this.hasSpare) return false
    this.#inFlight += 1
    return true
  }

  /** Gives back a place of {@link tryTakeSpare} and admits waiting requests. The mean hold time counts requests, not attempts. */
  returnSpare (): void {
    this.#inFlight -= 1
    this.admitWaiting()
  }

  /** Admits waiting requests up to the current limit; called when the limit may have changed. */
  admitWaiting (): void {
    while (this.#waiting.length > 0 && this.#inFlight < this.#currentLimit()) {
      this.#inFlight += 1
      this.#waiting[0]!.settle(AdmissionResult.Admitted)
    }
  }

  #wait ({ priority, maximumWaitMilliseconds, watchStop }: AdmissionRequest, cancelled: AbortSignal): Promise<AdmissionResult> {
    return new Promise((resolve) => {
      const settle = (result: AdmissionResult): void => {
        clearTimeout(timer)
        endWatch?.()
        cancelled.removeEventListener('abort', onCancelled)
        this.#waiting.splice(this.#waiting.indexOf(queued), 1)
        resolve(result)
      }
      const queued: QueuedRequest = { priority, enqueuedAt: performance.now(), settle }
      const onCancelled = (): void => { settle(AdmissionResult.Cancelled) }
      const timer = setTimeout(() => { settle(AdmissionResult.TooLate) }, maximumWaitMilliseconds)
      const endWatch = watchStop?.(() => { settle(AdmissionResult.Stopping) })
      cancelled.addEventListener('abort', onCancelled)
      this.#insert(queued)
    })
  }

  #insert (queued: QueuedRequest): void {
    const index = this.#waiting.findIndex((other) => other.priority > queued.priority)
    this.#waiting.splice(index < 0 ? this.#waiting.length : index, 0, queued)
  }
}
