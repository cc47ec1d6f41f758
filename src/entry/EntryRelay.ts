import { ExchangeError, ExchangeFailure } from '../errors/ExchangeError.js'
import type { KnownState } from '../follow/KnownState.js'
import type { Counters } from '../observe/Counters.js'
import { retryCounter } from '../observe/declareCounters.js'
import type { LatencyBuckets } from '../observe/LatencyBuckets.js'
import type { Log } from '../observe/Log.js'
import { Admission } from '../placement/AdmissionQueue.js'
import { choosePlacement } from '../placement/choosePlacement.js'
import { ColdShare } from '../placement/ColdShare.js'
import { RetryShare, type RetryBound } from '../placement/RetryShare.js'
import { pickTarget } from '../plan/pickTarget.js'
import type { UpstreamRecord } from '../registry/UpstreamRecord.js'
import { exchange, type ExchangeAnswer } from '../relay/exchange.js'
import { explainExchangeError } from '../relay/explainExchangeError.js'
import { fingerprintRequest } from '../relay/fingerprintRequest.js'
import type { PoisonGuard } from '../relay/PoisonGuard.js'
import { answerUnknown, refuse } from '../relay/refuse.js'
import type { RelayAnswer } from '../relay/RelayAnswer.js'
import { noteAnswer } from './noteAnswer.js'
import { Outcome } from '../types/Outcome.js'
import { RefusalReason } from '../types/RefusalReason.js'
import { RequestClass } from '../types/RequestClass.js'
import { RetryReason } from '../types/RetryReason.js'
import type { CrashWatch } from './CrashWatch.js'
import { describeTicket } from './describeTicket.js'
import type { EntryRequest } from './EntryRequest.js'
import { listCandidates, type PlacementCandidate } from './listCandidates.js'
import { RequestTrack } from './RequestTrack.js'
import type { ServiceAdmission } from './ServiceAdmission.js'
import type { UpstreamConnections } from './UpstreamConnections.js'
import type { UpstreamLoads } from './UpstreamLoads.js'
import { AnswerKind, type UpstreamProtocol } from './UpstreamProtocol.js'

/** Most failed attempts to connect for one request: they send nothing, but take time. */
const MOST_CONNECTS = 3
/** Least time left for one more attempt: an upstream could not answer within less. */
const LEAST_ATTEMPT_MILLISECONDS = 50

/** What an entry relay works with. */
export interface EntryRelayOptions {
  hostName: string
  region: string
  known: KnownState
  loads: UpstreamLoads
  admission: ServiceAdmission
  connections: Pick<UpstreamConnections, 'to'>
  protocol: UpstreamProtocol
  poison: PoisonGuard
  crashes: CrashWatch
  retryBound: () => RetryBound
  regionOf: (domain: string) => string | undefined
  answerBufferBytes: number
  random: () => number
  counters: Counters
  latencies: LatencyBuckets
  /** @returns how late the event loop ran lately */
  loopLateMilliseconds: () => number
  log: Log
}

/** Sends guests' requests to upstreams straight from the entry host, and again where that is allowed. */
export class EntryRelay {
  readonly #options: EntryRelayOptions
  readonly #cold = new ColdShare()
  readonly #retries = new Map<string, RetryShare>()

  /** @param options - what is known, and how to reach upstreams */
  constructor (options: EntryRelayOptions) {
    this.#options = options
  }

