import type { Disturbance } from './SoakRecord.js'

const SAMPLE_MILLISECONDS = 50
/** Lateness of a timer from which the machine counts as too slow for bounds in time, in milliseconds. */
const LATE_MILLISECONDS = 500

/** Records the times in which the whole machine is too busy, as disturbances of all hosts. */
export class LoadMeter {
  readonly #timer: NodeJS.Timeout
  #sampledAt = performance.now()

  /** @param disturbances - receives the slow times */
  constructor (disturbances: Disturbance[]) {
    this.#timer = setInterval(() => {
      const now = performance.now()
      if (now - this.#sampledAt > SAMPLE_MILLISECONDS + LATE_MILLISECONDS) disturbances.push({ host: 'machine', kind: 'slow', from: this.#sampledAt, to: now })
      this.#sampledAt = now
    }, SAMPLE_MILLISECONDS)
  }

  /** Ends the measurement. */
  stop (): void {
    clearInterval(this.#timer)
  }
}
