import { ExchangeError, ExchangeFailure } from '../errors/ExchangeError.js'
import type { KnownState } from '../follow/KnownState.js'
import type { Counters } from '../observe/Counters.js'
import { retryCounter } from '../observe/declareCounters.js'
import type { LatencyBuckets } from '../observe/LatencyBuckets.js'
import type { Log } from '../observe/Log.js'
import { AdmissionResult } from '../placement/AdmissionQueue.js'
import { choosePlacement } from '../placement/choosePlacement.js'
import { ColdShare } from '../placement/ColdShare.js'
import { RetryShare, type RetryBound } from '../placement/RetryShare.js'
import { pickTarget } from '../plan/pickTarget.js'
import type { UpstreamRecord } from '../registry/UpstreamRecord.js'
import { exchange, type ExchangeAnswer } from '../relay/exchange.js'
import { answerFailedExchange } from '../relay/answerFailedExchange.js'
import { fingerprintRequest } from '../relay/fingerprintRequest.js'
import type { PoisonGuard } from '../relay/PoisonGuard.js'
import { answerUnknown, refuse } from '../relay/refuse.js'
import type { RelayAnswer } from '../relay/RelayAnswer.js'
import { recordAnswer } from './recordAnswer.js'
import { Outcome } from '../types/Outcome.js'
import { RefusalReason } from '../types/RefusalReason.js'
import { RequestClass } from '../types/RequestClass.js'
import { RetryReason } from '../types/RetryReason.js'
import type { CrashDetector } from './CrashDetector.js'
import { createAdmissionRequest } from './createAdmissionRequest.js'
import type { EntryRequest } from './EntryRequest.js'
import { listCandidates, type PlacementCandidate } from './listCandidates.js'
import { RequestProgress } from './RequestProgress.js'
import type { ServiceAdmission } from './ServiceAdmission.js'
import type { UpstreamConnections } from './UpstreamConnections.js'
import type { UpstreamLoads } from './UpstreamLoads.js'
import { AnswerKind, type UpstreamProtocol } from './UpstreamProtocol.js'

/** Maximum number of failed attempts to connect for one request: they send nothing, but take time. */
const MAXIMUM_FAILED_CONNECTS = 3
/** Minimum time left for another attempt: an upstream could not answer within less. */
const MINIMUM_ATTEMPT_MILLISECONDS = 50