  /**
   * Sends a request to upstreams until one has answered it, or nothing more may be tried.
   *
   * @param request - the request
   * @returns the upstream's answer, or a refusal that says truthfully whether the request may have run
   */
  async serve (request: EntryRequest): Promise<RelayAnswer> {
    const { route } = request
    const service = pickTarget(route.targets, this.#options.random())
    const track = new RequestTrack(service, fingerprintRequest({ service, method: request.method, path: request.path, body: request.body }))
    this.#retryShare(service).noteRequest(performance.now())
    const answer = await this.#admit(request, track)
    noteAnswer(this.#options, request, track, answer)
    return answer
  }

  async #admit (request: EntryRequest, track: RequestTrack): Promise<RelayAnswer> {
    const queue = this.#options.admission.arrive(track.service)
    const admission = await queue.enter(describeTicket(request, queue.meanHoldMilliseconds), request.cancelled)
    const admittedAt = performance.now()
    track.waited = Math.round(admittedAt - request.arrivedAt)
    if (admission === Admission.Cancelled) return refuse(RefusalReason.Cancelled)
    if (admission === Admission.TooLate) return refuse(RefusalReason.QueueFull)
    try {
      return await this.#attempt(request, track)
    } finally {
      queue.leave(performance.now() - admittedAt)
    }
  }

  async #attempt (request: EntryRequest, track: RequestTrack): Promise<RelayAnswer> {
    for (;;) {
      if (this.#options.poison.isPoison(track.fingerprint)) return track.mayHaveRun ? answerUnknown(RefusalReason.AnswerLost) : refuse(RefusalReason.Poison)
      const chosen = this.#place(request, track)
      if (chosen === undefined) return this.#giveUp(track, track.candidates === 0 ? RefusalReason.NoUpstream : RefusalReason.UpstreamsFull)
      if (chosen.isCold) this.#cold.take(chosen.record.id, performance.now())
      const answer = await this.#send(request, track, chosen.record)
      if (answer !== undefined) return answer
      if (!this.#mayRetry(request, track)) return this.#giveUp(track, track.reason)
      this.#options.counters.increment(retryCounter(track.retryReason))
    }
  }

  #place (request: EntryRequest, track: RequestTrack): PlacementCandidate | undefined {
    const { known, loads, regionOf } = this.#options
    const { route } = request
    const candidates = listCandidates(known, loads, {
      service: track.service,
      placementKey: placementKeyOf(request),
      homeRegions: route.homeRegions,
      region: this.#options.region,
      tried: track.tried,
      regionOf,
      mayUseCold: (record) => this.#mayUseCold(record)
    })
    const chosen = choosePlacement(candidates)
    track.notePlacement(candidates, chosen)
    return chosen
  }

  #mayUseCold (record: UpstreamRecord): boolean {
    const { known, hostName } = this.#options
    const requestsPerSecond = known.service(record.service)?.coldRequestsPerSecond ?? 0
    if (requestsPerSecond <= 0) return false
    const question = { upstream: record.id, host: hostName, entryHosts: known.entryHosts, requestsPerSecond }
    return this.#cold.mayTake(question, performance.now())
  }

