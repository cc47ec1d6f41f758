import { createHash } from 'node:crypto'
import type { Counters } from '../observe/Counters.js'
import type { Log } from '../observe/Log.js'
import { Step } from '../types/Step.js'
import { ClaimResult, type ClaimAnswer, type ClaimLedger, type StoredAnswer } from './ClaimLedger.js'
import { ClaimSender, type ClaimAttempt } from './ClaimSender.js'
import { ClaimChange, type ClaimParameters } from './LedgerMessages.js'
import { DEFAULT_LEDGER_TIMINGS, type LedgerTimings } from './LedgerTimings.js'
import { createNonce } from './createNonce.js'
import { pauseUnreferenced } from './pauseUnreferenced.js'
import { readTicket, type Ticket } from './Ticket.js'
import { TicketIssuer, type TicketIssuerOptions } from './TicketIssuer.js'

const DIGEST_CHARACTERS = 22
const CLAIM_NUMBER_RADIX = 36

/** Settings and dependencies of {@link QuorumLedger}. */
export interface QuorumLedgerOptions extends TicketIssuerOptions {
  /** Peer address of this host. */
  self: string
  /** Returns random numbers from 0 (inclusive) to 1 (exclusive), for the delays of contended claims. */
  random: () => number
  log: Log
  counters: Counters
  timings?: Partial<LedgerTimings>
}

/** A claim that was granted to this host and has not ended. */
interface LocalClaim {
  parameters: ClaimParameters
  hosts: string[]
}

/** Claims each one-time action at a quorum of the ledger hosts of its key's failure domain. */
export class QuorumLedger implements ClaimLedger {
  readonly #options: QuorumLedgerOptions
  readonly #timings: LedgerTimings
  readonly #sender: ClaimSender
  readonly #issuer: TicketIssuer
  readonly #localClaimsByKey = new Map<string, LocalClaim>()
  readonly #claimPrefix: string
  #claimNumber = 0

  /** @param options - addresses, transport, signature, log, counters and timings */
  constructor (options: QuorumLedgerOptions) {
    this.#options = options
    this.#claimPrefix = createNonce() + '/'
    this.#timings = { ...DEFAULT_LEDGER_TIMINGS, ...options.timings }
    this.#sender = new ClaimSender(options.callPeer, options.counters, this.#timings)
    this.#issuer = new TicketIssuer(options, this.#timings)
    for (const result of Object.values(ClaimResult)) options.counters.declare(`ledger.claim.${result}`)
    for (const reason of ['contended', 'member-restarted', 'update']) options.counters.declare(`ledger.retry.${reason}`)
  }

  /** Starts to check in the background whether the ledger of this failure domain has a quorum. */
  start (): void {
    this.#issuer.start()
  }

  /** Stops the background checks. */
  stop (): void {
    this.#issuer.stop()
  }

  /** Checks once for a quorum; {@link start} does so periodically. */
  async checkQuorum (): Promise<void> {
    await this.#issuer.check()
  }

  ticketPrefix (): string | undefined {
    return this.#issuer.issue()
  }

  async claim (key: string, bodyDigest: string): Promise<ClaimAnswer> {
    const answer = await this.#claimOrRefuse(key, bodyDigest)
    this.#options.counters.increment(`ledger.claim.${answer.result}`)
    return answer
  }

  async complete (key: string, answer: StoredAnswer): Promise<void> {
    await this.#endClaim(key, ClaimChange.Done, answer)
  }

  async markUnknown (key: string): Promise<void> {
    await this.#endClaim(key, ClaimChange.Unknown)
  }

  async release (key: string): Promise<void> {
    await this.#endClaim(key, ClaimChange.Released)
  }

