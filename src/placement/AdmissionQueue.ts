import { RunningMean } from '../steering/RunningMean.js'

/** Weight of the newest hold time in the running mean. */
const MEAN_WEIGHT = 0.1

/** A request that asks to be sent. */
export interface AdmissionTicket {
  /** 0 is the most urgent. */
  priority: number
  /** Longest useful wait, in milliseconds. */
  mostWaitMilliseconds: number
}

/** Whether a request may be sent. */
export enum Admission {
  Admitted = 'admitted',
  /** It could not be sent in time to be of use. */
  TooLate = 'too-late',
  /** The guest went away. */
  Cancelled = 'cancelled'
}

interface Waiter {
  priority: number
  since: number
  settle: (admission: Admission) => void
}

/**
 * Bounds the requests of one service that a host has under way. What does not fit waits by urgency, then by age,
 * and is turned away at once when its turn would come too late.
 *
 * Load pattern: a burst, or a time of slow upstreams. A queue without bound makes every request late; one by age alone
 * makes urgent requests wait behind others.
 */
export class AdmissionQueue {
  readonly #limit: () => number
  readonly #waiting: Waiter[] = []
  #underWay = 0
  readonly #hold = new RunningMean(0, MEAN_WEIGHT)

  /** @param limit - gives how many requests may be under way now */
  constructor (limit: () => number) {
    this.#limit = limit
  }

  get underWay (): number {
    return this.#underWay
  }

  get length (): number {
    return this.#waiting.length
  }

  /** Mean time from admission to the end of a request, in milliseconds; 0 before the first. */
  get meanHoldMilliseconds (): number {
    return this.#hold.mean
  }

  /**
   * Waits for room.
   *
   * @param ticket - the request
   * @param cancelled - ends the wait
   */
  async enter (ticket: AdmissionTicket, cancelled: AbortSignal): Promise<Admission> {
    if (cancelled.aborted) return Admission.Cancelled
    if (this.#waiting.length === 0 && this.#underWay < this.#limit()) {
      this.#underWay += 1
      return Admission.Admitted
    }
    if (this.expectedWait(ticket.priority) > ticket.mostWaitMilliseconds) return Admission.TooLate
    return await this.#wait(ticket, cancelled)
  }

  /** @returns how long a request of a priority would wait now, in milliseconds */
  expectedWait (priority: number): number {
    const ahead = this.#waiting.filter((waiter) => waiter.priority <= priority).length
    return (ahead + 1) * this.#hold.mean / Math.max(1, this.#limit())
  }

  /**
   * Notes that an admitted request has ended.
   *
   * @param heldMilliseconds - how long it was under way
   */
  leave (heldMilliseconds: number): void {
    this.#underWay -= 1
    this.#hold.add(heldMilliseconds)
    this.admitWaiting()
  }

  /** Admits what fits now, as after a change of the limit. */
  admitWaiting (): void {
    while (this.#waiting.length > 0 && this.#underWay < this.#limit()) {
      this.#underWay += 1
      this.#waiting[0]!.settle(Admission.Admitted)
    }
  }

  #wait ({ priority, mostWaitMilliseconds }: AdmissionTicket, cancelled: AbortSignal): Promise<Admission> {
    return new Promise((resolve) => {
      const settle = (admission: Admission): void => {
        clearTimeout(timer)
        cancelled.removeEventListener('abort', onCancelled)
        this.#waiting.splice(this.#waiting.indexOf(waiter), 1)
        resolve(admission)
      }
      const waiter: Waiter = { priority, since: performance.now(), settle }
      const onCancelled = (): void => { settle(Admission.Cancelled) }
      const timer = setTimeout(() => { settle(Admission.TooLate) }, mostWaitMilliseconds)
      cancelled.addEventListener('abort', onCancelled)
      this.#insert(waiter)
    })
  }

  #insert (waiter: Waiter): void {
    const index = this.#waiting.findIndex((other) => other.priority > waiter.priority)
    this.#waiting.splice(index < 0 ? this.#waiting.length : index, 0, waiter)
  }
}
