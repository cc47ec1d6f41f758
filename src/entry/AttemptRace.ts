/** One of the attempts of a request that run at the same time. */
export interface RacingAttempt {
  /** Aborted when the guest leaves, and when another attempt answers the request. */
  cancelled: AbortSignal
  /** @returns whether the answer of this attempt may go to the guest; the first call of any attempt cancels all others */
  claim: () => boolean
  /** @returns whether another attempt has answered the request */
  isSuperseded: () => boolean
  /** Records that the attempt is over. What is left of its exchange then ends with the guest, not with another attempt's answer. */
  leave: () => void
}

interface Entry {
  controller: AbortController
  isRunning: boolean
}

/** Lets one attempt of a request answer it, and cancels the others at that moment. */
export class AttemptRace {
  readonly #entries: Entry[] = []
  readonly #guestLeft: AbortSignal
  #winner: Entry | undefined
  #isOver = false

  /** @param guestLeft - aborted when the guest leaves; it lives as long as the request */
  constructor (guestLeft: AbortSignal) {
    this.#guestLeft = guestLeft
    guestLeft.addEventListener('abort', () => { for (const { controller } of this.#entries) controller.abort() }, { once: true })
  }

  /** Whether an attempt has answered the request. */
  get isWon (): boolean {
    return this.#winner !== undefined
  }

  /** Whether an attempt is not over, be it cancelled. */
  get isAnyRunning (): boolean {
    return this.#entries.some(({ isRunning }) => isRunning)
  }

  /** Adds an attempt. */
  enter (): RacingAttempt {
    const entry = { controller: new AbortController(), isRunning: true }
    this.#entries.push(entry)
    if (this.#guestLeft.aborted) entry.controller.abort()
    return {
      cancelled: entry.controller.signal,
      claim: () => this.#claim(entry),
      isSuperseded: () => this.#isOver && this.#winner !== entry,
      leave: () => { entry.isRunning = false }
    }
  }

  /** Cancels all running attempts but the winner. */
  end (): void {
    this.#isOver = true
    for (const entry of this.#entries) if (entry.isRunning && entry !== this.#winner) entry.controller.abort()
  }

  #claim (entry: Entry): boolean {
    if (this.#isOver) return this.#winner === entry
    this.#winner = entry
    this.end()
    return true
  }
}
