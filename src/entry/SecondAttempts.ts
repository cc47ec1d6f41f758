import type { KnownState } from '../follow/KnownState.js'
import type { StopWindow } from '../limits/StopWindow.js'
import type { Counters } from '../observe/Counters.js'
import { SECOND_ATTEMPT_COUNTERS } from '../observe/declareCounters.js'
import type { Log } from '../observe/Log.js'
import { computeSecondAttemptDelay, decideSecondAttempt } from '../placement/decideSecondAttempt.js'
import { RetryShare, type RetryBound } from '../placement/RetryShare.js'
import { RouteRunTimes, type KnownRuns } from '../placement/RouteRunTimes.js'
import type { RelayAnswer } from '../relay/RelayAnswer.js'
import { Outcome } from '../types/Outcome.js'
import { RequestClass } from '../types/RequestClass.js'
import { SecondDenial } from '../types/SecondDenial.js'
import { Step } from '../types/Step.js'
import { Winner } from '../types/Winner.js'
import { once } from '../utils/once.js'
import { waitWithinDeadline } from '../utils/waitWithinDeadline.js'
import { AttemptRace, type RacingAttempt } from './AttemptRace.js'
import type { EntryRequest } from './EntryRequest.js'
import type { PlacementCandidate } from './listCandidates.js'
import type { RequestProgress } from './RequestProgress.js'
import type { RetryShares } from './RetryShares.js'
import type { ServiceAdmission } from './ServiceAdmission.js'
import type { SuspectGate } from './SuspectGate.js'
import { takeFirstAnswer } from './takeFirstAnswer.js'
import type { UpstreamAttempts } from './UpstreamAttempts.js'
import { isObjectBound, type UpstreamChoice } from './UpstreamChoice.js'

/** Interval of the checks of a slow first attempt, as a fraction of the delay after which it counts as slow. */
const CHECK_INTERVAL_FRACTION = 0.25
const MINIMUM_CHECK_INTERVAL_MILLISECONDS = 20

/** Dependencies of {@link SecondAttempts}. */
export interface SecondAttemptsOptions {
  /** @returns second attempts per request; 0, as by default, for none */
  secondAttemptRatio?: () => number
  known: Pick<KnownState, 'entryHosts'>
  admission: Pick<ServiceAdmission, 'getQueue'>
  gate: Pick<SuspectGate, 'isSuspect' | 'admitsCopy'>
  stopWindow: Pick<StopWindow, 'admits'>
  retryBound: () => RetryBound
  counters: Counters
  log: Log
}

/** Parts of an entry relay that second attempts use. */
export interface SecondAttemptsParts {
  choice: Pick<UpstreamChoice, 'listForSecond'>
  attempts: Pick<UpstreamAttempts, 'run'>
  retryShares: RetryShares
}

/** An attempt that a second one may follow. */
interface FirstAttempt {
  request: EntryRequest
  progress: RequestProgress
  /** The chosen upstream. */
  chosen: PlacementCandidate
  /** Called when the attempt is over and the end of its upstream, if it ended, is recorded. */
  onSettled: () => void
}

interface RunningAttempt extends FirstAttempt {
  race: AttemptRace
  runs: KnownRuns
  isFirstWarm: boolean
  startedAt: number
  answer: Promise<RelayAnswer | undefined>
}

/** Makes attempts at upstreams, and begins a second one beside a first one that takes unusually long. */
export class SecondAttempts {
  readonly #options: SecondAttemptsOptions
  readonly #parts: SecondAttemptsParts
  readonly #runTimes = new RouteRunTimes()
  #ratio = 0
  #share: RetryShare | undefined

  /**
   * @param options - setting, limits and counters
   * @param parts - choice of upstreams, attempts and retry shares of the relay
   */
  constructor (options: SecondAttemptsOptions, parts: SecondAttemptsParts) {
    this.#options = options
    this.#parts = parts
    // Declares the counters from the start where the setting asks for second attempts.
    this.#getShare()
  }

