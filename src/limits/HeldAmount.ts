/** Bounds an amount, such as bytes of memory, that many holders hold together. */
export class HeldAmount {
  readonly #maximum: number
  #held = 0

  /** @param maximum - the amount that may be held at the same time; a single holder may exceed it while there is no other */
  constructor (maximum: number) {
    this.#maximum = maximum
  }

  /** @returns whether a further amount fits; it is then held until {@link release} */
  tryTake (amount: number): boolean {
    if (this.#held > 0 && this.#held + amount > this.#maximum) return false
    this.#held += amount
    return true
  }

  /** @param amount - an amount that is no longer held */
  release (amount: number): void {
    this.#held -= amount
  }
}
