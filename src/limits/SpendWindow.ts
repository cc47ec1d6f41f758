/** Spends that are closer together are kept as one, at the time of the last of them. */
const GROUP_MILLISECONDS = 10

interface SpendGroup {
  startedAt: number
  endedAt: number
  amount: number
}

/** Sums what was spent within a sliding window. */
export class SpendWindow {
  readonly #windowMilliseconds: number
  readonly #groups: SpendGroup[] = []

  /** @param windowMilliseconds - length of the window */
  constructor (windowMilliseconds: number) {
    this.#windowMilliseconds = windowMilliseconds
  }

  add (amount: number): void {
    const now = performance.now()
    const last = this.#groups.at(-1)
    if (last === undefined || now - last.startedAt >= GROUP_MILLISECONDS) {
      this.#groups.push({ startedAt: now, endedAt: now, amount })
      return
    }
    last.endedAt = now
    last.amount += amount
  }

  /** @returns the amount spent within the window that ends now */
  sum (): number {
    const oldestAt = performance.now() - this.#windowMilliseconds
    while (this.#groups.length > 0 && this.#groups[0]!.endedAt <= oldestAt) this.#groups.shift()
    return this.#groups.reduce((total, group) => total + group.amount, 0)
  }
}
