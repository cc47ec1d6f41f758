/** Lets one task wait until it is notified or a timeout passes. */
export class Signal {
  #isNotified = false
  #wake: (() => void) | undefined

  /** Ends the current wait, or the next one if no task is waiting. */
  notify (): void {
    this.#isNotified = true
    this.#wake?.()
  }

  /**
   * Waits for {@link notify}.
   *
   * @param maximumMilliseconds - maximum duration of the wait
   */
  async wait (maximumMilliseconds: number): Promise<void> {
    if (!this.#isNotified) await this.#waitForWake(maximumMilliseconds)
    this.#isNotified = false
  }

  #waitForWake (maximumMilliseconds: number): Promise<void> {
    return new Promise<void>((resolve) => {
      const timer = setTimeout(() => this.#wake?.(), maximumMilliseconds)
      this.#wake = () => {
        clearTimeout(timer)
        this.#wake = undefined
        resolve()
      }
    })
  }
}
