import { errorTexts } from '../errors/errorTexts.js'
import { ExchangeError, ExchangeFailure } from '../errors/ExchangeError.js'
import type { KnownState } from '../follow/KnownState.js'
import type { UpstreamRecord } from '../registry/UpstreamRecord.js'
import { answerFailedExchange } from '../relay/answerFailedExchange.js'
import { discardAnswer } from '../relay/discardAnswer.js'
import { answerUnknown } from '../relay/refuse.js'
import type { RelayAnswer } from '../relay/RelayAnswer.js'
import { Outcome } from '../types/Outcome.js'
import { RefusalReason } from '../types/RefusalReason.js'
import { RetryReason } from '../types/RetryReason.js'
import type { RacingAttempt } from './AttemptRace.js'
import type { EntryRequest } from './EntryRequest.js'
import { finishUnanswered } from './finishUnanswered.js'
import type { RequestProgress } from './RequestProgress.js'
import type { SuspectGate } from './SuspectGate.js'
import type { UpstreamChoice } from './UpstreamChoice.js'
import type { UpstreamLoads } from './UpstreamLoads.js'
import { AnswerKind, type UpstreamProtocol } from './UpstreamProtocol.js'
import type { ClassifiedAnswer, UpstreamSender } from './UpstreamSender.js'

/** Dependencies of {@link UpstreamAttempts}. */
export interface UpstreamAttemptsOptions {
  known: KnownState
  loads: UpstreamLoads
  protocol: UpstreamProtocol
  gate: Pick<SuspectGate, 'isSuspect'>
  sender: Pick<UpstreamSender, 'send'>
}

/** One attempt at an upstream. */
export interface AttemptRequest {
  request: EntryRequest
  progress: RequestProgress
  record: UpstreamRecord
  /** Called when the whole answer has arrived and only its end is not confirmed yet. */
  onArrived: () => void
  /** Called when the attempt is over and the end of its upstream, if it ended, is recorded. */
  onSettled: () => void
  /** Present when another attempt of the request may run at the same time. */
  racing?: RacingAttempt
}

/** Makes single attempts at upstreams, and records what each tells of the request and its upstream. */
export class UpstreamAttempts {
  readonly #options: UpstreamAttemptsOptions
  readonly #choice: Pick<UpstreamChoice, 'getPlacementKey'>

  /**
   * @param options - known state, loads, protocol and connections
   * @param choice - tells the object of a request
   */
  constructor (options: UpstreamAttemptsOptions, choice: Pick<UpstreamChoice, 'getPlacementKey'>) {
    this.#options = options
    this.#choice = choice
  }

  /** @returns the answer for the guest, undefined when the attempt gave none or another one answered the request */
  async run (attempt: AttemptRequest): Promise<RelayAnswer | undefined> {
    const { request, progress, record, onArrived, onSettled, racing } = attempt
    progress.recordAttempt(record.id)
    const sentRequest = racing === undefined ? request : withRacing(request, racing)
    try {
      const answer = await this.#options.sender.send({ request: sentRequest, fingerprint: progress.fingerprint, record, onSettled, onArrived, isSuperseded: racing?.isSuperseded })
      return this.#handleAnswer(attempt, answer)
    } catch (error) {
      if (!(error instanceof ExchangeError)) throw error
      return this.#handleFailure(attempt, error)
    } finally {
      racing?.leave()
    }
  }

  #handleAnswer ({ request, progress, record, racing }: AttemptRequest, { answer, kind }: ClassifiedAnswer): RelayAnswer | undefined {
    const { protocol, loads, known } = this.#options
    const load = loads.get(record.id)
    const now = performance.now()
    const report = protocol.readLoad(answer)
    if (report !== undefined) load.recordReport(report, now)
    if (kind === AnswerKind.Own) {
      load.recordAlive(now)
      loads.warmObjects.recordHandled(this.#choice.getPlacementKey(request, progress), record.id, now)
      if (racing?.claim() === false) {
        discardAnswer(answer)
        return undefined
      }
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

  #handleFailure ({ progress, record, racing }: AttemptRequest, error: ExchangeError): RelayAnswer | undefined {
    const { loads, gate } = this.#options
    const isCancelled = error.failure === ExchangeFailure.Cancelled
    if (isCancelled && racing?.isSuperseded() === true) return undefined
    progress.cause = String(error.cause)
    if (isCancelled) return answerFailedExchange(error)
    loads.get(record.id).recordNoAnswer(error.failure, performance.now())
    if (!error.written) {
      progress.failedConnectCount += 1
      progress.recordNotRun(RefusalReason.UpstreamUnreachable, RetryReason.UpstreamUnreachable)
      return error.failure === ExchangeFailure.TimedOut ? finishUnanswered(progress, RefusalReason.DeadlinePassed) : undefined
    }
    progress.sendCount += 1
    progress.recordLostAnswer(error.failure === ExchangeFailure.TimedOut ? RefusalReason.DeadlinePassed : RefusalReason.AnswerLost)
    if (error.failure === ExchangeFailure.TimedOut) return answerUnknown(RefusalReason.DeadlinePassed)
    // The permit of a suspect is taken until the upstream has ended an answer that was given up.
    return error.failure === ExchangeFailure.Undelimited && gate.isSuspect(progress.fingerprint) ? answerFailedExchange(error) : undefined
  }
}

/** @returns the request as one of several attempts sends it; the answer of one that was superseded takes no memory */
function withRacing (request: EntryRequest, { cancelled, isSuperseded }: RacingAttempt): EntryRequest {
  const { releaseAfter } = request
  if (releaseAfter === undefined) return { ...request, cancelled }
  return {
    ...request,
    cancelled,
    releaseAfter: (release) => {
      if (isSuperseded()) release()
      else releaseAfter(release)
    }
  }
}
