/** What the guests of a model got. */
export class ModelResult {
  readonly #owed: number[] = []
  readonly #earned: number[] = []
  readonly #owedByDomain: number[] = []
  readonly #earnedByDomain: number[] = []
  #requests = 0
  #served = 0
  #refused = 0
  #warmRuns = 0
  #runs = 0
  #runsElsewhere = 0

  noteOwed (at: number, worth: number, domain: number): void {
    this.#requests += 1
    add(this.#owed, at / 1_000, worth)
    add(this.#owedByDomain, domain, worth)
  }

  noteServed (sentAt: number, credit: number, domain: number): void {
    this.#served += 1
    add(this.#earned, sentAt / 1_000, credit)
    add(this.#earnedByDomain, domain, credit)
  }

  noteRefused (): void {
    this.#refused += 1
  }

  noteRun (wasWarm: boolean, isElsewhere: boolean): void {
    this.#runs += 1
    if (isElsewhere) this.#runsElsewhere += 1
    if (wasWarm) this.#warmRuns += 1
  }

  /** Credit earned of the credit owed. */
  get credit (): number {
    return sum(this.#earned) / sum(this.#owed)
  }

  get served (): number {
    return this.#served / this.#requests
  }

  /** Refusals for each request of a guest. */
  get refused (): number {
    return this.#refused / this.#requests
  }

  get warm (): number {
    return this.#warmRuns / this.#runs
  }

  /** Part of the runs in another region than the guest's. */
  get elsewhere (): number {
    return this.#runsElsewhere / this.#runs
  }

  /** Credit of the failure domain that got least. */
  get worstDomain (): number {
    return Math.min(...this.#owedByDomain.map((owed, domain) => (this.#earnedByDomain[domain] ?? 0) / owed))
  }

  /** @returns credit earned of the credit owed, for each second */
  listSeconds (): number[] {
    return this.#owed.map((owed, second) => (this.#earned[second] ?? 0) / owed)
  }
}

function add (sums: number[], index: number, amount: number): void {
  const whole = Math.floor(index)
  sums[whole] = (sums[whole] ?? 0) + amount
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
