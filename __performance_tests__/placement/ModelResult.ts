/** Credit and counts of the requests of one simulated day. */
export class ModelResult {
  readonly #owedBySecond: number[] = []
  readonly #earnedBySecond: number[] = []
  readonly #owedByDomain: number[] = []
  readonly #earnedByDomain: number[] = []
  #requests = 0
  #served = 0
  #refused = 0
  #warmRuns = 0
  #runs = 0
  #otherRegionRuns = 0

  recordArrival (sentAt: number, worth: number, domain: number): void {
    this.#requests += 1
    addAt(this.#owedBySecond, sentAt / 1_000, worth)
    addAt(this.#owedByDomain, domain, worth)
  }

  recordServed (sentAt: number, earnedCredit: number, domain: number): void {
    this.#served += 1
    addAt(this.#earnedBySecond, sentAt / 1_000, earnedCredit)
    addAt(this.#earnedByDomain, domain, earnedCredit)
  }

  recordRefusal (): void {
    this.#refused += 1
  }

  recordRun (wasWarm: boolean, isInOtherRegion: boolean): void {
    this.#runs += 1
    if (isInOtherRegion) this.#otherRegionRuns += 1
    if (wasWarm) this.#warmRuns += 1
  }

  /** Earned credit, as a fraction of the owed credit. */
  get creditRatio (): number {
    return sum(this.#earnedBySecond) / sum(this.#owedBySecond)
  }

  /** Fraction of the requests that were served. */
  get servedRatio (): number {
    return this.#served / this.#requests
  }

  /** Refusals per request; a retried request can be refused more than once. */
  get refusedRatio (): number {
    return this.#refused / this.#requests
  }

  /** Fraction of the runs on a remembered object. */
  get warmRatio (): number {
    return this.#warmRuns / this.#runs
  }

  /** Fraction of the runs in another region than that of the guest. */
  get otherRegionRatio (): number {
    return this.#otherRegionRuns / this.#runs
  }

  /** Lowest credit ratio of a failure domain. */
  get worstDomainCreditRatio (): number {
    return Math.min(...this.#owedByDomain.map((owed, domain) => (this.#earnedByDomain[domain] ?? 0) / owed))
  }

  /** @returns credit ratio of the requests first sent in each second */
  listCreditRatiosBySecond (): number[] {
    return this.#owedBySecond.map((owed, second) => (this.#earnedBySecond[second] ?? 0) / owed)
  }
}

function addAt (sums: number[], index: number, amount: number): void {
  const wholeIndex = Math.floor(index)
  sums[wholeIndex] = (sums[wholeIndex] ?? 0) + amount
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
