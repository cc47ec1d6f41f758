/** An event of the simulation. */
interface ModelEvent {
  /** Simulated time, in milliseconds. */
  at: number
  run: () => void
}

/** The pending events of a simulation in a binary heap, ordered by time. */
export class EventQueue {
  /** Current simulated time, in milliseconds. */
  now = 0
  readonly #heap: ModelEvent[] = []

  /** Adds an event that runs after a delay in simulated time. */
  schedule (delayMilliseconds: number, run: () => void): void {
    const event = { at: this.now + delayMilliseconds, run }
    let index = this.#heap.push(event) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (this.#heap[parent]!.at <= event.at) break
      this.#heap[index] = this.#heap[parent]!
      index = parent
    }
    this.#heap[index] = event
  }

  /**
   * Advances the time to the earliest event and runs it.
   *
   * @returns false if no event is pending
   */
  runNext (): boolean {
    const first = this.#heap[0]
    if (first === undefined) return false
    const last = this.#heap.pop()!
    if (this.#heap.length > 0) this.#siftDown(last)
    this.now = first.at
    first.run()
    return true
  }

  #siftDown (event: ModelEvent): void {
    const heap = this.#heap
    let index = 0
    for (;;) {
      let child = index * 2 + 1
      if (child >= heap.length) break
      if (child + 1 < heap.length && heap[child + 1]!.at < heap[child]!.at) child++
      if (heap[child]!.at >= event.at) break
      heap[index] = heap[child]!
      index = child
    }
    heap[index] = event
  }
}
