import { ExchangeError, ExchangeFailure } from '../errors/ExchangeError.js'
import type { Counters } from '../observe/Counters.js'
import { retryCounter } from '../observe/declareCounters.js'
import { reportRepeatedAnswer } from '../observe/reportRepeatedAnswer.js'
import type { Log } from '../observe/Log.js'
import { Outcome } from '../types/Outcome.js'
import { RefusalReason } from '../types/RefusalReason.js'
import { RetryReason } from '../types/RetryReason.js'
import { Step } from '../types/Step.js'
import { once } from '../utils/once.js'
import { createEndConfirmation } from './createEndConfirmation.js'
import { createUpstreamRequest } from './createUpstreamRequest.js'
import { parseRetryAfter } from './parseRetryAfter.js'
import { exchange, type AnswerLimits, type ExchangeAnswer, type ExchangeRequest } from './exchange.js'
import { answerFailedExchange } from './answerFailedExchange.js'
import { findEchoedRequest, isAnswerOfAnother } from './isAnswerOfAnother.js'
import { isShed } from './isShed.js'
import type { PoisonGuard, PoisonRecord } from './PoisonGuard.js'
import type { PoolRegistry } from './PoolRegistry.js'
import { answerUnknown, refuse } from './refuse.js'
import type { RelayAnswer } from './RelayAnswer.js'
import type { RelayedRequest } from './RelayedRequest.js'
import type { RetryBudget } from './RetryBudget.js'
import { RunGate } from './RunGate.js'
import type { Upstream } from './Upstream.js'
import type { UpstreamPool } from './UpstreamPool.js'

const AVOID_UNREACHABLE_MILLISECONDS = 500
const AVOID_SHEDDING_MILLISECONDS = 100
const CANCELLATION_GRACE_MILLISECONDS = 100
const MAXIMUM_ATTEMPTS = 3

/** Dependencies of an {@link Owner}. */
export interface OwnerOptions extends AnswerLimits {
  pools: PoolRegistry
  poison: PoisonGuard
  retryBudget: (service: string) => RetryBudget
  /** Called when a connection broke with a request in flight; resolves once it is known whether the upstream died. */
  onBroken: (upstream: Upstream, fingerprint: string) => Promise<void>
  /** Finds out, from after the call on, whether an upstream has not ended. */
  isAlive: (upstream: Upstream) => Promise<boolean>
  /** Waits for the permit to run a suspect; resolves with a function that returns the permit, or with the reason for the refusal. */
  beginSuspect: (request: RelayedRequest) => Promise<(() => void) | RefusalReason>
  /** Called when a suspect has run to completion. */
  onCleared: (record: PoisonRecord) => void
  counters: Counters
  log: Log
}

/** Sends requests to the upstreams whose grants this host holds, one request per slot. */
export class Owner {
  readonly #options: OwnerOptions
  readonly #gate: RunGate

  /** @param options - pools, poison guard, retry budgets and callbacks */
  constructor (options: OwnerOptions) {
    this.#options = options
    this.#gate = new RunGate(options.poison)
  }

  /**
   * Runs a request on an upstream of this host's pool.
   *
   * @param request - the request to run
   * @returns the upstream's answer or a refusal, with a report on the pool
   */
  async serve (request: RelayedRequest): Promise<RelayAnswer> {
    const pool = this.#options.pools.find(request.service)
    if (pool === undefined) return refuse(RefusalReason.NoUpstream)
    const arrivedAt = performance.now()
    const answer = await this.#serveWithRetries(pool, request)
    const { freeSlots, slots } = pool.summarize()
    return { ...answer, pool: { freeSlots, slots, heldMilliseconds: performance.now() - arrivedAt, ...answer.run } }
  }