  /** @returns the answer for the guest, undefined when the attempt gave none */
  async #send (request: EntryRequest, track: RequestTrack, record: UpstreamRecord): Promise<RelayAnswer | undefined> {
    const load = this.#options.loads.of(record.id)
    track.noteTry(record.id)
    load.start()
    try {
      const answer = await this.#exchange(request, record)
      answer.finished.then(() => { load.end() }, () => { load.end() })
      return this.#takeAnswer(request, track, record, answer)
    } catch (error) {
      load.end()
      if (!(error instanceof ExchangeError)) throw error
      return this.#takeFailure(track, record, error)
    }
  }

  #exchange (request: EntryRequest, record: UpstreamRecord): Promise<ExchangeAnswer> {
    const { connections, protocol, answerBufferBytes } = this.#options
    const remaining = Math.max(1, Math.floor(request.deadline - performance.now()))
    return exchange(connections.to(record), {
      peer: record.address,
      method: request.method,
      path: request.path,
      headers: protocol.composeHeaders(request, record.id, remaining),
      body: request.body,
      deadline: request.deadline,
      cancelled: request.cancelled,
      answerBufferBytes,
      closeConnection: false,
      mayWrite: () => this.#mayStillUse(record)
    })
  }

  /** A connection may take a while to make; the upstream may have begun to leave meanwhile. */
  #mayStillUse ({ id, service, domain }: UpstreamRecord): boolean {
    const { known } = this.#options
    return !known.isEvacuated(domain) && known.listReady(service).some(({ record }) => record.id === id)
  }

  #takeAnswer (request: EntryRequest, track: RequestTrack, record: UpstreamRecord, answer: ExchangeAnswer): RelayAnswer | undefined {
    const { protocol, loads, known } = this.#options
    const load = loads.of(record.id)
    const now = performance.now()
    const report = protocol.readLoad(answer)
    if (report !== undefined) load.noteReport(report, now)
    const kind = protocol.judge(request, answer)
    if (kind === AnswerKind.Own) {
      load.noteSuccess(now)
      loads.warmCopies.note(placementKeyOf(request), record.id, now)
      track.sends += 1
      const { status, headers, body, endsWithConnection } = answer
      return { outcome: Outcome.Ran, reason: undefined, status, headers, body, endsWithConnection, pool: undefined }
    }
    discard(answer)
    track.sends += 1
    if (kind === AnswerKind.Foreign) {
      load.noteFailure(now)
      track.noteLost(RefusalReason.AnswerLost)
      return undefined
    }
    if (kind === AnswerKind.OtherUpstream) known.markGone(record.id)
    const hadRoom = kind === AnswerKind.NotRun && load.noteRefusal(now)
    // An upstream that refuses although it has room may take the next try; elsewhere the object is not warm.
    if (hadRoom) track.tried.delete(record.id)
    track.noteNotRun(hadRoom ? RefusalReason.ShedWithRoom : RefusalReason.Shed, RetryReason.Shed)
    return undefined
  }

  #takeFailure (track: RequestTrack, record: UpstreamRecord, error: ExchangeError): RelayAnswer | undefined {
    const { loads, crashes } = this.#options
    track.cause = String(error.cause)
    if (error.failure === ExchangeFailure.Cancelled) return explainExchangeError(error)
    if (error.failure !== ExchangeFailure.Forbidden) loads.of(record.id).noteFailure(performance.now())
    if (!error.written) {
      track.connects += 1
      track.noteNotRun(RefusalReason.UpstreamUnreachable, RetryReason.UpstreamUnreachable)
      return error.failure === ExchangeFailure.TimedOut ? this.#giveUp(track, RefusalReason.DeadlinePassed) : undefined
    }
    track.sends += 1
    track.noteLost(error.failure === ExchangeFailure.TimedOut ? RefusalReason.DeadlinePassed : RefusalReason.AnswerLost)
    if (error.failure === ExchangeFailure.TimedOut) return answerUnknown(RefusalReason.DeadlinePassed)
    crashes.suspect(track.fingerprint, record)
    return undefined
  }

  #mayRetry ({ route, deadline, cancelled }: EntryRequest, track: RequestTrack): boolean {
    const now = performance.now()
    if (cancelled.aborted || deadline - now < LEAST_ATTEMPT_MILLISECONDS) return false
    if (track.mayHaveRun && route.requestClass !== RequestClass.Idempotent) return false
    if (track.sends >= route.mostAttempts || track.connects >= MOST_CONNECTS) return false
    if (track.sends === 0) return true
    return this.#retryShare(track.service).trySpend(now, this.#options.known.entryHosts)
  }

  /** What may have run is never called refused. */
  #giveUp (track: RequestTrack, reason: RefusalReason): RelayAnswer {
    return track.mayHaveRun ? answerUnknown(track.lostReason) : refuse(reason)
  }

  #retryShare (service: string): RetryShare {
    let share = this.#retries.get(service)
    if (share === undefined) {
      share = new RetryShare(this.#options.retryBound())
      this.#retries.set(service, share)
    }
    return share
  }
}

/** Lets go of an answer that is not for the guest. */
function discard ({ body }: ExchangeAnswer): void {
  if (!Buffer.isBuffer(body)) body.destroy()
}

/** @returns what the upstreams of a request are ordered by */
function placementKeyOf ({ id, route, objectKey }: EntryRequest): string {
  return route.sticky && objectKey !== undefined ? `${route.name}|${objectKey}` : id
}
