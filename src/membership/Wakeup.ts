/** Lets one task wait until another wakes it. A wake-up that occurs while no task waits is kept for the next wait. */
export class Wakeup {
  #isPending = false
  #resume: (() => void) | undefined

  wake (): void {
    this.#isPending = true
    this.#resume?.()
  }

  /** @param signal - also ends the wait when aborted */
  async wait (signal: AbortSignal): Promise<void> {
    if (!this.#isPending && !signal.aborted) await this.#sleep(signal)
    this.#isPending = false
  }

  async #sleep (signal: AbortSignal): Promise<void> {
    await new Promise<void>((resolve) => {
      const finish = (): void => {
        this.#resume = undefined
        signal.removeEventListener('abort', finish)
        resolve()
      }
      this.#resume = finish
      signal.addEventListener('abort', finish)
    })
  }
}
