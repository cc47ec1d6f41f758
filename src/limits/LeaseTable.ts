import type { Budget } from './Budget.js'
import { divideByDemand } from './divideByDemand.js'
import type { LeaseDemand, LeaseGrant } from './LeaseMessages.js'
import { computeStaticFraction } from './computeStaticFraction.js'
import { WINDOW_MILLISECONDS } from './TokenBucket.js'

interface RecordedLease {
  amountPerSecond: number
  wantedPerSecond: number
  endsAt: number
}

interface Loan {
  amountPerSecond: number
  endsAt: number
}

/** Times of one request, on the holder's monotonic clock. */
export interface LeaseTimes {
  /** Time at which a lease granted now has certainly ended at the client. */
  leaseEndsAt: number
  /** Time until which the client's loan may be leased out. */
  lendEndsAt: number
}

/** The holder's record of the leases of a scope's budgets that may still be running, and of the parts of static shares lent to it. */
export class LeaseTable {
  readonly #leasesByBudget = new Map<string, Map<string, RecordedLease>>()
  readonly #loansByBudget = new Map<string, Map<string, Loan>>()
  readonly #lastSerialByClient = new Map<string, number>()
  readonly #consumerCount: number
  #budgetsByName = new Map<string, Budget>()

  /** @param consumerCount - number of hosts that share the budgets */
  constructor (consumerCount: number) {
    this.#consumerCount = consumerCount
  }

  setBudgets (budgets: readonly Budget[]): void {
    this.#budgetsByName = new Map(budgets.map((budget) => [budget.name, budget]))
  }

  clear (): void {
    this.#leasesByBudget.clear()
    this.#loansByBudget.clear()
    this.#lastSerialByClient.clear()
  }

  /** Ends the leases of a client that returned them, once its last spends are outside of any window. */
  discardLeases (client: string): void {
    const endsAt = performance.now() + WINDOW_MILLISECONDS
    for (const leases of this.#leasesByBudget.values()) {
      const lease = leases.get(client)
      if (lease !== undefined) lease.endsAt = Math.min(lease.endsAt, endsAt)
    }
  }

  /**
   * Records the serial of a request.
   *
   * @returns false when a request of the client with this or a higher serial was accepted before: the request was delayed
   */
  acceptSerial (client: string, serial: number): boolean {
    if (serial <= (this.#lastSerialByClient.get(client) ?? 0)) return false
    this.#lastSerialByClient.set(client, serial)
    return true
  }

  /**
   * Grants a lease that replaces the one held. Leases are taken from the part of the budget that is not split into
   * static shares, plus the static shares that are lent.
   *
   * @param client - client id, one per run of a host
   * @param demand - amounts that the client requests, holds and lends
   * @param times - end times of the lease and the loan
   * @param isRenewOnly - whether leases that are not in this table may still run, so that only held ones are renewed
   * @returns the lease; undefined when the held one stays as it is
   */
  grant (client: string, demand: LeaseDemand, times: LeaseTimes, isRenewOnly: boolean): LeaseGrant | undefined {
    const leases = removeEnded(this.#leasesByBudget, demand.budget)
    const loans = removeEnded(this.#loansByBudget, demand.budget)
    leases.delete(client)
    loans.set(client, { amountPerSecond: demand.lentPerSecond, endsAt: times.lendEndsAt })
    const budgetPerSecond = this.#budgetsByName.get(demand.budget)?.amountPerSecond ?? 0
    const leasablePerSecond = Math.min(budgetPerSecond, budgetPerSecond * (1 - computeStaticFraction(this.#consumerCount)) + sumAmounts(loans))
    const desiredPerSecond = isRenewOnly ? demand.heldPerSecond : computeFairAmount(leasablePerSecond, demand.wantedPerSecond, [...leases.values()]) + this.#computeSpareAmount(leasablePerSecond, demand, leases)
    const amountPerSecond = Math.max(0, Math.min(desiredPerSecond, leasablePerSecond - sumAmounts(leases)))
    const recordedPerSecond = Math.max(amountPerSecond, demand.heldPerSecond)
    leases.set(client, { amountPerSecond: recordedPerSecond, wantedPerSecond: demand.wantedPerSecond, endsAt: times.leaseEndsAt })
    return isRenewOnly && amountPerSecond < demand.heldPerSecond ? undefined : { budget: demand.budget, amountPerSecond }
  }

  /** The parts of a separate burst follow the rates of the hosts, so that what no client wants is divided evenly instead of kept. */
  #computeSpareAmount (leasablePerSecond: number, { budget, wantedPerSecond }: LeaseDemand, otherLeases: ReadonlyMap<string, RecordedLease>): number {
    if (this.#budgetsByName.get(budget)?.burst === undefined) return 0
    const wantedSum = [...otherLeases.values()].reduce((sum, lease) => sum + lease.wantedPerSecond, wantedPerSecond)
    return Math.max(0, leasablePerSecond - wantedSum) / this.#consumerCount
  }
}

function computeFairAmount (leasablePerSecond: number, wantedPerSecond: number, otherLeases: RecordedLease[]): number {
  return divideByDemand(leasablePerSecond, [wantedPerSecond, ...otherLeases.map((lease) => lease.wantedPerSecond)])[0]!
}

function removeEnded<Entry extends { endsAt: number }> (entriesByBudget: Map<string, Map<string, Entry>>, budget: string): Map<string, Entry> {
  const running = entriesByBudget.get(budget) ?? new Map<string, Entry>()
  entriesByBudget.set(budget, running)
  for (const [client, entry] of running) {
    if (performance.now() >= entry.endsAt) running.delete(client)
  }
  return running
}

function sumAmounts (entries: ReadonlyMap<string, { amountPerSecond: number }>): number {
  return [...entries.values()].reduce((sum, entry) => sum + entry.amountPerSecond, 0)
}
