import type { PlaceShare } from './PlaceShare.js'

/** Duration and number of steps of a move between two sets of shares. */
export interface RampSettings {
  durationMilliseconds: number
  steps: number
}

/** Moves the shares of one service and guest place from one set to another in equal steps. */
export class GroupRamp {
  readonly #from: PlaceShare[]
  readonly #to: PlaceShare[]
  readonly #startedAt: number
  readonly #settings: RampSettings
  #step = -1
  #shares: PlaceShare[] = []

  /**
   * @param from - shares before the move
   * @param to - shares after it
   * @param settings - duration and number of steps of the move
   */
  constructor (from: PlaceShare[], to: PlaceShare[], settings: RampSettings) {
    this.#from = from
    this.#to = to
    this.#settings = settings
    this.#startedAt = performance.now()
  }

  /** @returns the shares in effect now */
  getShares (): PlaceShare[] {
    const { durationMilliseconds, steps } = this.#settings
    const elapsedMilliseconds = performance.now() - this.#startedAt
    const step = Math.min(steps, Math.floor(elapsedMilliseconds / durationMilliseconds * steps))
    if (step !== this.#step) {
      this.#step = step
      this.#shares = step === steps ? this.#to : this.#interpolate(step / steps)
    }
    return this.#shares
  }

  #interpolate (progress: number): PlaceShare[] {
    const shares = new Map<string, number>()
    for (const { place, fraction } of this.#to) shares.set(place, fraction * progress)
    for (const { place, fraction } of this.#from) shares.set(place, (shares.get(place) ?? 0) + fraction * (1 - progress))
    return [...shares].map(([place, fraction]) => ({ place, fraction }))
  }
}
