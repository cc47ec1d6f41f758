import type { Counters } from '../observe/Counters.js'
import type { Log } from '../observe/Log.js'
import type { CallPeer } from '../transport/CallPeer.js'
import type { RegisterPeerHandler } from '../transport/PeerHandler.js'
import { PeerMethod } from '../types/PeerMethod.js'
import { Step } from '../types/Step.js'
import { EpochState } from './Epoch.js'
import { EpochManager } from './EpochManager.js'
import { EpochTable } from './EpochTable.js'
import { ClaimVerdict, type ClaimParameters, type ClaimReply, type MemberStatus, type OpenParameters, type OpenReply, type PageParameters, type PageReply, type StatusParameters, type UpdateParameters, type UpdateReply } from './LedgerMessages.js'
import { DEFAULT_LEDGER_LIMITS, type LedgerLimits } from './LedgerLimits.js'
import { DEFAULT_LEDGER_TIMINGS, type LedgerTimings } from './LedgerTimings.js'
import { pauseUnreferenced } from './pauseUnreferenced.js'

const CLOCK_DIFFERENCE_MARGIN_FACTOR = 2
const LEAVING_ROUND_INTERVAL_MILLISECONDS = 100
const INCARNATIONS_PER_MILLISECOND = 1024

/** Settings and dependencies of {@link LedgerMember}. */
export interface LedgerMemberOptions {
  /** Peer address of this host. */
  self: string
  /** Failure domain of this host. */
  domain: string
  /** Peer addresses of the domain's ledger hosts, this one included. */
  hosts: string[]
  callPeer: CallPeer
  registerHandler: RegisterPeerHandler
  /** Returns random numbers from 0 (inclusive) to 1 (exclusive), which distinguish starts in the same millisecond. */
  random: () => number
  log: Log
  counters: Counters
  limits?: LedgerLimits
  timings?: Partial<LedgerTimings>
}

/** Holds the claims of a failure domain in the memory of one ledger host. */
export class LedgerMember {
  readonly #options: LedgerMemberOptions
  readonly #limits: LedgerLimits
  readonly #timings: LedgerTimings
  readonly #epochTable: EpochTable
  readonly #epochManager: EpochManager
  #isRunning = false

  /** @param options - addresses, transport, log, counters, limits and timings */
  constructor (options: LedgerMemberOptions) {
    this.#options = options
    this.#limits = options.limits ?? DEFAULT_LEDGER_LIMITS
    this.#timings = { ...DEFAULT_LEDGER_TIMINGS, ...options.timings }
    const incarnation = Date.now() * INCARNATIONS_PER_MILLISECOND + Math.floor(options.random() * INCARNATIONS_PER_MILLISECOND)
    this.#epochTable = new EpochTable({ address: options.self, incarnation }, this.#limits)
    this.#epochManager = new EpochManager(this.#epochTable, options, this.#timings)
    this.#registerHandlers()
    for (const verdict of Object.values(ClaimVerdict)) options.counters.declare(`ledger.member.${verdict}`)
    for (const event of ['opened', 'recovered', 'sealed']) options.counters.declare(`ledger.epoch.${event}`)
  }

  /** Starts the background work: recovers, opens and seals epochs. */
  start (): void {
    if (this.#isRunning) return
    this.#isRunning = true
    this.#run()
  }

  /** Stops the background work. Calls of peers are still answered. */
  stop (): void {
    this.#isRunning = false
  }

  /**
   * Prepares a planned stop. An epoch that would lose its quorum is sealed, its claims are copied to the hosts that
   * stay, and these open a new epoch; an epoch that keeps its quorum goes on without this member.
   *
   * @param timeoutMilliseconds - maximum time for the preparation
   * @returns whether every claim that this member holds is safe with the hosts that stay
   */
  async leave (timeoutMilliseconds: number): Promise<boolean> {
    const deadline = performance.now() + timeoutMilliseconds
    this.stop()
    await this.runRound()
    while (!this.#epochManager.canLeave() && performance.now() < deadline) {
      this.#epochTable.isLeaving = true
      await pauseUnreferenced(LEAVING_ROUND_INTERVAL_MILLISECONDS)
      await this.runRound()
    }
    return this.#epochManager.canLeave()
  }

  /** @returns the member's incarnation, and its state in each epoch */
  status (): MemberStatus {
    return this.#epochTable.status()
  }

  /**
   * Does one round of the background work.
   *
   * @returns whether nothing is left to do
   */
  async runRound (): Promise<boolean> {
    const isSettled = await this.#epochManager.runRound()
    this.#removeExpired()
    this.#options.counters.gauge('ledger.member.records', this.#epochTable.usage.records)
    this.#options.counters.gauge('ledger.member.answer-bytes', this.#epochTable.usage.answerBytes)
    return isSettled
  }

  async #run (): Promise<void> {
    while (this.#isRunning) {
      let isSettled = false
      try {
        isSettled = await this.runRound()
      } catch (error) {
        this.#options.log.error('ledger-round-failed', { step: Step.Claim, peer: this.#options.self, cause: String(error) })
      }
      await pauseUnreferenced(isSettled ? this.#timings.settledRoundMilliseconds : this.#timings.roundMilliseconds)
    }
  }

  #registerHandlers (): void {
    const register = this.#options.registerHandler
    register<ClaimParameters, ClaimReply>(PeerMethod.LedgerClaim, (parameters) => this.#claim(parameters))
    register<UpdateParameters, UpdateReply>(PeerMethod.LedgerUpdate, (parameters) => ({ stored: this.#epochTable.find(parameters.epoch)?.update(parameters) ?? false }))
    register<StatusParameters, MemberStatus>(PeerMethod.LedgerRead, () => this.status())
    register<PageParameters, PageReply>(PeerMethod.LedgerRecover, (parameters) => this.#readPage(parameters))
    register<PageParameters, PageReply>(PeerMethod.LedgerSeal, (parameters) => this.#seal(parameters))
    register<OpenParameters, OpenReply>(PeerMethod.LedgerOpen, ({ epoch }) => ({ opened: this.#epochTable.open(epoch) }))
  }

  #claim (parameters: ClaimParameters): ClaimReply {
    const ledgerEpoch = this.#epochTable.find(parameters.epoch)
    const reply = ledgerEpoch?.claim(parameters, Date.now()) ??
      { verdict: ClaimVerdict.NoEpoch, member: this.#options.self, incarnations: [], claims: [] }
    this.#options.counters.increment(`ledger.member.${reply.verdict}`)
    return reply
  }

  #readPage (parameters: PageParameters): PageReply {
    const ledgerEpoch = this.#epochTable.find(parameters.epoch)
    return ledgerEpoch?.readPage(parameters) ?? { member: this.#epochTable.self, incarnations: [], records: [], more: false }
  }

  #seal (parameters: PageParameters): PageReply {
    const ledgerEpoch = this.#epochTable.find(parameters.epoch)
    if (ledgerEpoch?.state === EpochState.Active) ledgerEpoch.changeState(EpochState.Sealing)
    return this.#readPage(parameters)
  }

  #removeExpired (): void {
    const marginMilliseconds = CLOCK_DIFFERENCE_MARGIN_FACTOR * this.#limits.clockDifferenceMilliseconds
    const ticketLifetimeMilliseconds = this.#timings.ticketMilliseconds + this.#timings.ticketCheckMilliseconds
    this.#epochTable.removeExpired(Date.now() - marginMilliseconds, performance.now() - marginMilliseconds - ticketLifetimeMilliseconds)
  }
}
