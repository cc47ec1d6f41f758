import { readFileSync } from 'node:fs'
import type { SoakRecord } from './SoakRecord.js'
import type { SoakSystem } from './SoakSystem.js'

const SAMPLE_MILLISECONDS = 500
/** Lateness of a timer from which the whole machine counts as too busy, in milliseconds. */
const LATE_MILLISECONDS = 500
/** Share of the time that a process waits for a processor from which its host counts as slowed. */
const STARVED_SHARE = 0.3
const NANOSECONDS_PER_MILLISECOND = 1_000_000

/** Records the peak of each host's memory, and the times in which the machine does not hand a processor to the hosts, as disturbances. */
export class LoadMeter {
  readonly #system: SoakSystem
  readonly #record: Pick<SoakRecord, 'disturbances' | 'peaks'>
  readonly #waits = new Map<number, number>()
  readonly #timer: NodeJS.Timeout
  #sampledAt = performance.now()

  /**
   * @param system - hosts to watch
   * @param record - receives the slow times and the peaks
   */
  constructor (system: SoakSystem, record: Pick<SoakRecord, 'disturbances' | 'peaks'>) {
    this.#system = system
    this.#record = record
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
    if (to - from > SAMPLE_MILLISECONDS + LATE_MILLISECONDS) this.#record.disturbances.push({ host: 'machine', kind: 'slow', from, to })
    for (const { name, process } of this.#system.hosts) {
      const waited = readWaitMilliseconds(process?.pid)
      const before = this.#waits.get(process?.pid ?? 0) ?? waited
      this.#waits.set(process?.pid ?? 0, waited)
      if (waited - before > STARVED_SHARE * (to - from)) this.#record.disturbances.push({ host: name, kind: 'starved', from, to })
      const kib = readPeakKib(process?.pid)
      if (kib > (this.#record.peaks.get(name)?.kib ?? 0)) this.#record.peaks.set(name, { at: to, kib })
    }
  }
}

/** @returns how long a process has waited for a processor so far; 0 where the system does not tell */
function readWaitMilliseconds (pid: number | undefined): number {
  return Number(readProcessFile(pid, 'schedstat')?.split(' ')[1] ?? 0) / NANOSECONDS_PER_MILLISECOND
}

/** @returns largest resident memory of a process so far, in KiB; 0 where the system does not tell */
function readPeakKib (pid: number | undefined): number {
  return Number(/VmHWM:\s+(\d+)/.exec(readProcessFile(pid, 'status') ?? '')?.[1] ?? 0)
}

function readProcessFile (pid: number | undefined, name: string): string | undefined {
  try {
    return readFileSync(`/proc/${pid}/${name}`, 'utf8')
  } catch {
    // The process has ended, or the system is of another kind.
    return undefined
  }
}
