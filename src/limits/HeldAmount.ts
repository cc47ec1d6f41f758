/** Bounds an amount, such as bytes of memory, that many holders hold together. */
export class HeldAmount {
  readonly #maximum: number
  readonly #within: HeldAmount | undefined
  #held = 0

  /**
   * @param maximum - the amount that may be held at the same time; a single holder may exceed it while there is no other
   * @param within - a larger bound that the amount is a part of
   */
  constructor (maximum: number, within?: HeldAmount) {
    this.#maximum = maximum
    this.#within = within
  }

  /** The amount that is held now. */
  get held (): number {
    return this.#held
  }

  /** @returns whether a further amount fits; it is then held until {@link release} */
  tryTake (amount: number): boolean {
    if (this.#held > 0 && this.#held + amount > this.#maximum) return false
    if (this.#within?.tryTake(amount) === false) return false
    this.#held += amount
    return true
  }

  /** @param growth - a change of what is held, whether it fits or not: the amount is there already */
  change (growth: number): void {
    this.#held += growth
    this.#within?.change(growth)
  }

  /** @param amount - an amount that is no longer held */
  release (amount: number): void {
    this.#held -= amount
    this.#within?.release(amount)
  }
}
