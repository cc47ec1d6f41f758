import { setTimeout as sleep } from 'node:timers/promises'
import { FaultBudget } from './FaultBudget.js'
import { Blow, type FaultStep, type HostFault } from './drawFaults.js'
import type { SoakOperator } from './SoakOperator.js'
import { Disk, type SoakHost, type SoakSystem } from './SoakSystem.js'

const CHECK_MILLISECONDS = 100
const SIGNAL_GAP_MILLISECONDS = 150
const LONGEST_WAIT_FOR_ACKNOWLEDGEMENT_MILLISECONDS = 8_000

/** Plays drawn faults on the hosts of a system. */
export class FaultRunner {
  readonly #system: SoakSystem
  readonly #operator: SoakOperator
  readonly #report: (text: string) => void
  readonly #budget = new FaultBudget()
  readonly #running = new Set<Promise<unknown>>()
  /** Number of faults that were played. */
  faultCount = 0

  /**
   * @param system - hosts to play the faults on
   * @param operator - tells of acknowledgements
   * @param report - receives a line for each step
   */
  constructor (system: SoakSystem, operator: SoakOperator, report: (text: string) => void) {
    this.#system = system
    this.#operator = operator
    this.#report = report
  }

  /** Plays a step; it waits for the end of its faults unless the step overlaps the next one. */
  async play (step: FaultStep): Promise<void> {
    await sleep(step.pauseMilliseconds)
    const wiped = step.faults.filter(({ disk }) => disk === Disk.Lost).map(({ host }) => host)
    while (!this.#budget.allowsDiskLosses(wiped)) await sleep(CHECK_MILLISECONDS)
    if (step.atAcknowledgement) await this.#operator.waitForAcknowledgement(LONGEST_WAIT_FOR_ACKNOWLEDGEMENT_MILLISECONDS)
    this.#report(`${step.name}${step.atAcknowledgement ? ' at acknowledgement' : ''}: ${step.faults.map(describeFault).join(', ')}`)
    const faults = Promise.all(step.faults.map((fault) => this.#playFault(fault)))
    this.#running.add(faults)
    faults.finally(() => { this.#running.delete(faults) }).catch(() => {})
    if (!step.overlapsNext) await faults
  }

  /** Waits until all faults have ended. */
  async finish (): Promise<void> {
    await Promise.all(this.#running)
  }

  async #playFault (fault: HostFault): Promise<void> {
    if (fault.delayMilliseconds > 0) await sleep(fault.delayMilliseconds)
    const host = (fault.role === 'control' ? this.#system.controlHosts : this.#system.entryHosts)[fault.host]!
    // An earlier fault of the host lasts.
    if (host.isHeldDown || host.isFrozen) return
    this.faultCount += 1
    if (fault.role === 'control') this.#budget.recordDown(fault.host, fault.disk === Disk.Lost)
    const backAt = await this.#strike(host, fault)
    if (fault.role === 'control' && backAt !== undefined) this.#budget.recordBack(fault.host, backAt)
  }

  /** @returns when the host was back, undefined when another fault struck it first */
  async #strike (host: SoakHost, { blow, disk, downMilliseconds }: HostFault): Promise<number | undefined> {
    if (blow === Blow.Freeze) {
      this.#system.freeze(host)
      await sleep(downMilliseconds)
      return this.#system.thaw(host)
    }
    if (blow === Blow.Reload || blow === Blow.ReloadAndTerminate) this.#system.reload(host)
    if (blow === Blow.Reload) return undefined
    if (blow === Blow.ReloadAndTerminate) await sleep(SIGNAL_GAP_MILLISECONDS)
    const ended = this.#system.end(host, blow === Blow.Kill ? 'SIGKILL' : 'SIGTERM')
    if (blow === Blow.TerminateTwice) {
      await sleep(SIGNAL_GAP_MILLISECONDS)
      host.process?.kill('SIGTERM')
    }
    await ended
    await sleep(downMilliseconds)
    return await this.#system.revive(host, disk)
  }
}

function describeFault ({ role, host, blow, disk, downMilliseconds, delayMilliseconds }: HostFault): string {
  return `${role}-${host} ${blow}${disk === Disk.Kept ? '' : ` ${disk}`} ${Math.round(downMilliseconds)} ms${delayMilliseconds > 0 ? ` after ${Math.round(delayMilliseconds)} ms` : ''}`
}
