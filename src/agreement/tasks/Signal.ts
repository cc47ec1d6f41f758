/** Lets one task wait for a notification or a timeout, whichever comes first. */
export class Signal {
  #isNotified = false
  #wake: (() => void) | undefined

  /** Ends the current wait, or the next one if no task waits now. */
  notify (): void {
    this.#isNotified = true
    this.#wake?.()
  }

  /**
   * Waits for {@link notify}.
   *
   * @param maximumMilliseconds - longest wait
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
