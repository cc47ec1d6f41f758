import { errorTexts } from '../errors/errorTexts.js'
import { ExchangeError, ExchangeFailure } from '../errors/ExchangeError.js'
import { retryCounter } from '../observe/declareCounters.js'
import { AdmissionResult } from '../placement/AdmissionQueue.js'
import { choosePlacement } from '../placement/choosePlacement.js'
import { ColdShare } from '../placement/ColdShare.js'
import { RetryShare } from '../placement/RetryShare.js'
import { pickTarget } from '../plan/pickTarget.js'
import type { UpstreamRecord } from '../registry/UpstreamRecord.js'
import { discardAnswer } from '../relay/discardAnswer.js'
import { answerFailedExchange } from '../relay/answerFailedExchange.js'
import { fingerprintRequest } from '../relay/fingerprintRequest.js'
import { answerUnknown, refuse } from '../relay/refuse.js'
import type { RelayAnswer } from '../relay/RelayAnswer.js'
import { Outcome } from '../types/Outcome.js'
import { RefusalReason } from '../types/RefusalReason.js'
import { RequestClass } from '../types/RequestClass.js'
import { RetryReason } from '../types/RetryReason.js'
import { once } from '../utils/once.js'
import { combineHomeRegions } from './combineHomeRegions.js'
import { createAdmissionRequest } from './createAdmissionRequest.js'
import type { EntryRelayOptions } from './EntryRelayOptions.js'
import type { EntryRequest } from './EntryRequest.js'
import { listCandidates, type PlacementCandidate } from './listCandidates.js'
import { recordAnswer } from './recordAnswer.js'
import { refuseOverQuota } from './refuseOverQuota.js'
import { RequestProgress } from './RequestProgress.js'
import { AnswerKind } from './UpstreamProtocol.js'
import type { ClassifiedAnswer } from './UpstreamSender.js'

/** Maximum number of failed attempts to connect for one request: they send nothing, but take time. */
const MAXIMUM_FAILED_CONNECTS = 3
/** Minimum time left for another attempt: an upstream could not answer within less. */
const MINIMUM_ATTEMPT_MILLISECONDS = 50

/** Sends guests' requests directly from the entry host to upstreams, and retries them where that is allowed. */
export class EntryRelay {
  readonly #options: EntryRelayOptions
  readonly #coldShare = new ColdShare()
  readonly #retrySharesByService = new Map<string, RetryShare>()

  /** @param options - known state, connections and protocol */
  constructor (options: EntryRelayOptions) {
    this.#options = options
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
    this.#getRetryShare(progress.service).recordRequest(performance.now())
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
      if (typeof leaveGate !== 'function') return this.#finishUnanswered(progress, leaveGate)
      const chosen = this.#chooseUpstream(request, progress)
      if (typeof chosen === 'string') {
        leaveGate()
        return this.#finishUnanswered(progress, chosen)
      }
      if (chosen.isCold) this.#coldShare.take(chosen.record.id, performance.now())
      const answer = await this.#send(request, progress, chosen.record, leaveGate)
      if (answer !== undefined) return answer
      if (!this.#canRetry(request, progress)) return this.#finishUnanswered(progress, progress.reason)
      this.#options.counters.increment(retryCounter(progress.retryReason))
    }
  }

  /** @returns the upstream for the next attempt, or why there is none */
  #chooseUpstream (request: EntryRequest, progress: RequestProgress): PlacementCandidate | RefusalReason {
    const { known, loads, regionOf, stopWindow } = this.#options
    if (!stopWindow.admits(request.deadline)) return RefusalReason.Stopping
    const candidates = listCandidates(known, loads, {
      service: progress.service,
      placementKey: this.#getPlacementKey(request, progress),
      homeRegions: combineHomeRegions(request.route, request.access?.account),
      region: this.#options.region,
      excludedUpstreams: progress.excludedUpstreams,
      regionOf,
      canUseCold: (record) => this.#canUseCold(record)
    })
    const chosen = choosePlacement(candidates)
    progress.recordPlacement(candidates, chosen)
    return chosen ?? (candidates.length === 0 ? this.#explainAbsence(progress) : RefusalReason.UpstreamsFull)
  }

