/** Lets one task wait until another has work for it; a wake-up while nobody waits is kept. */
export class Wakeup {
  #isPending = false
  #resume: (() => void) | undefined

  wake (): void {
    this.#isPending = true
    this.#resume?.()
  }

  /** @param signal - ends the wait too */
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