  async #claimOrRefuse (key: string, bodyDigest: string): Promise<ClaimAnswer> {
    const ticket = readTicket(key, this.#options.sign)
    const hosts = ticket === undefined ? [] : this.#options.ledgerHostsOf(ticket.domain)
    if (ticket === undefined || hosts.length === 0) return createRefusal(ClaimResult.InvalidTicket, false)
    if (Date.now() >= ticket.expiresAt) return createRefusal(ClaimResult.Expired, true)
    return await this.#claimWithRetries(key, bodyDigest, ticket, hosts)
  }

  async #claimWithRetries (key: string, bodyDigest: string, ticket: Ticket, hosts: string[]): Promise<ClaimAnswer> {
    const seenRivals = new Set<string>()
    for (let attempt = 1; ; attempt++) {
      const startedAt = performance.now()
      const parameters = this.#createClaim(key, bodyDigest, ticket)
      const { decision, holders } = await this.#sender.claim(hosts, parameters)
      if (decision.result === ClaimResult.Granted) return this.#grant(key, { parameters, hosts }, startedAt)
      const releasing = this.#releaseAttempt(parameters, holders)
      if (decision.result !== undefined) return { ...createRefusal(decision.result, decision.mayHaveRun), answer: decision.answer }
      if (attempt >= this.#timings.claimAttempts) return createRefusal(chooseFinalResult({ decision, holders }, seenRivals), true)
      for (const rival of decision.rivals) seenRivals.add(rival)
      this.#options.counters.increment(decision.rivals.length > 0 ? 'ledger.retry.contended' : 'ledger.retry.member-restarted')
      await releasing
      await pauseUnreferenced(this.#timings.backoffMilliseconds * 2 ** (attempt - 1) * this.#options.random())
    }
  }

  #createClaim (key: string, bodyDigest: string, ticket: Ticket): ClaimParameters {
    this.#claimNumber += 1
    const claim = `${this.#claimPrefix}${this.#claimNumber.toString(CLAIM_NUMBER_RADIX)}`
    const { epoch, expiresAt } = ticket
    return { epoch, key: computeShortDigest(key), claim, bodyDigest: computeShortDigest(bodyDigest), expiresAt, runMilliseconds: this.#timings.runMilliseconds }
  }

  #grant (key: string, localClaim: LocalClaim, startedAt: number): ClaimAnswer {
    this.#localClaimsByKey.set(key, localClaim)
    const isStillValid = (): boolean => this.#localClaimsByKey.get(key) === localClaim && performance.now() - startedAt < this.#timings.dispatchMilliseconds
    return { result: ClaimResult.Granted, mayHaveRun: false, isStillValid }
  }

  async #releaseAttempt (parameters: ClaimParameters, holders: string[]): Promise<void> {
    if (holders.length === 0) return
    await this.#sender.update(holders, { ...parameters, change: ClaimChange.Released }, holders.length)
  }

  async #endClaim (key: string, change: ClaimChange, answer?: StoredAnswer): Promise<void> {
    const localClaim = this.#localClaimsByKey.get(key)
    if (localClaim === undefined) {
      this.#options.log.warn('ledger-claim-not-held', { step: Step.Claim, peer: this.#options.self, change })
      return
    }
    this.#localClaimsByKey.delete(key)
    const requiredCount = change === ClaimChange.Released ? localClaim.hosts.length : undefined
    await this.#sender.update(localClaim.hosts, { ...localClaim.parameters, change, answer }, requiredCount)
  }
}

function computeShortDigest (text: string): string {
  return createHash('sha256').update(text).digest('base64url').slice(0, DIGEST_CHARACTERS)
}

function createRefusal (result: ClaimResult, mayHaveRun: boolean): ClaimAnswer {
  return { result, mayHaveRun, isStillValid: () => false }
}

function chooseFinalResult ({ decision }: ClaimAttempt, seenRivals: Set<string>): ClaimResult {
  if (decision.isOverdue === true) return ClaimResult.Unknown
  return decision.rivals.some((rival) => seenRivals.has(rival)) ? ClaimResult.Running : ClaimResult.Contended
}
