import type { Counters } from '../observe/Counters.js'
import type { CapEntry, PlaceEntry } from '../types/Sheet.js'
import type { Budget } from './Budget.js'
import type { BudgetLeases } from './BudgetLeases.js'
import type { CapUse } from './BudgetUse.js'
import { RampLimit } from './RampLimit.js'

/** Keeps the requests that a place takes within its caps, and lets them grow only step by step. */
export class PlaceCaps {
  readonly #leases: BudgetLeases
  readonly #scopeName: string
  readonly #domain: string
  readonly #counters: Counters
  #rampsByBudget = new Map<string, RampLimit>()
  #caps: readonly CapEntry[] = []
  readonly #admittedByBudget = new Map<string, number>()

  /**
   * @param leases - shares the caps; has the scope of the own failure domain
   * @param domain - the own failure domain
   * @param counters - counts refusals by reason
   */
  constructor (leases: BudgetLeases, domain: string, counters: Counters) {
    this.#leases = leases
    this.#scopeName = `domain:${domain}`
    this.#domain = domain
    this.#counters = counters
    counters.declare('limits.refused.place-cap')
    counters.declare('limits.refused.ramp')
  }

  /**
   * Asks before a request is dispatched in a place of the own failure domain.
   *
   * @param service - the service
   * @param place - the place
   * @returns whether the place may take the request now; it then counts as taken
   */
  tryAdmit (service: string, place: string): boolean {
    const name = makeBudgetName(service, place)
    const ramp = this.#rampsByBudget.get(name)
    if (ramp === undefined) return true
    if (!ramp.canPass()) {
      this.#counters.increment('limits.refused.ramp')
      return false
    }
    if (!this.#leases.trySpend(this.#scopeName, name, 1)) {
      this.#counters.increment('limits.refused.place-cap')
      return false
    }
    ramp.pass()
    this.#admittedByBudget.set(name, (this.#admittedByBudget.get(name) ?? 0) + 1)
    return true
  }

  /**
   * @param service - the service
   * @param place - the place
   * @returns requests per second that this host may admit now, Infinity without a cap
   */
  rate (service: string, place: string): number {
    const name = makeBudgetName(service, place)
    const openRate = this.#rampsByBudget.get(name)?.openRate ?? Infinity
    return Math.min(openRate, this.#leases.rate(this.#scopeName, name) ?? Infinity)
  }

  /**
   * Counts a request that was refused before it was asked for by {@link tryAdmit}.
   *
   * @param service - the service
   * @param place - the place
   */
  recordDemand (service: string, place: string): void {
    const name = makeBudgetName(service, place)
    this.#rampsByBudget.get(name)?.recordDemand()
    this.#leases.recordDemand(this.#scopeName, name, 1)
  }

  /**
   * @param service - the service
   * @param place - the place
   * @returns part of the cap that the ramp leaves open, undefined without a cap
   */
  openShare (service: string, place: string): number | undefined {
    return this.#rampsByBudget.get(makeBudgetName(service, place))?.openShare
  }

  /**
   * Keeps up with the ramp of the present owner of a pool, so that it goes on from there should this host become
   * the owner: the caches behind it stay warm.
   *
   * @param service - the service
   * @param place - the place
   * @param openShare - what the owner says of its ramp
   */
  follow (service: string, place: string, openShare: number): void {
    this.#rampsByBudget.get(makeBudgetName(service, place))?.follow(openShare)
  }

  /** @returns what this host took of each cap */
  listUse (): CapUse[] {
    return this.#caps.map(({ service, place, requestsPerSecond }) => {
      return { service, place, requestsPerSecond, admitted: this.#admittedByBudget.get(makeBudgetName(service, place)) ?? 0 }
    })
  }

  /** Takes the caps of a sheet, of the places in the own failure domain. */
  updateLimits (caps: readonly CapEntry[], places: ReadonlyMap<string, PlaceEntry>): void {
    const localCaps = caps.filter((cap) => places.get(cap.place)?.failureDomain === this.#domain)
    const rampsByBudget = new Map<string, RampLimit>()
    for (const cap of localCaps) {
      const name = makeBudgetName(cap.service, cap.place)
      const ramp = this.#rampsByBudget.get(name)
      ramp?.resize(cap.requestsPerSecond)
      rampsByBudget.set(name, ramp ?? new RampLimit(cap.requestsPerSecond))
    }
    this.#rampsByBudget = rampsByBudget
    this.#caps = localCaps
    this.#leases.setBudgets(this.#scopeName, localCaps.map((cap): Budget => ({
      name: makeBudgetName(cap.service, cap.place), amountPerSecond: cap.requestsPerSecond, unit: 1
    })))
  }
}

function makeBudgetName (service: string, place: string): string {
  return `${service} ${place}`
}
