import type { Counters } from '../observe/Counters.js'
import type { LinkEntry } from '../types/Sheet.js'
import type { Budget } from './Budget.js'
import type { BudgetLeases } from './BudgetLeases.js'
import type { LinkUse } from './BudgetUse.js'

const BYTES_PER_MEGABIT = 125_000
const SPEND_UNIT_BYTES = 16_384
/** Upper bound of the control traffic of one host, for all purposes together. */
const MAXIMUM_CONTROL_BYTES_PER_SECOND_PER_HOST = 22_000
/** Fraction of a link that is left to requests even when the control traffic of the hosts would need more than the rest. */
const MINIMUM_REQUEST_FRACTION = 0.5

/**
 * Limits the bytes that the hosts of a region send to other regions to the capacity of the links. A part of each limit is
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
   * @param leases - shares the budgets among the hosts; must have the scope of the local region
   * @param region - name of the local region
   * @param hostCount - number of hosts of the region, for which control traffic is reserved
   * @param counters - counts refused spends
   */
  constructor (leases: BudgetLeases, region: string, hostCount: number, counters: Counters) {
    this.#leases = leases
    this.#region = region
    this.#hostCount = hostCount
    this.#counters = counters
    counters.declare('limits.refused.link')
  }

  /**
   * Charges bytes to a link before they are sent. Bytes that stay in the region, or use a link without a limit, are not charged.
   *
   * @param fromRegion - sending region; only the local region is limited here
   * @param toRegion - receiving region
   * @param bytes - number of bytes, including headers
   * @returns true when the bytes may be sent now and are counted as sent; false when the limit is reached
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

  /** @returns this host's use of each link that has a limit */
  listUse (): LinkUse[] {
    return [...this.#megabitsPerSecondByRegion].map(([toRegion, megabitsPerSecond]) => {
      return { fromRegion: this.#region, toRegion, bytesPerSecond: this.#computeRequestBytesPerSecond(megabitsPerSecond), sentBytes: this.#sentBytesByRegion.get(toRegion) ?? 0 }
    })
  }

  /** Replaces the limits by those of a sheet. An entry applies to both directions unless the other direction has its own entry. */
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

  /** Computes the part of a link's limit that is available to requests and answers, in bytes per second. */
  #computeRequestBytesPerSecond (megabitsPerSecond: number): number {
    const linkBytesPerSecond = megabitsPerSecond * BYTES_PER_MEGABIT
    return Math.max(linkBytesPerSecond * MINIMUM_REQUEST_FRACTION, linkBytesPerSecond - this.#hostCount * MAXIMUM_CONTROL_BYTES_PER_SECOND_PER_HOST)
  }
}

function makeScopeName (region: string): string {
  return `region:${region}`
}
