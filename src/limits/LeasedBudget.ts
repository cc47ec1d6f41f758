import type { Budget } from './Budget.js'
import { DemandMeter } from './DemandMeter.js'
import { computeStaticFraction } from './computeStaticFraction.js'
import { TokenBucket } from './TokenBucket.js'

const DEMAND_HEADROOM_FACTOR = 1.5
const MINIMUM_RETAINED_FRACTION = 0.1

interface Loan {
  amountPerSecond: number
  endsAt: number
}

/**
 * One host's part of a budget: its static share, less what it lends, and a lease on top that ends by the clock.
 * A loan cannot be ended early, as others may spend of it.
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
   * @param budget - the whole budget
   * @param consumerCount - how many hosts have a static share
   */
  constructor (budget: Budget, consumerCount: number) {
    this.#consumerCount = consumerCount
    this.#tokenBucket = new TokenBucket(budget.unit)
    this.resize(budget)
    this.#tokenBucket.fill()
  }

  /** Follows a changed budget. */
  resize (budget: Budget): void {
    this.#removeEnded()
    this.#staticRate = budget.amountPerSecond * computeStaticFraction(this.#consumerCount) / this.#consumerCount
    this.#leaseRate = Math.min(this.#leaseRate, budget.amountPerSecond - this.#staticRate)
    this.#updateBucketRate()
  }

  /** @returns amount per second that this host may spend now */
  get rate (): number {
    this.#removeEnded()
    return this.#tokenBucket.rate
  }

  /** @returns amount per second of the lease, 0 when none runs */
  get heldPerSecond (): number {
    this.#removeEnded()
    return this.#leaseRate
  }

  /** @returns amount per second that the host would spend above what it has of its static share */
  get wantedPerSecond (): number {
    this.#removeEnded()
    return Math.max(0, this.#demandMeter.readPerSecond() * DEMAND_HEADROOM_FACTOR - this.#computeRetainedRate())
  }

  /**
   * What is lent already stays lent: the host cannot spend of it anyway, and may get it back as a lease.
   *
   * @returns amount per second of the static share to lend
   */
  get sparePerSecond (): number {
    if (this.#consumerCount === 1) return 0
    this.#removeEnded()
    const retainedPerSecond = Math.max(this.#demandMeter.readPerSecond() * DEMAND_HEADROOM_FACTOR, this.#staticRate * MINIMUM_RETAINED_FRACTION)
    return Math.min(this.#staticRate, Math.max(this.#computeLentRate(), this.#staticRate - retainedPerSecond))
  }

  /** Lends a part of the static share until a time; earlier loans go on. */
  lend (amountPerSecond: number, endsAt: number): void {
    this.#removeEnded()
    const otherLoans = this.#loans.filter((loan) => loan.endsAt > endsAt || loan.amountPerSecond > amountPerSecond)
    this.#loans = [...otherLoans, { amountPerSecond, endsAt }]
    this.#updateBucketRate()
  }

  /** Counts an amount that was asked for and refused before it came to be spent. */
  recordDemand (amount: number): void {
    this.#demandMeter.add(amount)
  }

  /** Replaces the lease. */
  applyLease (amountPerSecond: number, endsAt: number): void {
    this.#removeEnded()
    this.#leaseRate = endsAt > performance.now() ? amountPerSecond : 0
    this.#leaseEndsAt = endsAt
    this.#updateBucketRate()
  }

  /**
   * @param amount - what to spend
   * @returns whether it may be spent; it then counts as spent
   */
  trySpend (amount: number): boolean {
    this.#demandMeter.add(amount)
    this.#removeEnded()
    if (!this.#tokenBucket.canSpend(amount)) return false
    this.#tokenBucket.spend(amount)
    return true
  }

  /** A lease that has ended counts from its end on; a loan that has ended only from now on. */
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
