import { readFileSync } from 'node:fs'
import type { Disturbance } from './SoakRecord.js'
import type { SoakSystem } from './SoakSystem.js'

const SAMPLE_MILLISECONDS = 500
/** Lateness of a timer from which the whole machine counts as too busy, in milliseconds. */
const LATE_MILLISECONDS = 500
/** Share of the time that a process waits for a processor from which its host counts as slowed. */
const STARVED_SHARE = 0.3
const NANOSECONDS_PER_MILLISECOND = 1_000_000

/** Records the times in which the machine does not hand a processor to the hosts, as disturbances. */
export class LoadMeter {
  readonly #system: SoakSystem
  readonly #disturbances: Disturbance[]
  readonly #waits = new Map<number, number>()
  readonly #timer: NodeJS.Timeout
  #sampledAt = performance.now()

  /**
   * @param system - hosts to watch
   * @param disturbances - receives the slow times
   */
  constructor (system: SoakSystem, disturbances: Disturbance[]) {
    this.#system = system
    this.#disturbances = disturbances
    this.#timer = setInterval(() => { this.#sample() }, SAMPLE_MILLISECONDS)
  }

  /** Ends the measurement. */
  stop (): void {
    clearInterval(this.#timer)
  }

  #sample (): void {
    const from = this.#sampledAt
    const to = performance.now()
    this.#sampledAt = to
    if (to - from > SAMPLE_MILLISECONDS + LATE_MILLISECONDS) this.#disturbances.push({ host: 'machine', kind: 'slow', from, to })
    for (const { name, process } of this.#system.hosts) {
      const waited = readWaitMilliseconds(process?.pid)
      const before = this.#waits.get(process?.pid ?? 0) ?? waited
      this.#waits.set(process?.pid ?? 0, waited)
      if (waited - before > STARVED_SHARE * (to - from)) this.#disturbances.push({ host: name, kind: 'starved', from, to })
    }
  }
}

/** @returns how long a process has waited for a processor so far; 0 where the system does not tell */
function readWaitMilliseconds (pid: number | undefined): number {
  try {
    return Number(readFileSync(`/proc/${pid}/schedstat`, 'utf8').split(' ')[1]) / NANOSECONDS_PER_MILLISECOND
  } catch {
    // The process has ended, or the system is of another kind.
    return 0
  }
}
