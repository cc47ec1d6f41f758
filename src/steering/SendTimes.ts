/** Send times of requests, earliest first. */
export class SendTimes {
  readonly #times: number[] = []

  get size (): number {
    return this.#times.length
  }

  /** Adds the current time. */
  add (): void {
    this.#times.push(performance.now())
  }

  /**
   * Removes one entry with this time.
   *
   * @param sentAt - send time of the entry
   * @returns whether there was such an entry
   */
  remove (sentAt: number): boolean {
    const index = this.countBefore(sentAt)
    if (this.#times[index] !== sentAt) return false
    this.#times.splice(index, 1)
    return true
  }

  /** Removes all entries up to a time, that time included. */
  removeThrough (time: number): void {
    const firstLater = this.#times.findIndex((sentAt) => sentAt > time)
    this.#times.splice(0, firstLater === -1 ? this.#times.length : firstLater)
  }

  /** @returns the number of entries before a time */
  countBefore (time: number): number {
    let low = 0
    let high = this.#times.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if (this.#times[middle]! < time) low = middle + 1
      else high = middle
    }
    return low
  }
}
