/** Time for which a machine still counts as lost after it is back. */
export const CATCH_UP_MILLISECONDS = 4_000
/** Number of machines whose simultaneous loss a deployment must bear. */
export const TOLERATED_LOSSES = 2

/** Machines that count as lost, by their number; at most two at once. */
export class LossBudget {
  readonly #lostUntilByMachine = new Map<number, number>()
  readonly #busyMachines = new Set<number>()
  /** Whether no further machine may be lost, since all hosts were killed at once. */
  isBlocked = false

  /** @returns machines that count as lost */
  listLost (): number[] {
    return [...this.#lostUntilByMachine.entries()].filter(([, lostUntil]) => lostUntil > performance.now()).map(([machine]) => machine)
  }

  /** Whether no fault is on, and none was in the time that hosts have to catch up. */
  get isCalm (): boolean {
    return !this.isBlocked && this.listLost().length === 0
  }

  /** Whether no fault is on; machines may still be catching up. */
  get isIdle (): boolean {
    return this.#busyMachines.size === 0
  }

  /**
   * Takes a machine for a fault.
   *
   * @returns whether the deployment must bear its loss besides the others, and it has no other fault
   */
  take (machine: number): boolean {
    const lost = this.listLost()
    if (this.isBlocked) return false
    if (this.#busyMachines.has(machine) || (!lost.includes(machine) && lost.length >= TOLERATED_LOSSES)) return false
    this.#busyMachines.add(machine)
    this.#lostUntilByMachine.set(machine, Number.POSITIVE_INFINITY)
    return true
  }

  /** Records that a machine is back. */
  release (machine: number): void {
    this.#busyMachines.delete(machine)
    this.#lostUntilByMachine.set(machine, performance.now() + CATCH_UP_MILLISECONDS)
  }
}
