import type { RankedCandidate } from '../placement/RankedCandidate.js'
import { RefusalReason } from '../types/RefusalReason.js'
import { RetryReason } from '../types/RetryReason.js'

/** What became of one request so far. */
export class RequestProgress {
  readonly service: string
  readonly fingerprint: string
  /** Identifiers of the upstreams that were tried and should not be tried again. */
  readonly excludedUpstreams = new Set<string>()
  /** Identifiers of the upstreams of all attempts, in their order. */
  readonly attemptedUpstreams: string[] = []
  /** Milliseconds from its arrival until it was admitted or turned away. */
  waitedMilliseconds = 0
  /** Upstreams that the last attempt could choose from. */
  candidateCount = 0
  /** Fill of the upstream of the last attempt, or of the object's first one if none was chosen, in percent of its slots. */
  utilizationPercent: number | undefined
  /** Place of that upstream in the order of the object, from 0. */
  rank: number | undefined
  /** What broke the last attempt that gave no answer. */
  cause: string | undefined
  /** Attempts that reached an upstream. */
  sendCount = 0
  /** Attempts that reached none. */
  failedConnectCount = 0
  /** Whether an upstream may have run it without its answer being known. */
  mayHaveRun = false
  /** Why the last attempt gave no answer. */
  reason = RefusalReason.NoUpstream
  /** Why the answer of an attempt that may have run is missing. */
  lostReason = RefusalReason.AnswerLost
  retryReason = RetryReason.Shed

  /**
   * @param service - the service chosen for the request
   * @param fingerprint - digest of what the request does
   */
  constructor (service: string, fingerprint: string) {
    this.service = service
    this.fingerprint = fingerprint
  }

  /**
   * Notes which upstream was chosen.
   *
   * @param candidates - upstreams in the order of the object
   * @param chosen - one of them, undefined when none had room
   */
  recordPlacement (candidates: readonly RankedCandidate[], chosen: RankedCandidate | undefined): void {
    const reportedCandidate = chosen ?? candidates[0]
    this.candidateCount = candidates.length
    this.rank = chosen === undefined ? undefined : candidates.indexOf(chosen)
    this.utilizationPercent = reportedCandidate === undefined ? undefined : Math.round(reportedCandidate.utilization * 100)
  }

  /** Notes that an attempt at an upstream begins. */
  recordAttempt (upstream: string): void {
    this.excludedUpstreams.add(upstream)
    this.attemptedUpstreams.push(upstream)
  }

  /** Notes an attempt that surely ran nothing. */
  recordNotRun (reason: RefusalReason, retryReason: RetryReason): void {
    this.reason = reason
    this.retryReason = retryReason
  }

  /** Notes an attempt that may have run. */
  recordLostAnswer (reason: RefusalReason): void {
    this.mayHaveRun = true
    this.reason = reason
    this.lostReason = reason
    this.retryReason = RetryReason.AnswerLost
  }
}
