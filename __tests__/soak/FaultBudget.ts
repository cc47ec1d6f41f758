import { CONTROL_HOSTS, TOLERATED_LOSSES } from './SoakSystem.js'

/** Time after the return of a host until it has caught up, in milliseconds. */
const CATCH_UP_MILLISECONDS = 4_000
/** Time after the return of all hosts until more losses than tolerated are made good, in milliseconds. */
const RECOVERY_MILLISECONDS = 15_000

interface HostLoss {
  isDown: boolean
  isDiskLost: boolean
  backAt: number
}

/**
 * Keeps the disks that are lost within what the system is to bear. A disk counts as lost until its host has had the time to catch
 * up; with more hosts lost than tolerated, until the time to recover after the return of all.
 */
export class FaultBudget {
  readonly #losses: HostLoss[] = Array.from({ length: CONTROL_HOSTS }, () => ({ isDown: false, isDiskLost: false, backAt: Number.NEGATIVE_INFINITY }))
  #isOverrun = false

  /** @returns whether the disks of some control hosts may be lost now */
  allowsDiskLosses (hosts: readonly number[]): boolean {
    this.#forget()
    const lost = new Set(hosts)
    for (const [number, { isDiskLost }] of this.#losses.entries()) if (isDiskLost) lost.add(number)
    return lost.size <= TOLERATED_LOSSES
  }

  /** Records that a control host goes down or is frozen. */
  recordDown (host: number, isDiskLost: boolean): void {
    this.#forget()
    const loss = this.#losses[host]!
    loss.isDown = true
    loss.isDiskLost ||= isDiskLost
    if (this.#losses.filter((each) => this.#isLost(each)).length > TOLERATED_LOSSES) this.#isOverrun = true
  }

  /** Records that a control host runs again since a time. */
  recordBack (host: number, backAt: number): void {
    const loss = this.#losses[host]!
    loss.isDown = false
    loss.backAt = backAt
  }

  #isLost ({ isDown, backAt }: HostLoss): boolean {
    return isDown || performance.now() < backAt + CATCH_UP_MILLISECONDS
  }

  #forget (): void {
    const now = performance.now()
    const lastBackAt = Math.max(...this.#losses.map(({ isDown, backAt }) => isDown ? Number.POSITIVE_INFINITY : backAt))
    if (this.#isOverrun && now < lastBackAt + RECOVERY_MILLISECONDS) return
    this.#isOverrun = false
    for (const loss of this.#losses) if (!this.#isLost(loss)) loss.isDiskLost = false
  }
}
