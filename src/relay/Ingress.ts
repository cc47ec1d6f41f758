import { setTimeout as sleep } from 'node:timers/promises'
import type { StopWindow } from '../limits/StopWindow.js'
import type { Counters } from '../observe/Counters.js'
import { outcomeCounter, refusalCounter, RETRY_BUDGET_COUNTER, retryCounter } from '../observe/declareCounters.js'
import type { HostIdentity } from '../types/HostIdentity.js'
import { Outcome } from '../types/Outcome.js'
import { RefusalReason } from '../types/RefusalReason.js'
import { RequestClass } from '../types/RequestClass.js'
import { RetryReason } from '../types/RetryReason.js'
import { waitWithinDeadline } from '../utils/waitWithinDeadline.js'
import { answerClaim } from './answerClaim.js'
import { createFingerprintRandom } from './createFingerprintRandom.js'
import { ClaimResult, type ClaimAnswer, type ClaimLedger } from '../ledger/ClaimLedger.js'
import type { ChooseOwner } from './OwnerChoice.js'
import type { PoisonGuard } from './PoisonGuard.js'
import { answerUnknown, refuse } from './refuse.js'
import type { RelayAnswer } from './RelayAnswer.js'
import type { RelayedRequest } from './RelayedRequest.js'
import type { RetryBudget } from './RetryBudget.js'
import { RunGate } from './RunGate.js'
import { storeAnswer } from './storeAnswer.js'

const MAXIMUM_POOL_WAIT_MILLISECONDS = 3_000
const MAXIMUM_CLAIM_WAIT_MILLISECONDS = 2_000
const CLAIM_RETRY_MILLISECONDS = 50
const POOL_RETRY_MILLISECONDS = 25
const OWNERSHIP_CHANGE_REASONS = [RefusalReason.NoUpstream, RefusalReason.OwnerUnreachable, RefusalReason.UpstreamUnreachable, RefusalReason.LeaseLost]

/** Dependencies of an {@link Ingress}. */
export interface IngressOptions {
  chooseOwner: ChooseOwner
  /** Runs the request on the pool of the local host or of another one. */
  sendToOwner: (host: HostIdentity, request: RelayedRequest) => Promise<RelayAnswer>
  ledger: ClaimLedger
  stopWindow: Pick<StopWindow, 'admits'>
  poison: PoisonGuard
  retryBudget: (service: string) => RetryBudget
  counters: Counters
}

/** Accepts the requests of guests and finds an owner to run each one. */
export class Ingress {
  readonly #options: IngressOptions
  readonly #gate: RunGate

  /** @param options - choice of owners, ledger, poison guard and retry budgets */
  constructor (options: IngressOptions) {
    this.#options = options
    this.#gate = new RunGate(options.poison)
  }

  /**
   * Serves one request.
   *
   * @param request - the guest's request
   * @param guestPlace - place of the guest, if known
   * @returns the upstream's answer, or a refusal with its reason
   */
  async serve (request: RelayedRequest, guestPlace: string | undefined): Promise<RelayAnswer> {
    this.#options.retryBudget(request.service).recordRequest()
    const answer = request.requestClass === RequestClass.OneTime
      ? await this.#serveOneTime(request, guestPlace)
      : await this.#runGated(request, guestPlace)
    this.#options.counters.increment(outcomeCounter(answer.outcome))
    if (answer.reason !== undefined) this.#options.counters.increment(refusalCounter(answer.reason))
    return answer
  }

  async #serveOneTime (request: RelayedRequest, guestPlace: string | undefined): Promise<RelayAnswer> {
    if (request.key === undefined) return refuse(RefusalReason.TicketMissing)
    const claim = await this.#claim(request, request.key)
    const answerWithoutRun = answerClaim(claim)
    if (answerWithoutRun !== undefined) return answerWithoutRun
    const answer = await this.#runClaimed({ ...request, mayStart: () => request.mayStart() && claim.isStillValid() }, request.key, guestPlace)
    return await storeAnswer(this.#options.ledger, request.key, answer, request.deadline)
  }