  /** Records a request of a guest, of which second attempts are a fraction. */
  recordRequest ({ route }: EntryRequest): void {
    if (route.requestClass === RequestClass.Idempotent) this.#getShare()?.recordRequest(performance.now())
  }

  /** @returns the answer for the guest, undefined when neither attempt gave one and the request may be retried */
  async run (first: FirstAttempt): Promise<RelayAnswer | undefined> {
    const { request, progress, chosen, onSettled } = first
    const isEligible = request.route.requestClass === RequestClass.Idempotent && this.#getShare() !== undefined && !this.#options.gate.isSuspect(progress.fingerprint)
    if (!isEligible) return await this.#parts.attempts.run({ request, progress, record: chosen.record, onArrived: progress.onArrived, onSettled })
    const race = new AttemptRace(request.cancelled)
    try {
      return await this.#race(this.#start(first, race))
    } catch (error) {
      race.end()
      throw error
    }
  }

  #start (first: FirstAttempt, race: AttemptRace): RunningAttempt {
    const { request, progress, chosen, onSettled } = first
    const runs = this.#runTimes.get(request.route.name, progress.service)
    const isFirstWarm = isObjectBound(request) && chosen.isWarm
    const startedAt = performance.now()
    const racing = race.enter()
    const answer = this.#parts.attempts.run({ request, progress, record: chosen.record, onArrived: progress.onArrived, onSettled, racing })
    answer.then((result) => { recordRun(isFirstWarm ? runs.warm : runs.other, performance.now() - startedAt, racing, result) }, () => {})
    return { ...first, race, runs, isFirstWarm, startedAt, answer }
  }

  async #race (first: RunningAttempt): Promise<RelayAnswer | undefined> {
    const { progress, answer, race } = first
    const second = await this.#waitForSecond(first)
    if (second === undefined || progress.second === undefined) return await answer
    const result = await takeFirstAnswer([answer, second.answer], progress)
    const hasWon = result?.outcome === Outcome.Ran
    if (hasWon && race.isAnyRunning) progress.sendCount += 1
    const hasSecondWon = hasWon && !second.racing.isSuperseded()
    progress.second.winner = hasSecondWon ? Winner.Second : hasWon ? Winner.First : Winner.None
    this.#options.counters.increment(hasSecondWon ? SECOND_ATTEMPT_COUNTERS.won : SECOND_ATTEMPT_COUNTERS.lost)
    return result
  }

  /** @returns the second attempt once it has begun, undefined when the first one ended before */
  async #waitForSecond (first: RunningAttempt): Promise<{ answer: Promise<RelayAnswer | undefined>, racing: RacingAttempt } | undefined> {
    const { request, progress, runs, isFirstWarm, startedAt, answer } = first
    if (progress.second !== undefined || progress.sendCount + 2 > request.route.mostAttempts) return undefined
    const delay = computeSecondAttemptDelay(runs, isFirstWarm, this.#ratio)
    if (delay === undefined) return undefined
    const interval = Math.max(MINIMUM_CHECK_INTERVAL_MILLISECONDS, delay * CHECK_INTERVAL_FRACTION)
    let isOver = false
    const ended = answer.then(() => true, () => true).finally(() => { isOver = true })
    let checkAt = startedAt + delay
    let denial: SecondDenial | undefined
    while (await waitWithinDeadline(ended, checkAt) === undefined) {
      const chosen = await this.#choose(first, () => isOver)
      if (typeof chosen !== 'string') return this.#begin(first, chosen)
      if (chosen !== SecondDenial.NotFaster) denial = chosen
      checkAt = performance.now() + interval
    }
    if (denial !== undefined) this.#recordDenial(progress, denial)
    return undefined
  }

  /** @returns the upstream of a second attempt that begins now and is counted, or why there is none */
  async #choose (first: RunningAttempt, isOver: () => boolean): Promise<PlacementCandidate | SecondDenial> {
    const expected = this.#decide(first)
    if (typeof expected === 'string') return expected
    if (!await this.#admitsCopy(first)) return SecondDenial.Suspect
    // The first attempt may have ended while its upstream was checked.
    if (isOver() || first.race.isWon || first.request.cancelled.aborted) return SecondDenial.NotFaster
    const chosen = this.#decide(first)
    return typeof chosen === 'string' ? chosen : this.#spend(first.progress.service) ?? chosen
  }

  /** A check that fails costs the second attempt, and not the first one. */
  async #admitsCopy ({ progress, chosen }: RunningAttempt): Promise<boolean> {
    const { gate, log } = this.#options
    if (gate.isSuspect(progress.fingerprint)) return false
    try {
      return await gate.admitsCopy(progress.fingerprint)
    } catch (error) {
      log.warn('crash-check-failed', { step: Step.Dispatch, peer: chosen.record.address, cause: String(error) })
      return false
    }
  }

  #decide ({ request, progress, runs, isFirstWarm, startedAt }: RunningAttempt): PlacementCandidate | SecondDenial {
    const { stopWindow, admission } = this.#options
    if (!stopWindow.admits(request.deadline)) return SecondDenial.Stopping
    if (!admission.getQueue(progress.service).hasSpare) return SecondDenial.NoSlots
    const now = performance.now()
    return decideSecondAttempt({
      ageMilliseconds: now - startedAt,
      remainingMilliseconds: request.deadline - now,
      isFirstWarm,
      isObjectBound: isObjectBound(request),
      runs,
      candidates: this.#parts.choice.listForSecond(request, progress)
    })
  }

  /** @returns which limit a further attempt would exceed; undefined when it is within both and counted */
  #spend (service: string): SecondDenial | undefined {
    const { entryHosts } = this.#options.known
    const now = performance.now()
    const share = this.#getShare()
    if (share?.maySpend(now, entryHosts) !== true) return SecondDenial.Ratio
    if (!this.#parts.retryShares.get(service).trySpend(now, entryHosts)) return SecondDenial.RetryBudget
    share.trySpend(now, entryHosts)
    return undefined
  }

  #begin ({ request, progress, race, startedAt }: RunningAttempt, { record }: PlacementCandidate): { answer: Promise<RelayAnswer | undefined>, racing: RacingAttempt } {
    const queue = this.#options.admission.getQueue(progress.service)
    const hasPlace = queue.tryTakeSpare()
    const returnPlace = once(() => { if (hasPlace) queue.returnSpare() })
    progress.second = { upstream: record.id, afterMilliseconds: Math.round(performance.now() - startedAt), winner: Winner.None }
    this.#options.counters.increment(SECOND_ATTEMPT_COUNTERS.begun)
    const racing = race.enter()
    const answer = this.#parts.attempts.run({ request, progress, record, onArrived: returnPlace, onSettled: () => {}, racing }).finally(returnPlace)
    return { answer, racing }
  }

  #recordDenial (progress: RequestProgress, denial: SecondDenial): void {
    if (progress.secondDenial === undefined) this.#options.counters.increment(SECOND_ATTEMPT_COUNTERS.denied)
    progress.secondDenial = denial
  }

  /** @returns this host's share of second attempts, undefined when there are none */
  #getShare (): RetryShare | undefined {
    const { secondAttemptRatio, retryBound, counters } = this.#options
    const ratio = secondAttemptRatio?.() ?? 0
    if (ratio === this.#ratio) return this.#share
    for (const name of Object.values(SECOND_ATTEMPT_COUNTERS)) counters.declare(name)
    this.#ratio = ratio
    this.#share = ratio > 0 ? new RetryShare({ ratio, allowance: 0, windowMilliseconds: retryBound().windowMilliseconds }) : undefined
    return this.#share
  }
}

/** A run that was cancelled or passed its deadline shows only that it takes longer; a refused or broken one shows nothing. */
function recordRun (times: KnownRuns['other'], milliseconds: number, { isSuperseded }: RacingAttempt, answer: RelayAnswer | undefined): void {
  if (isSuperseded() || answer?.outcome === Outcome.Unknown) times.recordAbandoned(milliseconds)
  else if (answer?.outcome === Outcome.Ran) times.recordEnd(milliseconds)
}
