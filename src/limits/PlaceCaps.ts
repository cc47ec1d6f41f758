import type { Counters } from '../observe/Counters.js'
import type { CapEntry, PlaceEntry } from '../types/Sheet.js'
import type { Budget } from './Budget.js'
import type { BudgetLeases } from './BudgetLeases.js'
import type { CapUse } from './BudgetUse.js'
import { computeRefillRate } from './computeRefillRate.js'
import { CATCH_UP_SECONDS, RampLimit } from './RampLimit.js'

const REQUEST_UNIT = 1

/** Limits the requests that are dispatched in a place to its caps, and lets their rate grow only gradually. */
export class PlaceCaps {
  readonly #leases: BudgetLeases
  readonly #scopeName: string
  readonly #domain: string
  readonly #counters: Counters
  #rampsByBudget = new Map<string, RampLimit>()
  #caps: readonly CapEntry[] = []
  readonly #admittedByBudget = new Map<string, number>()

  /**
   * @param leases - shares the caps among the hosts; must have the scope of the local failure domain
   * @param domain - name of the local failure domain
   * @param counters - counts refused requests by reason
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
   * Charges one request to the cap of a service in a place before the request is dispatched. A service without a cap,
   * or a place outside the local failure domain, is not limited here.
   *
   * @param service - name of the service
   * @param place - name of the place
   * @returns true when the request may be dispatched now and is counted; false when the ramp or the cap refuses it
   */
  tryAdmit (service: string, place: string): boolean {
    const name = makeBudgetName(service, place)
    const ramp = this.#rampsByBudget.get(name)
    if (ramp === undefined) return true
    if (!ramp.canPass()) {
      this.#leases.recordRefusal(this.#scopeName, name)
      this.#counters.increment('limits.refused.ramp')
      return false
    }
    if (!this.#leases.trySpend(this.#scopeName, name, 1)) {
      ramp.recordRefusal()
      this.#counters.increment('limits.refused.place-cap')
      return false
    }
    ramp.pass()
    this.#admittedByBudget.set(name, (this.#admittedByBudget.get(name) ?? 0) + 1)
    return true
  }

  /**
   * @param service - name of the service
   * @param place - name of the place
   * @returns requests per second that this host can currently admit for long; Infinity without a cap
   */
  rate (service: string, place: string): number {
    const name = makeBudgetName(service, place)
    const openRate = this.#rampsByBudget.get(name)?.openRate ?? Infinity
    const rate = Math.min(openRate, this.#leases.rate(this.#scopeName, name) ?? Infinity)
    return rate === Infinity ? Infinity : computeRefillRate(rate, REQUEST_UNIT)
  }

  /**
   * Adds a request to the demand that was refused before {@link tryAdmit} was called.
   *
   * @param service - name of the service
   * @param place - name of the place
   */
  recordDemand (service: string, place: string): void {
    const name = makeBudgetName(service, place)
    this.#rampsByBudget.get(name)?.recordDemand()
    this.#leases.recordDemand(this.#scopeName, name, 1)
  }

  /**
   * @param service - name of the service
   * @param place - name of the place
   * @returns fraction of the cap that the ramp leaves open, from 0 to 1; undefined without a cap
   */
  openShare (service: string, place: string): number | undefined {
    return this.#rampsByBudget.get(makeBudgetName(service, place))?.openShare
  }

  /**
   * Raises the local ramp to that of the current owner of a pool. If this host becomes the owner, it continues from there,
   * as the caches of the upstreams are still warm.
   *
   * @param service - name of the service
   * @param place - name of the place
   * @param openShare - open fraction of the owner's ramp, from 0 to 1
   */
  follow (service: string, place: string, openShare: number): void {
    this.#rampsByBudget.get(makeBudgetName(service, place))?.follow(openShare)
  }

  /** @returns this host's use of each cap */
  listUse (): CapUse[] {
    return this.#caps.map(({ service, place, requestsPerSecond }) => {
      return { service, place, requestsPerSecond, admitted: this.#admittedByBudget.get(makeBudgetName(service, place)) ?? 0 }
    })
  }

  /** Replaces the caps by those of a sheet for the places of the local failure domain. */
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
      name: makeBudgetName(cap.service, cap.place), amountPerSecond: cap.requestsPerSecond, unit: REQUEST_UNIT, catchUpSeconds: CATCH_UP_SECONDS
    })))
  }
}

function makeBudgetName (service: string, place: string): string {
  return `${service} ${place}`
}