/** Dependencies of an entry relay. */
export interface EntryRelayOptions {
  hostName: string
  region: string
  known: KnownState
  loads: UpstreamLoads
  admission: ServiceAdmission
  connections: Pick<UpstreamConnections, 'to'>
  protocol: UpstreamProtocol
  poison: PoisonGuard
  crashes: CrashDetector
  retryBound: () => RetryBound
  regionOf: (domain: string) => string | undefined
  answerBufferBytes: number
  random: () => number
  counters: Counters
  latencies: LatencyBuckets
  /** @returns longest recent delay of the event loop, in milliseconds */
  loopLateMilliseconds: () => number
  log: Log
}

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
    this.#getRetryShare(service).recordRequest(performance.now())
    const answer = await this.#admit(request, progress)
    recordAnswer(this.#options, request, progress, answer)
    return answer
  }

  async #admit (request: EntryRequest, progress: RequestProgress): Promise<RelayAnswer> {
    const queue = this.#options.admission.recordArrival(progress.service)
    const admissionResult = await queue.enter(createAdmissionRequest(request, queue.meanHoldMilliseconds), request.cancelled)
    const admittedAt = performance.now()
    progress.waitedMilliseconds = Math.round(admittedAt - request.arrivedAt)
    if (admissionResult === AdmissionResult.Cancelled) return refuse(RefusalReason.Cancelled)
    if (admissionResult === AdmissionResult.TooLate) return refuse(RefusalReason.QueueFull)
    try {
      return await this.#sendUntilAnswered(request, progress)
    } finally {
      queue.leave(performance.now() - admittedAt)
    }
  }

  async #sendUntilAnswered (request: EntryRequest, progress: RequestProgress): Promise<RelayAnswer> {
    for (;;) {
      if (this.#options.poison.isPoison(progress.fingerprint)) return progress.mayHaveRun ? answerUnknown(RefusalReason.AnswerLost) : refuse(RefusalReason.Poison)
      const chosen = this.#chooseUpstream(request, progress)
      if (chosen === undefined) return this.#finishUnanswered(progress, progress.candidateCount === 0 ? RefusalReason.NoUpstream : RefusalReason.UpstreamsFull)
      if (chosen.isCold) this.#coldShare.take(chosen.record.id, performance.now())
      const answer = await this.#send(request, progress, chosen.record)
      if (answer !== undefined) return answer
      if (!this.#canRetry(request, progress)) return this.#finishUnanswered(progress, progress.reason)
      this.#options.counters.increment(retryCounter(progress.retryReason))
    }
  }

  #chooseUpstream (request: EntryRequest, progress: RequestProgress): PlacementCandidate | undefined {
    const { known, loads, regionOf } = this.#options
    const { route } = request
    const candidates = listCandidates(known, loads, {
      service: progress.service,
      placementKey: getPlacementKey(request),
      homeRegions: route.homeRegions,
      region: this.#options.region,
      excludedUpstreams: progress.excludedUpstreams,
      regionOf,
      canUseCold: (record) => this.#canUseCold(record)
    })
    const chosen = choosePlacement(candidates)
    progress.recordPlacement(candidates, chosen)
    return chosen
  }

  #canUseCold (record: UpstreamRecord): boolean {
    const { known, hostName } = this.#options
    const requestsPerSecond = known.service(record.service)?.coldRequestsPerSecond ?? 0
    if (requestsPerSecond <= 0) return false
    const query = { upstream: record.id, host: hostName, entryHosts: known.entryHosts, requestsPerSecond }
    return this.#coldShare.mayTake(query, performance.now())
  }

  /** @returns the answer for the guest, undefined when the attempt gave none */
  async #send (request: EntryRequest, progress: RequestProgress, record: UpstreamRecord): Promise<RelayAnswer | undefined> {
    const load = this.#options.loads.get(record.id)
    progress.recordAttempt(record.id)
    load.start()
    try {
      const answer = await this.#exchange(request, record)
      answer.finished.then(() => { load.end() }, () => { load.end() })
      return this.#handleAnswer(request, progress, record, answer)
    } catch (error) {
      load.end()
      if (!(error instanceof ExchangeError)) throw error
      return this.#handleFailure(progress, record, error)
    }
  }

  #exchange (request: EntryRequest, record: UpstreamRecord): Promise<ExchangeAnswer> {
    const { connections, protocol, answerBufferBytes } = this.#options
    const remainingMilliseconds = Math.max(1, Math.floor(request.deadline - performance.now()))
    return exchange(connections.to(record), {
      peer: record.address,
      method: request.method,
      path: request.path,
      headers: protocol.composeHeaders(request, record.id, remainingMilliseconds),
      body: request.body,
      deadline: request.deadline,
      cancelled: request.cancelled,
      answerBufferBytes,
      closeConnection: false,
      mayWrite: () => this.#canStillUse(record)
    })
  }

  /** Checks again before the request is written: the upstream may have begun to leave while the connection opened. */
  #canStillUse ({ id, service, domain }: UpstreamRecord): boolean {
    const { known } = this.#options
    return !known.isEvacuated(domain) && known.listReady(service).some(({ record }) => record.id === id)
  }

  #handleAnswer (request: EntryRequest, progress: RequestProgress, record: UpstreamRecord, answer: ExchangeAnswer): RelayAnswer | undefined {
    const { protocol, loads, known } = this.#options
    const load = loads.get(record.id)
    const now = performance.now()
    const report = protocol.readLoad(answer)
    if (report !== undefined) load.recordReport(report, now)
    const kind = protocol.classifyAnswer(request, answer)
    if (kind === AnswerKind.Own) {
      load.recordSuccess(now)
      loads.warmObjects.recordHandled(getPlacementKey(request), record.id, now)
      progress.sendCount += 1
      const { status, headers, body, endsWithConnection } = answer
      return { outcome: Outcome.Ran, reason: undefined, status, headers, body, endsWithConnection, pool: undefined }
    }
    discard(answer)
    progress.sendCount += 1
    if (kind === AnswerKind.Foreign) {
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
    const { loads, crashes } = this.#options
    progress.cause = String(error.cause)
    if (error.failure === ExchangeFailure.Cancelled) return answerFailedExchange(error)
    if (error.failure !== ExchangeFailure.Forbidden) loads.get(record.id).recordFailure(performance.now())
    if (!error.written) {
      progress.failedConnectCount += 1
      progress.recordNotRun(RefusalReason.UpstreamUnreachable, RetryReason.UpstreamUnreachable)
      return error.failure === ExchangeFailure.TimedOut ? this.#finishUnanswered(progress, RefusalReason.DeadlinePassed) : undefined
    }
    progress.sendCount += 1
    progress.recordLostAnswer(error.failure === ExchangeFailure.TimedOut ? RefusalReason.DeadlinePassed : RefusalReason.AnswerLost)
    if (error.failure === ExchangeFailure.TimedOut) return answerUnknown(RefusalReason.DeadlinePassed)
    crashes.checkUpstream(progress.fingerprint, record)
    return undefined
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
    return progress.mayHaveRun ? answerUnknown(progress.lostReason) : refuse(reason)
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

/** Discards an answer that must not reach the guest. */
function discard ({ body }: ExchangeAnswer): void {
  if (!Buffer.isBuffer(body)) body.destroy()
}

/** @returns the key that determines the order of upstreams for a request */
function getPlacementKey ({ id, route, objectKey }: EntryRequest): string {
  return route.sticky && objectKey !== undefined ? `${route.name}|${objectKey}` : id
}
