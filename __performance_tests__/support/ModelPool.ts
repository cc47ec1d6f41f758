import type { EventQueue } from './EventQueue.js'

/** The number of free slots from a simulated time on. */
interface HistoryEntry {
  at: number
  freeSlots: number
}

/** A simulated pool: slots, a queue in order of arrival, and the history of its free slots. */
export class ModelPool {
  readonly slots: number
  readonly #events: EventQueue
  readonly #pickServiceMilliseconds: () => number
  readonly #waiting: Array<(runMilliseconds: number) => void> = []
  readonly #history: HistoryEntry[] = [{ at: -Infinity, freeSlots: 0 }]
  #busySlots = 0

  constructor (slots: number, events: EventQueue, pickServiceMilliseconds: () => number) {
    this.slots = slots
    this.#events = events
    this.#pickServiceMilliseconds = pickServiceMilliseconds
    this.#history[0]!.freeSlots = slots
  }

  /** Slots without a running request; if negative, the number of waiting requests. */
  get freeSlots (): number {
    return this.slots - this.#busySlots - this.#waiting.length
  }

  /** Free slots at an earlier time. The age must not grow from call to call, as older history is discarded. */
  getPastFreeSlots (ageMilliseconds: number): number {
    const at = this.#events.now - ageMilliseconds
    while (this.#history.length > 1 && this.#history[1]!.at <= at) this.#history.shift()
    return this.#history[0]!.freeSlots
  }

  /**
   * Runs a request, or queues it while no slot is free.
   *
   * @param onDone - called with the run time, without the wait, when the request ends
   */
  accept (onDone: (runMilliseconds: number) => void): void {
    this.#waiting.push(onDone)
    this.#startNext()
  }

  #startNext (): void {
    if (this.#busySlots < this.slots && this.#waiting.length > 0) {
      const onDone = this.#waiting.shift()!
      const runMilliseconds = this.#pickServiceMilliseconds()
      this.#busySlots++
      this.#events.schedule(runMilliseconds, () => {
        this.#busySlots--
        this.#startNext()
        onDone(runMilliseconds)
      })
    }
    this.#history.push({ at: this.#events.now, freeSlots: this.freeSlots })
    if (this.#history.length > 20_000) this.#history.splice(0, 10_000)
  }
}
