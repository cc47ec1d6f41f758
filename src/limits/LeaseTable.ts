import type { Budget } from './Budget.js'
import { divideByDemand } from './divideByDemand.js'
import type { LeaseDemand, LeaseGrant } from './LeaseMessages.js'
import { computeStaticFraction } from './computeStaticFraction.js'

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
  /** When a lease granted now has ended at the client for certain. */
  leaseEndsAt: number
  /** Until when the client's lent share may be leased out. */
  lendEndsAt: number
}

/** Which leases of a scope's budgets may be running, and which static shares are lent, as the holder knows. */
export class LeaseTable {
  readonly #leasesByBudget = new Map<string, Map<string, RecordedLease>>()
  readonly #loansByBudget = new Map<string, Map<string, Loan>>()
  readonly #lastSerialByClient = new Map<string, number>()
  readonly #consumerCount: number
  #budgetsByName = new Map<string, Budget>()

  /** @param consumerCount - how many hosts share the budgets */
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

  /** Drops the leases of a client that gave them up. */
  discardLeases (client: string): void {
    for (const leases of this.#leasesByBudget.values()) leases.delete(client)
  }

  /** @returns whether a request is newer than all earlier ones of its client, and not one that was delayed */
  acceptSerial (client: string, serial: number): boolean {
    if (serial <= (this.#lastSerialByClient.get(client) ?? 0)) return false
    this.#lastSerialByClient.set(client, serial)
    return true
  }

  /**
   * Grants a lease in place of the one held, out of what is no static share or is lent of them.
   *
   * @param client - the client
   * @param demand - what it wants, holds and lends
   * @param times - how long the lease and the loan may run
   * @param isRenewOnly - whether leases may run that this book does not list, so that only held ones are renewed
   * @returns the lease; undefined when the held one stays as it is
   */
  grant (client: string, demand: LeaseDemand, times: LeaseTimes, isRenewOnly: boolean): LeaseGrant | undefined {
    const leases = removeEnded(this.#leasesByBudget, demand.budget)
    const loans = removeEnded(this.#loansByBudget, demand.budget)
    leases.delete(client)
    loans.set(client, { amountPerSecond: demand.lentPerSecond, endsAt: times.lendEndsAt })
    const budgetPerSecond = this.#budgetsByName.get(demand.budget)?.amountPerSecond ?? 0
    const leasablePerSecond = Math.min(budgetPerSecond, budgetPerSecond * (1 - computeStaticFraction(this.#consumerCount)) + sumAmounts(loans))
    const desiredPerSecond = isRenewOnly ? demand.heldPerSecond : computeFairAmount(leasablePerSecond, demand.wantedPerSecond, [...leases.values()])
    const amountPerSecond = Math.max(0, Math.min(desiredPerSecond, leasablePerSecond - sumAmounts(leases)))
    const recordedPerSecond = Math.max(amountPerSecond, demand.heldPerSecond)
    leases.set(client, { amountPerSecond: recordedPerSecond, wantedPerSecond: demand.wantedPerSecond, endsAt: times.leaseEndsAt })
    return isRenewOnly && amountPerSecond < demand.heldPerSecond ? undefined : { budget: demand.budget, amountPerSecond }
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