  async #serveWithRetries (pool: UpstreamPool, request: RelayedRequest): Promise<RelayAnswer> {
    let answer = refuse(RefusalReason.NoUpstream)
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      answer = await this.#runGated(pool, request)
      const retryReason = this.#findRetryReason(answer)
      if (retryReason === undefined || !this.#options.retryBudget(request.service).trySpend()) return answer
      this.#options.counters.increment(retryCounter(retryReason))
    }
    return answer
  }

  #findRetryReason (answer: RelayAnswer): RetryReason | undefined {
    if (answer.reason === RefusalReason.UpstreamUnreachable) return RetryReason.UpstreamUnreachable
    if (answer.reason === RefusalReason.Shed) return RetryReason.Shed
    return undefined
  }

  async #runGated (pool: UpstreamPool, request: RelayedRequest): Promise<RelayAnswer> {
    const leaveGate = await this.#gate.enter(request)
    if (typeof leaveGate === 'string') return refuse(leaveGate)
    try {
      return await this.#checkAndDispatch(pool, request)
    } finally {
      leaveGate()
    }
  }

  async #checkAndDispatch (pool: UpstreamPool, request: RelayedRequest): Promise<RelayAnswer> {
    const { poison, beginSuspect } = this.#options
    if (poison.isPoison(request.fingerprint)) return refuse(RefusalReason.Poison)
    if (!poison.isSuspect(request.fingerprint)) return await this.#dispatch(pool, request, false)
    const returnPermit = await beginSuspect(request)
    if (typeof returnPermit === 'string') return refuse(returnPermit)
    try {
      return await this.#dispatch(pool, request, true)
    } finally {
      returnPermit()
    }
  }

  async #dispatch (pool: UpstreamPool, request: RelayedRequest, isSuspect: boolean): Promise<RelayAnswer> {
    const upstream = await pool.acquire({ deadline: request.deadline, isSuspect, mayWait: request.mayWait, cancelled: request.cancelled })
    if (typeof upstream === 'string') return refuse(upstream)
    if (this.#isBlamedWhileWaiting(request, isSuspect)) {
      pool.release(upstream, isSuspect, undefined)
      return await this.#checkAndDispatch(pool, request)
    }
    return await this.#run(pool, upstream, request, isSuspect)
  }

  /** While the request waited for a slot, a copy of it may have killed another upstream. */
  #isBlamedWhileWaiting ({ fingerprint }: RelayedRequest, isSuspect: boolean): boolean {
    const { poison } = this.#options
    return isSuspect ? poison.isPoison(fingerprint) : poison.isSuspect(fingerprint)
  }

  async #run (pool: UpstreamPool, upstream: Upstream, request: RelayedRequest, isSuspect: boolean): Promise<RelayAnswer> {
    const startedAt = performance.now()
    upstream.lastStartedAt = startedAt
    upstream.inFlight.add(request)
    const release = once((runMilliseconds: number | undefined) => { pool.release(upstream, isSuspect, runMilliseconds) })
    // While the end of an answer is confirmed the upstream may run another request, but no second suspect.
    const onArrived = (): void => { if (!isSuspect) release(performance.now() - startedAt) }
    try {
      const answer = await exchange(upstream.connections, this.#createRequest(request, upstream, onArrived))
      const relayAnswer = this.#interpret(answer, upstream, request, performance.now() - startedAt)
      this.#releaseAfter(answer.finished, upstream, request, () => { release(performance.now() - startedAt) })
      return relayAnswer
    } catch (error) {
      if (!(error instanceof ExchangeError)) throw error
      return await this.#handleFailure(error, upstream, request, () => { release(undefined) })
    }
  }

  #createRequest (request: RelayedRequest, upstream: Upstream, onArrived: () => void): ExchangeRequest {
    const { isAlive, counters, log } = this.#options
    const { id } = request
    const peer = upstream.address
    return {
      ...createUpstreamRequest(request, upstream, this.#options, (found) => { reportRepeatedAnswer(this.#options, { peer, request: id, found }) }),
      confirmEnd: createEndConfirmation({ id, peer, onArrived, isAlive: () => isAlive(upstream), counters, log })
    }
  }

  #releaseAfter (finished: Promise<unknown>, upstream: Upstream, request: RelayedRequest, release: () => void): void {
    finished.then(() => {
      upstream.inFlight.delete(request)
      upstream.lastEndedAt = performance.now()
      release()
    }, () => {})
  }

  #interpret (answer: ExchangeAnswer, upstream: Upstream, request: RelayedRequest, runMilliseconds: number): RelayAnswer {
    if (isShed(answer)) {
      upstream.avoid(Math.max(AVOID_SHEDDING_MILLISECONDS, findPause(answer)))
      return refuse(RefusalReason.Shed)
    }
    if (isAnswerOfAnother(request, upstream, answer)) {
      this.#options.log.error('answer-of-another-request', { step: Step.Answer, peer: upstream.address, request: request.id, echoed: findEchoedRequest(answer) })
      return answerUnknown(RefusalReason.AnswerLost)
    }
    this.#recordSuccess(request)
    // Before its slot is free, so that a request that waits sees how this one ended.
    answer.finished.then((failure) => { upstream.failures.recordEnd(failure, performance.now()) }, () => {})
    return { outcome: Outcome.Ran, reason: undefined, status: answer.status, headers: answer.headers, body: answer.body, endsWithConnection: answer.endsWithConnection, run: { runMilliseconds }, pool: undefined }
  }

  #recordSuccess ({ fingerprint }: RelayedRequest): void {
    const { poison, onCleared } = this.#options
    const record = poison.describe(fingerprint)
    poison.recordSuccess(fingerprint)
    if (record.lostUpstreams.length > 0) onCleared(record)
  }

  async #handleFailure (error: ExchangeError, upstream: Upstream, request: RelayedRequest, release: () => void): Promise<RelayAnswer> {
    this.#options.log.warn('exchange-failed', { step: error.step, peer: error.peer, request: request.id, failure: error.failure, written: error.written, cause: String(error.cause) })
    if (error.written) upstream.failures.recordEnd(error.failure, performance.now())
    if (error.failure === ExchangeFailure.Unreachable) upstream.avoid(AVOID_UNREACHABLE_MILLISECONDS)
    if (error.written && error.failure === ExchangeFailure.Broken) await this.#options.onBroken(upstream, request.fingerprint)
    if (error.finished !== undefined) {
      // Its upstream may be at work until the end of an answer that cannot be passed on.
      this.#releaseAfter(error.finished, upstream, request, release)
      return answerFailedExchange(error)
    }
    upstream.inFlight.delete(request)
    const graceMilliseconds = error.written ? CANCELLATION_GRACE_MILLISECONDS : 0
    upstream.lastEndedAt = performance.now()
    setTimeout(release, graceMilliseconds)
    return answerFailedExchange(error)
  }
}

/** @returns the longest pause that an upstream asked for with its refusal, in milliseconds; 0 when it asked for none that is readable */
function findPause ({ headers }: ExchangeAnswer): number {
  return Math.max(0, ...headers.filter(({ name }) => name === 'retry-after').map(({ value }) => parseRetryAfter(value) ?? 0))
}
