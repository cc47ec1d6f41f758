import { BudgetLeases } from '../../src/limits/BudgetLeases.js'
import type { LeaseScope } from '../../src/limits/LeaseScope.js'
import { pause } from '../../src/utils/pause.js'
import { Counters } from '../../src/observe/Counters.js'
import type { Member } from '../../src/types/Member.js'
import { MemberState } from '../../src/types/MemberState.js'
import { MemoryNetwork } from '../membership/MemoryNetwork.js'

const SPEND_ATTEMPTS = 25
const SPEND_ROUNDS_AFTER_STALL = 6

interface Spend {
  spentAt: number
  amount: number
}

/** Hosts that share one budget over a {@link MemoryNetwork}. The test sets which other hosts each of them sees. */
export class StandInConsumers {
  readonly network = new MemoryNetwork()
  readonly counters = new Counters()
  readonly leasesByHost = new Map<string, BudgetLeases>()
  readonly #scope: LeaseScope
  readonly #amountPerSecond: number
  readonly #catchUpSeconds: number
  readonly #visibleNamesByViewer = new Map<string, Set<string>>()
  readonly #stalledNames = new Set<string>()
  readonly #spends: Spend[] = []

  constructor (scope: LeaseScope, amountPerSecond: number, catchUpSeconds = 0) {
    this.#scope = scope
    this.#amountPerSecond = amountPerSecond
    this.#catchUpSeconds = catchUpSeconds
    this.start(scope.voters)
  }

  get names (): readonly string[] {
    return this.#scope.consumers
  }

  start (names: readonly string[]): void {
    for (const name of names) {
      this.#stalledNames.delete(name)
      this.network.resume(name)
      const leases = new BudgetLeases({
        self: name,
        scopes: [this.#scope],
        members: () => this.#listMembers(name),
        callPeer: this.network.callPeer(name),
        registerHandler: this.network.registerHandler(name),
        log: { info: () => {}, warn: () => {}, error: () => {} },
        counters: this.counters,
        pause: async (milliseconds, signal) => {
          await pause(milliseconds, signal)
          await this.network.waitWhileStalled(name)
        }
      })
      leases.setBudgets(this.#scope.name, [{ name: 'budget', amountPerSecond: this.#amountPerSecond, unit: 1, catchUpSeconds: this.#catchUpSeconds }])
      this.leasesByHost.set(name, leases)
      leases.start()
    }
  }

  kill (name: string): void {
    this.network.kill(name)
    this.leasesByHost.get(name)?.stop()
    this.leasesByHost.delete(name)
  }

  stop (): void {
    for (const leases of this.leasesByHost.values()) leases.stop()
  }

  stall (name: string): void {
    this.#stalledNames.add(name)
    this.network.stall(name)
  }

  /** Resumes a stalled host. It spends before any other task runs, to detect spending from leases that ended meanwhile. */
  resume (name: string): void {
    this.#stalledNames.delete(name)
    for (let round = 0; round < SPEND_ROUNDS_AFTER_STALL; round++) this.spend([name])
    this.network.resume(name)
  }

  /** Sets which hosts the viewers see alive; each host always sees itself alive. */
  setView (viewers: readonly string[], visibleNames: readonly string[]): void {
    for (const viewer of viewers) this.#visibleNamesByViewer.set(viewer, new Set(visibleNames))
  }

  listHolders (): string[] {
    return this.names.filter((name) => this.leasesByHost.get(name)?.holder(this.#scope.name) === name)
  }

  listRates (): number[] {
    return this.names.map((name) => Math.round(this.leasesByHost.get(name)?.rate(this.#scope.name, 'budget') ?? 0))
  }

  /** Makes each host attempt to spend single units, many times. */
  spend (names = this.names): void {
    for (const name of names) {
      const leases = this.leasesByHost.get(name)
      if (leases === undefined || this.#stalledNames.has(name)) continue
      for (let attempt = 0; attempt < SPEND_ATTEMPTS; attempt++) {
        if (leases.trySpend(this.#scope.name, 'budget', 1)) this.#spends.push({ spentAt: performance.now(), amount: 1 })
      }
    }
  }

  /** @returns the maximum amount spent within any second */
  findMaximumPerSecond (): number {
    let maximum = 0
    let sum = 0
    let oldestIndex = 0
    for (const spend of this.#spends) {
      sum += spend.amount
      while (this.#spends[oldestIndex]!.spentAt <= spend.spentAt - 1000) sum -= this.#spends[oldestIndex++]!.amount
      maximum = Math.max(maximum, sum)
    }
    return maximum
  }

  /** @returns the amount spent since a time on the paused clock */
  sumSpentSince (since: number): number {
    return this.#spends.filter((spend) => spend.spentAt >= since).reduce((sum, spend) => sum + spend.amount, 0)
  }

  #listMembers (viewer: string): Member[] {
    const visibleNames = this.#visibleNamesByViewer.get(viewer)
    return this.#scope.voters.filter((name) => this.leasesByHost.has(name)).map((name) => ({
      host: { name, domain: 'gijon', region: 'asturias', peerAddress: name, guestAddress: name },
      state: visibleNames === undefined || visibleNames.has(name) || name === viewer ? MemberState.Alive : MemberState.Dead,
      incarnation: 1,
      version: 1,
      details: { draining: false, sheetNumber: 1, pools: [] }
    }))
  }
}
