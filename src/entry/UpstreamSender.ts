import type { CrashTable } from '../crashes/CrashTable.js'
import { ExchangeError, ExchangeFailure } from '../errors/ExchangeError.js'
import type { KnownState } from '../follow/KnownState.js'
import type { StopWindow } from '../limits/StopWindow.js'
import type { Counters } from '../observe/Counters.js'
import { reportRepeatedAnswer } from '../observe/reportRepeatedAnswer.js'
import type { Log } from '../observe/Log.js'
import type { UpstreamRecord } from '../registry/UpstreamRecord.js'
import { createEndConfirmation } from '../relay/createEndConfirmation.js'
import { exchange, type AnswerHead, type AnswerLimits, type ExchangeAnswer } from '../relay/exchange.js'
import { once } from '../utils/once.js'
import { Step } from '../types/Step.js'
import type { CrashDetector } from './CrashDetector.js'
import type { EntryRequest } from './EntryRequest.js'
import type { UpstreamConnections } from './UpstreamConnections.js'
import type { UpstreamNotices } from './UpstreamNotices.js'
import type { UpstreamLoads } from './UpstreamLoads.js'
import { AnswerKind, type UpstreamProtocol } from './UpstreamProtocol.js'
import type { UpstreamRun, UpstreamRuns } from './UpstreamRuns.js'

/** Dependencies of {@link UpstreamSender}. */
export interface UpstreamSenderOptions extends AnswerLimits {
  known: KnownState
  loads: UpstreamLoads
  connections: Pick<UpstreamConnections, 'to'>
  protocol: UpstreamProtocol
  runs: UpstreamRuns
  crashes: CrashTable
  detector: CrashDetector
  /** Called after a request was excused in the crash table. */
  onExcuse: () => void
  notices: Pick<UpstreamNotices, 'record'>
  stopWindow: Pick<StopWindow, 'admits'>
  counters: Counters
  log: Log
}

/** One attempt of a request at one upstream. */
export interface UpstreamAttempt {
  request: EntryRequest
  fingerprint: string
  record: UpstreamRecord
  /** Called when the whole answer has arrived and only its end is not confirmed yet: the upstream has no more to do for it. */
  onArrived: () => void
  /** Called when the attempt is over and the end of its upstream, if it ended, is recorded. */
  onSettled: () => void
  /** Whether another attempt has answered the request, so that this one was cancelled; by default never. */
  isSuperseded?: () => boolean
}

/** An answer with its meaning. */
export interface ClassifiedAnswer {
  answer: ExchangeAnswer
  kind: AnswerKind
}

/** Sends requests to upstreams, and records how each attempt ended. */
export class UpstreamSender {
  readonly #options: UpstreamSenderOptions

  /** @param options - known state, connections, protocol and crash detection */
  constructor (options: UpstreamSenderOptions) {
    this.#options = options
  }