  /** @returns why no upstream may get the request */
  #explainAbsence (progress: RequestProgress): RefusalReason {
    const { known, loads } = this.#options
    const now = performance.now()
    const firstReturnAt = loads.findFirstReturn(known.listReady(progress.service).map(({ record }) => record), now)
    if (firstReturnAt === undefined) return RefusalReason.NoUpstream
    progress.returnMilliseconds = firstReturnAt - now
    return RefusalReason.UpstreamsPaused
  }

  #canUseCold (record: UpstreamRecord): boolean {
    const { known, hostName } = this.#options
    const requestsPerSecond = known.service(record.service)?.coldRequestsPerSecond ?? 0
    if (requestsPerSecond <= 0) return false
    const query = { upstream: record.id, host: hostName, entryHosts: known.entryHosts, requestsPerSecond }
    return this.#coldShare.mayTake(query, performance.now())
  }

  /** @returns the answer for the guest, undefined when the attempt gave none */
  async #send (request: EntryRequest, progress: RequestProgress, record: UpstreamRecord, onSettled: () => void): Promise<RelayAnswer | undefined> {
    progress.recordAttempt(record.id)
    try {
      const answer = await this.#options.sender.send({ request, fingerprint: progress.fingerprint, record, onSettled, onArrived: progress.onArrived })
      return this.#handleAnswer(request, progress, record, answer)
    } catch (error) {
      if (!(error instanceof ExchangeError)) throw error
      return this.#handleFailure(progress, record, error)
    }
  }

  #handleAnswer (request: EntryRequest, progress: RequestProgress, record: UpstreamRecord, { answer, kind }: ClassifiedAnswer): RelayAnswer | undefined {
    const { protocol, loads, known } = this.#options
    const load = loads.get(record.id)
    const now = performance.now()
    const report = protocol.readLoad(answer)
    if (report !== undefined) load.recordReport(report, now)
    if (kind === AnswerKind.Own) {
      load.recordAlive(now)
      loads.warmObjects.recordHandled(this.#getPlacementKey(request, progress), record.id, now)
      progress.sendCount += 1
      const { status, headers, body, endsWithConnection } = answer
      return { outcome: Outcome.Ran, reason: undefined, status, headers, body, endsWithConnection, pool: undefined }
    }
    discardAnswer(answer)
    progress.sendCount += 1
    if (kind === AnswerKind.Foreign) {
      progress.cause = errorTexts.foreignAnswer()
      load.recordFailure(now)
      progress.recordLostAnswer(RefusalReason.AnswerLost)
      return undefined
    }
    if (kind === AnswerKind.OtherUpstream) known.markGone(record.id)
    const hadFreeSlots = kind === AnswerKind.NotRun && load.recordRefusal(now)
    // An upstream that refuses although it has free slots may get the next attempt: elsewhere the object is not warm.
    if (hadFreeSlots) progress.excludedUpstreams.delete(record.id)
    progress.recordNotRun(hadFreeSlots ? RefusalReason.ShedWithFreeSlots : RefusalReason.Shed, RetryReason.Shed)
    return undefined
  }

  #handleFailure (progress: RequestProgress, record: UpstreamRecord, error: ExchangeError): RelayAnswer | undefined {
    const { loads, gate } = this.#options
    progress.cause = String(error.cause)
    if (error.failure === ExchangeFailure.Cancelled) return answerFailedExchange(error)
    loads.get(record.id).recordNoAnswer(error.failure, performance.now())
    if (!error.written) {
      progress.failedConnectCount += 1
      progress.recordNotRun(RefusalReason.UpstreamUnreachable, RetryReason.UpstreamUnreachable)
      return error.failure === ExchangeFailure.TimedOut ? this.#finishUnanswered(progress, RefusalReason.DeadlinePassed) : undefined
    }
    progress.sendCount += 1
    progress.recordLostAnswer(error.failure === ExchangeFailure.TimedOut ? RefusalReason.DeadlinePassed : RefusalReason.AnswerLost)
    if (error.failure === ExchangeFailure.TimedOut) return answerUnknown(RefusalReason.DeadlinePassed)
    // The permit of a suspect is taken until the upstream has ended an answer that was given up.
    return error.failure === ExchangeFailure.Undelimited && gate.isSuspect(progress.fingerprint) ? answerFailedExchange(error) : undefined
  }

  #canRetry ({ route, deadline, cancelled }: EntryRequest, progress: RequestProgress): boolean {
    const now = performance.now()
    if (cancelled.aborted || deadline - now < MINIMUM_ATTEMPT_MILLISECONDS) return false
    if (progress.mayHaveRun && route.requestClass !== RequestClass.Idempotent) return false
    if (progress.sendCount >= route.mostAttempts || progress.failedConnectCount >= MAXIMUM_FAILED_CONNECTS) return false
    if (progress.sendCount === 0) return true
    return this.#getRetryShare(progress.service).trySpend(now, this.#options.known.entryHosts)
  }

  /** A request that may have run is answered as unknown, never as refused. */
  #finishUnanswered (progress: RequestProgress, reason: RefusalReason): RelayAnswer {
    if (progress.mayHaveRun) return answerUnknown(progress.lostReason)
    return { ...refuse(reason), retryAfterMilliseconds: reason === RefusalReason.UpstreamsPaused ? progress.returnMilliseconds : undefined }
  }

  /**
   * @returns the key that determines the order of upstreams for a request. Copies of a request that has not run completely
   * yet have the same order at all hosts, so that one that ends upstreams does not end several at once.
   */
  #getPlacementKey ({ id, route, objectKey }: EntryRequest, { fingerprint }: RequestProgress): string {
    if (route.sticky && objectKey !== undefined) return `${route.name}|${objectKey}`
    return this.#options.runs.isProven(fingerprint) ? id : fingerprint
  }

  #getRetryShare (service: string): RetryShare {
    let retryShare = this.#retrySharesByService.get(service)
    if (retryShare === undefined) {
      retryShare = new RetryShare(this.#options.retryBound())
      this.#retrySharesByService.set(service, retryShare)
    }
    return retryShare
  }
}