  /** Retries an undecided claim: a ledger host that restarts or leaves can interrupt the quorum briefly, and claiming again is safe. */
  async #claim (request: RelayedRequest, key: string): Promise<ClaimAnswer> {
    const waitUntil = Math.min(request.deadline, performance.now() + MAXIMUM_CLAIM_WAIT_MILLISECONDS)
    while (true) {
      const claim = await this.#claimOnce(request, key)
      const isRetryable = claim.result === ClaimResult.NoQuorum || claim.result === ClaimResult.Contended
      if (!isRetryable || request.cancelled.aborted || performance.now() + CLAIM_RETRY_MILLISECONDS >= waitUntil) return claim
      this.#options.counters.increment(retryCounter(RetryReason.ClaimNotDecided))
      await sleep(CLAIM_RETRY_MILLISECONDS)
    }
  }

  /** Releases a claim that is granted after the guest's deadline: nothing was sent under it. */
  async #claimOnce (request: RelayedRequest, key: string): Promise<ClaimAnswer> {
    const pendingClaim = this.#options.ledger.claim(key, request.fingerprint)
    const claim = await waitWithinDeadline(pendingClaim, request.deadline)
    if (claim !== undefined) return claim
    pendingClaim.then(async ({ result }) => { if (result === ClaimResult.Granted) await this.#options.ledger.release(key) }).catch(() => {})
    return { result: ClaimResult.NoQuorum, mayHaveRun: true, isStillValid: () => false }
  }

  /** Marks the action as unknown after an unexpected error, so that the claim does not stay open: the action may have run. */
  async #runClaimed (request: RelayedRequest, key: string, guestPlace: string | undefined): Promise<RelayAnswer> {
    try {
      return await this.#runGated(request, guestPlace)
    } catch (error) {
      await this.#options.ledger.markUnknown(key)
      throw error
    }
  }

  async #runGated (request: RelayedRequest, guestPlace: string | undefined): Promise<RelayAnswer> {
    const leaveGate = await this.#gate.enter(request)
    if (typeof leaveGate === 'string') return refuse(leaveGate)
    try {
      return await this.#tryOwners(request, guestPlace)
    } finally {
      leaveGate()
    }
  }

  async #tryOwners (request: RelayedRequest, guestPlace: string | undefined): Promise<RelayAnswer> {
    const waitUntil = Math.min(request.deadline, performance.now() + MAXIMUM_POOL_WAIT_MILLISECONDS)
    const full = new Set<string>()
    const excluded = new Set<string>()
    const random = this.#options.poison.isProven(request.fingerprint) ? undefined : createFingerprintRandom(request.fingerprint)
    let mayHaveRun = false
    let answer = refuse(RefusalReason.NoUpstream)
    while (true) {
      const refusal = this.#findEarlyRefusal(request)
      if (refusal !== undefined) return accountForEarlierAttempts(refuse(refusal), mayHaveRun)
      const choice = this.#options.chooseOwner({ service: request.service, guestPlace, full, excluded, random })
      if (choice === undefined && !(isOwnershipChanging(answer) && performance.now() < waitUntil)) return accountForEarlierAttempts(answer, mayHaveRun)
      if (choice === undefined) {
        await sleep(POOL_RETRY_MILLISECONDS)
        excluded.clear()
        continue
      }
      answer = await this.#options.sendToOwner(choice.host, { ...request, mayWait: choice.mayWait })
      choice.settle(answer.pool)
      if (answer.outcome === Outcome.Ran) this.#options.poison.recordSuccess(request.fingerprint)
      if (!this.#admitRetry(request, answer)) return accountForEarlierAttempts(answer, mayHaveRun)
      mayHaveRun ||= answer.outcome === Outcome.Unknown
      const skippedHosts = isPoolFull(answer) && !choice.mayWait ? full : excluded
      skippedHosts.add(choice.host.name)
    }
  }

  #findEarlyRefusal (request: RelayedRequest): RefusalReason | undefined {
    if (request.cancelled.aborted) return RefusalReason.Cancelled
    if (performance.now() >= request.deadline) return RefusalReason.DeadlinePassed
    if (this.#options.poison.isPoison(request.fingerprint)) return RefusalReason.Poison
    if (!this.#options.stopWindow.admits(request.deadline)) return RefusalReason.Stopping
    if (!request.mayStart()) return RefusalReason.LeaseLost
    return undefined
  }

  #admitRetry (request: RelayedRequest, answer: RelayAnswer): boolean {
    if (answer.outcome === Outcome.Ran) return false
    if (answer.outcome === Outcome.NotRun) return this.#admitNotRunRetry(answer)
    if (request.requestClass === RequestClass.OneTime || answer.reason !== RefusalReason.AnswerLost) return false
    if (answer.retryTaken !== true && !this.#options.retryBudget(request.service).trySpend()) {
      this.#options.counters.increment(RETRY_BUDGET_COUNTER)
      return false
    }
    this.#options.counters.increment(retryCounter(RetryReason.AnswerLost))
    return true
  }

  #admitNotRunRetry (answer: RelayAnswer): boolean {
    const finalReasons = [RefusalReason.Poison, RefusalReason.Cancelled, RefusalReason.DeadlinePassed]
    if (answer.reason === undefined || finalReasons.includes(answer.reason)) return false
    const isUnreachable = answer.reason === RefusalReason.OwnerUnreachable
    this.#options.counters.increment(retryCounter(isUnreachable ? RetryReason.OwnerUnreachable : RetryReason.Refused))
    return true
  }
}

/** Reports the outcome as unknown if an earlier attempt may have run, even though the last one did not run. */
function accountForEarlierAttempts (answer: RelayAnswer, mayHaveRun: boolean): RelayAnswer {
  if (!mayHaveRun || answer.outcome !== Outcome.NotRun || answer.reason === undefined) return answer
  return answerUnknown(answer.reason)
}

/** The pools are moving to other owners, or this host does not know them yet; waiting helps, unlike with full pools. */
function isOwnershipChanging (answer: RelayAnswer): boolean {
  return answer.reason !== undefined && OWNERSHIP_CHANGE_REASONS.includes(answer.reason)
}

function isPoolFull (answer: RelayAnswer): boolean {
  return answer.reason === RefusalReason.QueueFull || answer.reason === RefusalReason.PlaceCap
}
