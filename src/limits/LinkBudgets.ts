import type { Counters } from '../observe/Counters.js'
import type { LinkEntry } from '../types/Sheet.js'
import type { Budget } from './Budget.js'
import type { BudgetLeases } from './BudgetLeases.js'
import type { LinkUse } from './BudgetUse.js'

const BYTES_PER_MEGABIT = 125_000
const SPEND_UNIT_BYTES = 16_384
/** Most that a host may send for control, whatever it sends it for. */
const MAXIMUM_CONTROL_BYTES_PER_SECOND_PER_HOST = 22_000
/** Requests keep this part of a link that is too small for the control traffic of its hosts. */
const MINIMUM_REQUEST_FRACTION = 0.5

/**
 * Keeps what the hosts of a region send to other regions within the limits of the links. A part of each limit is
 * reserved for control traffic, which is not charged.
 */
export class LinkBudgets {
  readonly #leases: BudgetLeases
  readonly #region: string
  readonly #hostCount: number
  readonly #counters: Counters
  readonly #sentBytesByRegion = new Map<string, number>()
  #megabitsPerSecondByRegion = new Map<string, number>()

  /**
   * @param leases - shares the budgets; has the scope of the own region
   * @param region - the own region
   * @param hostCount - how many hosts the region has
   * @param counters - counts refusals
   */
  constructor (leases: BudgetLeases, region: string, hostCount: number, counters: Counters) {
    this.#leases = leases
    this.#region = region
    this.#hostCount = hostCount
    this.#counters = counters
    counters.declare('limits.refused.link')
  }

  /**
   * Asks before bytes are sent to another region. Bytes that stay in the region, or go over a link without a limit, are free.
   *
   * @param fromRegion - region that sends; only the own one is limited here
   * @param toRegion - region that receives
   * @param bytes - how many, headers included
   * @returns whether they may be sent now; they then count as sent
   */
  trySpend (fromRegion: string, toRegion: string, bytes: number): boolean {
    if (fromRegion !== this.#region || toRegion === this.#region) return true
    if (!this.#leases.trySpend(makeScopeName(fromRegion), toRegion, bytes)) {
      this.#counters.increment('limits.refused.link')
      return false
    }
    this.#sentBytesByRegion.set(toRegion, (this.#sentBytesByRegion.get(toRegion) ?? 0) + bytes)
    return true
  }

  /** @returns what this host sent over each link with a limit */
  listUse (): LinkUse[] {
    return [...this.#megabitsPerSecondByRegion].map(([toRegion, megabitsPerSecond]) => {
      return { fromRegion: this.#region, toRegion, bytesPerSecond: this.#computeRequestBytesPerSecond(megabitsPerSecond), sentBytes: this.#sentBytesByRegion.get(toRegion) ?? 0 }
    })
  }

  /** Takes the limits of a sheet. An entry counts for both ways, unless the other way has its own. */
  updateLimits (links: readonly LinkEntry[]): void {
    const megabitsPerSecondByRegion = new Map<string, number>()
    for (const link of links) {
      if (link.toRegion === this.#region) megabitsPerSecondByRegion.set(link.fromRegion, link.megabitsPerSecond)
    }
    for (const link of links) {
      if (link.fromRegion === this.#region) megabitsPerSecondByRegion.set(link.toRegion, link.megabitsPerSecond)
    }
    this.#megabitsPerSecondByRegion = megabitsPerSecondByRegion
    this.#leases.setBudgets(makeScopeName(this.#region), [...megabitsPerSecondByRegion].map(([toRegion, megabitsPerSecond]): Budget => ({
      name: toRegion, amountPerSecond: this.#computeRequestBytesPerSecond(megabitsPerSecond), unit: SPEND_UNIT_BYTES
    })))
  }

  /** What requests and answers may use of a limit, in bytes per second. */
  #computeRequestBytesPerSecond (megabitsPerSecond: number): number {
    const linkBytesPerSecond = megabitsPerSecond * BYTES_PER_MEGABIT
    return Math.max(linkBytesPerSecond * MINIMUM_REQUEST_FRACTION, linkBytesPerSecond - this.#hostCount * MAXIMUM_CONTROL_BYTES_PER_SECOND_PER_HOST)
  }
}

function makeScopeName (region: string): string {
  return `region:${region}`
}
