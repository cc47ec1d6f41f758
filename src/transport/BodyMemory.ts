import type { HeldAmount } from '../limits/HeldAmount.js'

/** Memory of the body of one request, taken from what all bodies of a host may hold together. */
export class BodyMemory {
  readonly #shared: HeldAmount
  #heldBytes = 0
  #isReleased = false
  #hasRefused = false

  /** @param shared - what all bodies of the host may hold together, in bytes */
  constructor (shared: HeldAmount) {
    this.#shared = shared
  }

  /** Whether the body needed more than there is. */
  get hasRefused (): boolean {
    return this.#hasRefused
  }

  /** @returns whether further bytes fit; they are then held until {@link release} */
  tryTake (bytes: number): boolean {
    this.#hasRefused ||= this.#isReleased || !this.#shared.tryTake(bytes)
    if (this.#hasRefused) return false
    this.#heldBytes += bytes
    return true
  }

  /** Releases all bytes, once the request has ended. */
  release (): void {
    this.#isReleased = true
    this.#shared.release(this.#heldBytes)
    this.#heldBytes = 0
  }
}
