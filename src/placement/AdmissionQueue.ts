import { ExponentialMean } from '../steering/ExponentialMean.js'

/** Weight of the newest hold time in the running mean. */
const HOLD_TIME_MEAN_WEIGHT = 0.1

/** A request that asks to be sent. */
export interface AdmissionRequest {
  /** 0 is the most urgent. */
  priority: number
  /** Longest useful wait, in milliseconds. */
  maximumWaitMilliseconds: number
}

/** Whether a request may be sent. */
export enum AdmissionResult {
  Admitted = 'admitted',
  /** It could not be sent in time to be of use. */
  TooLate = 'too-late',
  /** The guest went away. */
  Cancelled = 'cancelled'
}

interface QueuedRequest {
  priority: number
  enqueuedAt: number
  settle: (admission: AdmissionResult) => void
}

/**
 * Bounds the requests of one service that a host has under way. What does not fit waits by urgency, then by age,
 * and is turned away at once when its turn would come too late.
 *
 * Load pattern: a burst, or a time of slow upstreams. A queue without bound makes every request late; one by age alone
 * makes urgent requests wait behind others.
 */
export class AdmissionQueue {
  readonly #currentLimit: () => number
  readonly #waiting: QueuedRequest[] = []
  #inFlight = 0
  readonly #holdTime = new ExponentialMean(0, HOLD_TIME_MEAN_WEIGHT)

  /** @param currentLimit - gives how many requests may be under way now */
  constructor (currentLimit: () => number) {
    this.#currentLimit = currentLimit
  }

  get inFlight (): number {
    return this.#inFlight
  }

  get length (): number {
    return this.#waiting.length
  }

  /** Mean time from admission to the end of a request, in milliseconds; 0 before the first. */
  get meanHoldMilliseconds (): number {
    return this.#holdTime.mean
  }

  /**
   * Waits for room.
   *
   * @param request - the request
   * @param cancelled - ends the wait
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

  /** @returns how long a request of a priority would wait now, in milliseconds */
  estimateWaitMilliseconds (priority: number): number {
    const aheadCount = this.#waiting.filter((waiter) => waiter.priority <= priority).length
    return (aheadCount + 1) * this.#holdTime.mean / Math.max(1, this.#currentLimit())
  }

  /**
   * Notes that an admitted request has ended.
   *
   * @param heldMilliseconds - how long it was under way
   */
  leave (heldMilliseconds: number): void {
    this.#inFlight -= 1
    this.#holdTime.add(heldMilliseconds)
    this.admitWaiting()
  }

  /** Admits what fits now, as after a change of the limit. */
  admitWaiting (): void {
    while (this.#waiting.length > 0 && this.#inFlight < this.#currentLimit()) {
      this.#inFlight += 1
      this.#waiting[0]!.settle(AdmissionResult.Admitted)
    }
  }

  #wait ({ priority, maximumWaitMilliseconds }: AdmissionRequest, cancelled: AbortSignal): Promise<AdmissionResult> {
    return new Promise((resolve) => {
      const settle = (result: AdmissionResult): void => {
        clearTimeout(timer)
        cancelled.removeEventListener('abort', onCancelled)
        this.#waiting.splice(this.#waiting.indexOf(queued), 1)
        resolve(result)
      }
      const queued: QueuedRequest = { priority, enqueuedAt: performance.now(), settle }
      const onCancelled = (): void => { settle(AdmissionResult.Cancelled) }
      const timer = setTimeout(() => { settle(AdmissionResult.TooLate) }, maximumWaitMilliseconds)
      cancelled.addEventListener('abort', onCancelled)
      this.#insert(queued)
    })
  }

  #insert (queued: QueuedRequest): void {
    const index = this.#waiting.findIndex((other) => other.priority > queued.priority)
    this.#waiting.splice(index < 0 ? this.#waiting.length : index, 0, queued)
  }
}