  /**
   * Sends a request to an upstream. After a broken connection it rejects only when it is known whether the upstream ended.
   *
   * @param attempt - request and upstream
   * @returns the upstream's answer
   * @throws {@link ExchangeError} when no complete answer, or no beginning of a large one, arrived in time
   */
  async send (attempt: UpstreamAttempt): Promise<ClassifiedAnswer> {
    const { loads, runs, protocol } = this.#options
    const { request, record } = attempt
    const load = loads.get(record.id)
    const run = runs.begin(attempt.fingerprint, record, false)
    load.start()
    const endLoad = once(() => { load.end() })
    try {
      const answer = await this.#exchange(request, run, () => { run.isWritten = true }, () => {
        endLoad()
        attempt.onArrived()
      })
      const kind = protocol.classifyAnswer(request, answer)
      this.#settleAfter(answer.finished.then(async (failure) => {
        endLoad()
        await this.#settleAnswer(run, kind, failure)
      }), attempt)
      return { answer, kind }
    } catch (error) {
      const settled = this.#settleAfterExchange(error, async () => {
        endLoad()
        await this.#settleFailure(run, error, attempt.isSuperseded?.() ?? false)
      })
      this.#settleAfter(settled, attempt)
      // The guest's time is over after a timeout or when it left; only a broken connection leads to another attempt.
      if (error instanceof ExchangeError && error.failure === ExchangeFailure.Broken) await settled.catch(() => {})
      throw error
    }
  }

  /** An upstream is at work on an answer that cannot be passed on until its connection is closed. */
  async #settleAfterExchange (error: unknown, settle: () => Promise<void>): Promise<void> {
    if (error instanceof ExchangeError && error.finished !== undefined) await error.finished
    await settle()
  }

  #settleAfter (settled: Promise<void>, { record, onSettled }: UpstreamAttempt): void {
    settled
      .catch((error: unknown) => { this.#options.log.warn('crash-check-failed', { step: Step.Dispatch, peer: record.address, cause: String(error) }) })
      .finally(onSettled)
  }

  #exchange (request: EntryRequest, { record, startedAt }: UpstreamRun, onWrite: () => void, onArrived: () => void): Promise<ExchangeAnswer> {
    const { connections, protocol, answerBufferBytes, answerBudget, stopWindow, detector, counters, log } = this.#options
    return exchange(connections.to(record), {
      peer: record.address,
      method: request.method,
      path: request.path,
      headers: () => protocol.composeHeaders(request, record.id, Math.max(1, Math.floor(request.deadline - performance.now()))),
      body: request.body,
      deadline: request.deadline,
      cancelled: request.cancelled,
      answerBufferBytes,
      answerBudget,
      releaseAfter: request.releaseAfter,
      closeConnection: false,
      // A faulty upstream may write an answer or a refusal again on a connection that is kept. Whatever follows there would be
      // taken for the answer to the next request, so that each later answer on it would go to the wrong request.
      isHeadSufficient: (head) => protocol.classifyAnswer(request, head) !== AnswerKind.Own,
      separator: {
        identify: (head) => protocol.identifyHead(request, head),
        onFound: (found) => { reportRepeatedAnswer(this.#options, { peer: record.address, request: request.id, found }) }
      },
      onHead: (head) => { this.#recordNotice(request, record, head) },
      mayWrite: () => stopWindow.admits(request.deadline) && this.#canStillUse(record),
      onWrite,
      confirmEnd: createEndConfirmation({ id: request.id, peer: record.address, onArrived, isAlive: () => detector.isAlive(record, startedAt), counters, log })
    })
  }

  /** Another upstream at the address speaks of itself, so its notice does not concern this one. */
  #recordNotice (request: EntryRequest, record: UpstreamRecord, head: AnswerHead): void {
    const { protocol, notices } = this.#options
    if (protocol.classifyAnswer(request, head) !== AnswerKind.OtherUpstream) notices.record(record, protocol.readNotice(head), request.id)
  }

  /** Checks again before the request is written: the upstream may have begun to leave, or asked for a pause, while the connection opened. */
  #canStillUse ({ id, bornAt, service, domain }: UpstreamRecord): boolean {
    const { known, loads } = this.#options
    if (loads.get(id).getReturnTime(bornAt, performance.now()) !== undefined) return false
    return !known.isEvacuated(domain) && known.listReady(service).some(({ record }) => record.id === id)
  }

  async #settleAnswer (run: UpstreamRun, kind: AnswerKind, failure: ExchangeFailure | undefined): Promise<void> {
    const { runs, detector, loads } = this.#options
    if (kind === AnswerKind.Own) loads.get(run.record.id).recordEnd(failure, performance.now())
    if (failure === undefined) detector.recordAlive(run.record)
    if (kind === AnswerKind.NotRun || kind === AnswerKind.OtherUpstream) return runs.discard(run)
    if (kind === AnswerKind.Own && failure === undefined) return this.#recordSuccess(run)
    runs.abandon(run)
    if (failure === ExchangeFailure.Broken) await detector.checkUpstream(run.record)
  }

  #recordSuccess (run: UpstreamRun): void {
    const { runs, crashes, detector, onExcuse } = this.#options
    runs.complete(run)
    detector.recordAnswer(run)
    if (crashes.countLosses(run.fingerprint) === 0) return
    crashes.excuse(run.fingerprint)
    onExcuse()
  }

  async #settleFailure (run: UpstreamRun, error: unknown, isSuperseded: boolean): Promise<void> {
    const { runs, detector } = this.#options
    if (!(error instanceof ExchangeError) || !error.written) {
      runs.discard(run)
      if (error instanceof ExchangeError && error.failure === ExchangeFailure.Unreachable) detector.recordUnreachable(run.record)
      return
    }
    runs.abandon(run)
    // The end of an attempt that this host cancelled says nothing of its upstream.
    if (isSuperseded && error.failure === ExchangeFailure.Cancelled) return
    await detector.checkUpstream(run.record)
  }
}
