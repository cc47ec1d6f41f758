import { retryCounter } from '../observe/declareCounters.js'
import { AdmissionResult } from '../placement/AdmissionQueue.js'
import { pickTarget } from '../plan/pickTarget.js'
import { fingerprintRequest } from '../relay/fingerprintRequest.js'
import { refuse } from '../relay/refuse.js'
import type { RelayAnswer } from '../relay/RelayAnswer.js'
import { RefusalReason } from '../types/RefusalReason.js'
import { RequestClass } from '../types/RequestClass.js'
import { once } from '../utils/once.js'
import { createAdmissionRequest } from './createAdmissionRequest.js'
import type { EntryRelayOptions } from './EntryRelayOptions.js'
import type { EntryRequest } from './EntryRequest.js'
import { finishUnanswered } from './finishUnanswered.js'
import { recordAnswer } from './recordAnswer.js'
import { refuseOverQuota } from './refuseOverQuota.js'
import { RequestProgress } from './RequestProgress.js'
import { RetryShares } from './RetryShares.js'
import { SecondAttempts } from './SecondAttempts.js'
import { UpstreamAttempts } from './UpstreamAttempts.js'
import { UpstreamChoice } from './UpstreamChoice.js'

/** Maximum number of failed attempts to connect for one request: they send nothing, but take time. */
const MAXIMUM_FAILED_CONNECTS = 3
/** Minimum time left for another attempt: an upstream could not answer within less. */
const MINIMUM_ATTEMPT_MILLISECONDS = 50

/** Sends guests' requests directly from the entry host to upstreams, and retries them where that is allowed. */
export class EntryRelay {
  readonly #options: EntryRelayOptions
  readonly #choice: UpstreamChoice
  readonly #retryShares: RetryShares
  readonly #secondAttempts: SecondAttempts

  /** @param options - known state, connections and protocol */
  constructor (options: EntryRelayOptions) {
    this.#options = options
    this.#choice = new UpstreamChoice(options)
    this.#retryShares = new RetryShares(options.retryBound)
    this.#secondAttempts = new SecondAttempts(options, { choice: this.#choice, attempts: new UpstreamAttempts(options, this.#choice), retryShares: this.#retryShares })
  }

  /**
   * Sends a request to upstreams until one has answered it or no further attempt is allowed.
   *
   * @param request - the guest's request
   * @returns the upstream's answer, or a refusal that states whether the request may have run
   */
  async serve (request: EntryRequest): Promise<RelayAnswer> {
    const { route } = request
    const service = pickTarget(route.targets, this.#options.random())
    const progress = new RequestProgress(service, fingerprintRequest({ scope: route.host, method: request.method, path: request.path, body: request.body }))
    const answer = await this.#serveWithinQuota(request, progress)
    recordAnswer(this.#options, request, progress, answer)
    return answer
  }

  /** Requests of accounts without a limit, and of none, are not delayed by any call. */
  async #serveWithinQuota (request: EntryRequest, progress: RequestProgress): Promise<RelayAnswer> {
    const account = request.access?.account
    if (account === undefined || account.requestsPerSecond <= 0) return await this.#admit(request, progress)
    const quotaAnswer = await this.#options.quota.take(account, request.cancelled)
    progress.quotaMilliseconds = Math.round(performance.now() - request.arrivedAt - request.readMilliseconds)
    if (!quotaAnswer.isGranted) return refuseOverQuota(quotaAnswer, request.cancelled)
    try {
      return await this.#admit(request, progress)
    } finally {
      if (progress.hasReachedNone) quotaAnswer.refund()
    }
  }

  async #admit (request: EntryRequest, progress: RequestProgress): Promise<RelayAnswer> {
    // Requests over a quota are no demand, and allow no retries.
    this.#retryShares.get(progress.service).recordRequest(performance.now())
    this.#secondAttempts.recordRequest(request)
    const queue = this.#options.admission.recordArrival(progress.service)
    const admissionResult = await queue.enter(createAdmissionRequest(request, queue.meanHoldMilliseconds, this.#options.stopWindow), request.cancelled)
    const admittedAt = performance.now()
    progress.waitedMilliseconds = Math.round(admittedAt - request.arrivedAt)
    if (admissionResult === AdmissionResult.Cancelled) return refuse(RefusalReason.Cancelled)
    if (admissionResult === AdmissionResult.TooLate) return refuse(RefusalReason.QueueFull)
    if (admissionResult === AdmissionResult.Stopping) return refuse(RefusalReason.Stopping)
    progress.onArrived = once(() => { queue.leave(performance.now() - admittedAt) })
    try {
      return await this.#sendUntilAnswered(request, progress)
    } finally {
      progress.onArrived()
    }
  }

  async #sendUntilAnswered (request: EntryRequest, progress: RequestProgress): Promise<RelayAnswer> {
    for (;;) {
      const leaveGate = await this.#options.gate.enter({ fingerprint: progress.fingerprint, deadline: request.deadline, cancelled: request.cancelled })
      if (typeof leaveGate !== 'function') return finishUnanswered(progress, leaveGate)
      const chosen = this.#choice.choose(request, progress)
      if (typeof chosen === 'string') {
        leaveGate()
        return finishUnanswered(progress, chosen)
      }
      const answer = await this.#secondAttempts.run({ request, progress, chosen, onSettled: leaveGate })
      if (answer !== undefined) return answer
      if (!this.#canRetry(request, progress)) return finishUnanswered(progress, progress.reason)
      this.#options.counters.increment(retryCounter(progress.retryReason))
    }
  }

  #canRetry ({ route, deadline, cancelled }: EntryRequest, progress: RequestProgress): boolean {
    const now = performance.now()
    if (cancelled.aborted || deadline - now < MINIMUM_ATTEMPT_MILLISECONDS) return false
    if (progress.mayHaveRun && route.requestClass !== RequestClass.Idempotent) return false
    if (progress.sendCount >= route.mostAttempts || progress.failedConnectCount >= MAXIMUM_FAILED_CONNECTS) return false
    if (progress.sendCount === 0) return true
    return this.#retryShares.get(progress.service).trySpend(now, this.#options.known.entryHosts)
  }
}
