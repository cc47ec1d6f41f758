/** An entry with a deadline. */
export interface WithDeadline {
  /** On the clock of `performance.now()`. */
  deadline: number
}

/** A bounded queue ordered by deadline, earliest first; entries with equal deadlines keep their order of arrival. */
export class DeadlineQueue<Entry extends WithDeadline> {
  readonly #entries: Entry[] = []
  readonly #capacity: number

  /** @param capacity - maximum number of entries */
  constructor (capacity: number) {
    this.#capacity = capacity
  }

  get length (): number {
    return this.#entries.length
  }

  /** @returns false when the queue is full */
  add (entry: Entry): boolean {
    if (this.#entries.length >= this.#capacity) return false
    this.#entries.splice(this.#findPosition(entry.deadline), 0, entry)
    return true
  }

  /** @returns the number of entries that are due no later than the deadline */
  countDueBy (deadline: number): number {
    return this.#findPosition(deadline)
  }

  /** Removes an entry if it is still queued. */
  remove (entry: Entry): void {
    const index = this.#entries.indexOf(entry)
    if (index >= 0) this.#entries.splice(index, 1)
  }

  /** @returns the first matching entry, removed from the queue; undefined if there is none */
  takeFirst (isMatch: (entry: Entry) => boolean): Entry | undefined {
    const index = this.#entries.findIndex(isMatch)
    return index < 0 ? undefined : this.#entries.splice(index, 1)[0]
  }

  /** @returns all entries, removed from the queue */
  takeAll (): Entry[] {
    return this.#entries.splice(0)
  }

  #findPosition (deadline: number): number {
    let low = 0
    let high = this.#entries.length
    while (low < high) {
      const middle = (low + high) >> 1
      if (this.#entries[middle]!.deadline <= deadline) low = middle + 1
      else high = middle
    }
    return low
  }
}
