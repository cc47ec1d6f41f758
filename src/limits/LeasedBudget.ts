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
  readonly #demandMeter: DemandMeter
  readonly #tokenBucket: TokenBucket
  readonly #consumerCount: number
  #budget: Budget
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
    this.#budget = budget
    this.#demandMeter = new DemandMeter(budget.demandWindowMilliseconds)
    this.#tokenBucket = new TokenBucket(budget.unit, budget.catchUpSeconds)
    this.resize(budget)
    // An earlier run of this host may have spent a separate burst a moment ago.
    this.#tokenBucket.fill(budget.burst === undefined ? undefined : budget.unit)
  }

  /** Adapts the static share and the lease to a changed budget. */
  resize (budget: Budget): void {
    this.#removeEnded()
    // Leases that were granted of a larger budget add up to less than the lowered one only if each is lowered in proportion.
    if (budget.burst !== undefined && budget.amountPerSecond < this.#budget.amountPerSecond) this.#leaseRate *= budget.amountPerSecond / this.#budget.amountPerSecond
    this.#budget = budget
    this.#staticRate = budget.amountPerSecond * computeStaticFraction(this.#consumerCount) / this.#consumerCount
    this.#leaseRate = Math.min(this.#leaseRate, budget.amountPerSecond - this.#staticRate)
    this.#updateBucketRate()
  }

  /** Amount per second that this host may currently spend. */
  get rate (): number {
    this.#removeEnded()
    return this.#tokenBucket.rate
  }

  /** Amount in whole units that may be spent now. */
  get available (): number {
    this.#removeEnded()
    const { unit } = this.#budget
    return Math.max(0, Math.floor(this.#tokenBucket.balance / unit) * unit)
  }

  /** Amount per second of the lease; 0 when none runs. */
  get heldPerSecond (): number {
    this.#removeEnded()
    return this.#leaseRate
  }

  /** Amount per second that the host would spend in excess of the part of its static share that is not lent. */
  get wantedPerSecond (): number {
    this.#removeEnded()
    return Math.max(0, this.#estimateDemand() * DEMAND_HEADROOM_FACTOR - this.#computeRetainedRate())
  }

  /**
   * Amount per second of the static share to lend. It is never less than the running loans: the host cannot spend from
   * them anyway, and may get the amount back as a lease.
   */
  get sparePerSecond (): number {
    if (this.#consumerCount === 1) return 0
    this.#removeEnded()
    const retainedPerSecond = Math.max(this.#estimateDemand() * DEMAND_HEADROOM_FACTOR, this.#staticRate * MINIMUM_RETAINED_FRACTION)
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

  /**
   * Spends as much of an amount of whole units as is available. It is not counted as demand, see {@link recordDemand}.
   *
   * @returns the amount spent
   */
  spendUpTo (amount: number): number {
    const spent = this.rate > 0 ? Math.min(amount, this.available) : 0
    this.#tokenBucket.spend(spent)
    return spent
  }

  /** @returns milliseconds until an amount is available, while this host has at least its even share of the budget */
  computeWait (amount: number): number {
    const evenRate = this.#budget.amountPerSecond / this.#consumerCount
    return Math.max(0, amount - this.#tokenBucket.balance) / Math.max(this.rate, evenRate) * 1000
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
    const rate = this.#computeRetainedRate() + this.#leaseRate
    this.#tokenBucket.setRate(rate, at, this.#computeBurst(rate))
  }

  #computeBurst (rate: number): number | undefined {
    const { burst, roundingAllowance = 0, amountPerSecond, unit } = this.#budget
    if (burst === undefined || amountPerSecond === 0) return burst
    return Math.max(unit, burst * rate / amountPerSecond + roundingAllowance)
  }

  /**
   * Amount per second that the host may be asked for. The few requests of a small part vary by about the square root of their
   * number, so that a part of just the measured demand would often not suffice.
   */
  #estimateDemand (): number {
    const measuredPerSecond = this.#demandMeter.readPerSecond()
    const { demandWindowMilliseconds, unit } = this.#budget
    if (demandWindowMilliseconds === undefined) return measuredPerSecond
    const seconds = demandWindowMilliseconds / 1000
    return measuredPerSecond + Math.sqrt(measuredPerSecond * seconds / unit + 1) * unit / seconds
  }

  #computeLentRate (): number {
    return Math.max(0, ...this.#loans.map((loan) => loan.amountPerSecond))
  }

  #computeRetainedRate (): number {
    return Math.max(0, this.#staticRate - this.#computeLentRate())
  }
}
