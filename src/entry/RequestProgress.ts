import type { RankedCandidate } from '../placement/RankedCandidate.js'
import { RefusalReason } from '../types/RefusalReason.js'
import { RetryReason } from '../types/RetryReason.js'
import type { SecondDenial } from '../types/SecondDenial.js'
import type { Winner } from '../types/Winner.js'

/** The second attempt of a request whose first one was slow. */
export interface SecondAttemptRecord {
  /** Identifier of its upstream. */
  upstream: string
  /** Time from the beginning of the first attempt to that of the second. */
  afterMilliseconds: number
  winner: Winner
}

/** Progress of one request over its attempts. */
export class RequestProgress {
  readonly service: string
  readonly fingerprint: string
  /** Identifiers of the upstreams that have had an attempt and should not get another one. */
  readonly excludedUpstreams = new Set<string>()
  /** Identifiers of the upstreams of all attempts, in order. */
  readonly attemptedUpstreams: string[] = []
  /** Time from its arrival until it was admitted or refused. */
  waitedMilliseconds = 0
  /** Time that it waited for a token of its account; undefined when it needed none. */
  quotaMilliseconds: number | undefined
  /** Number of upstreams that the last attempt could choose from. */
  candidateCount = 0
  /** Utilization of the last chosen upstream, or of the first candidate if none was chosen, in percent of its slots. */
  utilizationPercent: number | undefined
  /** Position of the chosen upstream in the order of the object, from 0. */
  rank: number | undefined
  /** Error of the last attempt that gave no answer. */
  cause: string | undefined
  /** Number of attempts that reached an upstream. */
  sendCount = 0
  /** Number of attempts that reached none. */
  failedConnectCount = 0
  /** Whether an upstream may have run the request although no answer is known. */
  mayHaveRun = false
  /** Why the last attempt gave no answer. */
  reason = RefusalReason.NoUpstream
  /** Why the answer of an attempt that may have run is missing. */
  lostReason = RefusalReason.AnswerLost
  retryReason = RetryReason.Shed
  /** Called when the answer has arrived, and when the request is over; gives back its place in the admission queue. */
  onArrived = (): void => {}
  /** Undefined when no second attempt began beside the first one. */
  second: SecondAttemptRecord | undefined
  /** What kept a slow first attempt from getting a second one; undefined when nothing did. */
  secondDenial: SecondDenial | undefined
  /** Time until the first upstream that asked for a pause takes requests again, in milliseconds. */
  returnMilliseconds: number | undefined

  /**
   * @param service - the service chosen for the request
   * @param fingerprint - digest of service, method, path and body
   */
  constructor (service: string, fingerprint: string) {
    this.service = service
    this.fingerprint = fingerprint
  }

  /**
   * Records which upstream was chosen.
   *
   * @param candidates - upstreams in the order of the object
   * @param chosen - one of them, undefined when none had capacity
   */
  recordPlacement (candidates: readonly RankedCandidate[], chosen: RankedCandidate | undefined): void {
    const reportedCandidate = chosen ?? candidates[0]
    this.candidateCount = candidates.length
    this.rank = chosen === undefined ? undefined : candidates.indexOf(chosen)
    this.utilizationPercent = reportedCandidate === undefined ? undefined : Math.round(reportedCandidate.utilization * 100)
  }

  /** Whether no attempt can have reached an upstream: each that was begun failed to connect. */
  get hasReachedNone (): boolean {
    return this.sendCount === 0 && this.failedConnectCount === this.attemptedUpstreams.length
  }

  /** Records the start of an attempt at an upstream. */
  recordAttempt (upstream: string): void {
    this.excludedUpstreams.add(upstream)
    this.attemptedUpstreams.push(upstream)
  }

  /** Records an attempt that certainly did not run the request. */
  recordNotRun (reason: RefusalReason, retryReason: RetryReason): void {
    this.reason = reason
    this.retryReason = retryReason
  }

  /** Records an attempt that may have run the request without an answer. */
  recordLostAnswer (reason: RefusalReason): void {
    this.mayHaveRun = true
    this.reason = reason
    this.lostReason = reason
    this.retryReason = RetryReason.AnswerLost
  }
}
