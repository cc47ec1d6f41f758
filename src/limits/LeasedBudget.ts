import type { Budget } from './Budget.js'
import { DemandMeter } from './DemandMeter.js'
import { computeStaticFraction } from './computeStaticFraction.js'
import { TokenBucket, WINDOW_MILLISECONDS } from './TokenBucket.js'

const DEMAND_HEADROOM_FACTOR = 1.5
const MINIMUM_RETAINED_FRACTION = 0.1

interface Loan {
  amountPerSecond: number
  endsAt: number
}

/**
 * One host's part of a budget: its static share minus its loans, plus a lease that ends at a fixed time.
 * A loan cannot be ended early, as other hosts may spend from it until its end.
 */
export class LeasedBudget {
  readonly #demandMeter = new DemandMeter()
  readonly #tokenBucket: TokenBucket
  readonly #consumerCount: number
  #staticRate = 0
  #leaseRate = 0
  #leaseEndsAt = -Infinity
  #loans: Loan[] = []

  /**
   * @param budget - the full budget, of which this host gets a part
   * @param consumerCount - number of hosts that have a static share
   */
  constructor (budget: Budget, consumerCount: number) {
    this.#consumerCount = consumerCount
    this.#tokenBucket = new TokenBucket(budget.unit, budget.catchUpSeconds)
    this.resize(budget)
    this.#tokenBucket.fill()
  }

  /** Adapts the static share and the lease to a changed budget. */
  resize (budget: Budget): void {
    this.#removeEnded()
    this.#staticRate = budget.amountPerSecond * computeStaticFraction(this.#consumerCount) / this.#consumerCount
    this.#leaseRate = Math.min(this.#leaseRate, budget.amountPerSecond - this.#staticRate)
    this.#updateBucketRate()
  }

  /** Amount per second that this host may currently spend. */
  get rate (): number {
    this.#removeEnded()
    return this.#tokenBucket.rate
  }

  /** Amount per second of the lease; 0 when none runs. */
  get heldPerSecond (): number {
    this.#removeEnded()
    return this.#leaseRate
  }

  /** Amount per second that the host would spend in excess of the part of its static share that is not lent. */
  get wantedPerSecond (): number {
    this.#removeEnded()
    return Math.max(0, this.#demandMeter.readPerSecond() * DEMAND_HEADROOM_FACTOR - this.#computeRetainedRate())
  }

  /**
   * Amount per second of the static share to lend. It is never less than the running loans: the host cannot spend from
   * them anyway, and may get the amount back as a lease.
   */
  get sparePerSecond (): number {
    if (this.#consumerCount === 1) return 0
    this.#removeEnded()
    const retainedPerSecond = Math.max(this.#demandMeter.readPerSecond() * DEMAND_HEADROOM_FACTOR, this.#staticRate * MINIMUM_RETAINED_FRACTION)
    return Math.min(this.#staticRate, Math.max(this.#computeLentRate(), this.#staticRate - retainedPerSecond))
  }

  /** Lends a part of the static share until a time on the monotonic clock. Earlier loans keep running. */
  lend (amountPerSecond: number, endsAt: number): void {
    this.#removeEnded()
    const otherLoans = this.#loans.filter((loan) => loan.endsAt > endsAt || loan.amountPerSecond > amountPerSecond)
    this.#loans = [...otherLoans, { amountPerSecond, endsAt }]
    this.#updateBucketRate()
  }

  /** Adds an amount to the demand that was refused elsewhere before {@link trySpend} was called. */
  recordDemand (amount: number): void {
    this.#demandMeter.add(amount)
  }

  /** Records that a spend was refused by another limit. */
  recordRefusal (): void {
    this.#tokenBucket.recordRefusal()
  }

  /** Replaces the lease. */
  applyLease (amountPerSecond: number, endsAt: number): void {
    this.#removeEnded()
    this.#leaseRate = endsAt > performance.now() ? amountPerSecond : 0
    this.#leaseEndsAt = endsAt
    this.#updateBucketRate()
  }

  /**
   * Spends an amount if the rate allows it; counts it as demand in either case.
   *
   * @param amount - amount to spend, in the units of the budget
   * @returns true when the amount is spent
   */
  trySpend (amount: number): boolean {
    this.#demandMeter.add(amount)
    this.#removeEnded()
    if (!this.#tokenBucket.canSpend(amount, this.#mayCatchUp())) return false
    this.#tokenBucket.spend(amount)
    return true
  }

  /** Just before a lease ends, as other hosts may get it then. */
  #mayCatchUp (): boolean {
    return this.#leaseRate === 0 || this.#leaseEndsAt - performance.now() > WINDOW_MILLISECONDS
  }

  /** Removes an ended lease as of its end time, and ended loans as of now. */
  #removeEnded (): void {
    const now = performance.now()
    if (this.#leaseRate > 0 && now >= this.#leaseEndsAt) {
      this.#leaseRate = 0
      this.#updateBucketRate(this.#leaseEndsAt)
    }
    if (!this.#loans.some((loan) => now >= loan.endsAt)) return
    this.#loans = this.#loans.filter((loan) => now < loan.endsAt)
    this.#updateBucketRate()
  }

  #updateBucketRate (at?: number): void {
    this.#tokenBucket.setRate(this.#computeRetainedRate() + this.#leaseRate, at)
  }

  #computeLentRate (): number {
    return Math.max(0, ...this.#loans.map((loan) => loan.amountPerSecond))
  }

  #computeRetainedRate (): number {
    return Math.max(0, this.#staticRate - this.#computeLentRate())
  }
}
