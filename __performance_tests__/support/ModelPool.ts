import type { EventQueue } from './EventQueue.js'

interface HistoryEntry {
  at: number
  freeSlots: number
}

/** A pool of the model: slots, a queue in order of arrival, and the history of its free slots. */
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

  /** Slots without a running request; negative is the number of waiting requests. */
  get freeSlots (): number {
    return this.slots - this.#busySlots - this.#waiting.length
  }

  /** Free slots some time ago. The ages of successive calls must not grow. */
  getPastFreeSlots (ageMilliseconds: number): number {
    const at = this.#events.now - ageMilliseconds
    while (this.#history.length > 1 && this.#history[1]!.at <= at) this.#history.shift()
    return this.#history[0]!.freeSlots
  }

  /** Takes a request; `done` is called at its end with its run time. */
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
