import { Outcome } from '../../types/Outcome.js'
import type { RequestClass } from '../../types/RequestClass.js'
import { LatencyHistogram } from './LatencyHistogram.js'
import type { LoadPlan } from './LoadPlan.js'
import type { LoadRecord } from './LoadRecord.js'
import type { LoadSummary, SecondSummary, StreamSummary } from './LoadSummary.js'

const MILLISECONDS_PER_SECOND = 1000

interface StreamTally {
  service: string
  requestClass: RequestClass
  requests: number
  attempts: number
  outcomes: Map<Outcome | undefined, number>
  reasons: Map<string, number>
  latency: LatencyHistogram
}

interface SecondTally {
  ran: number
  failed: number
  latency: LatencyHistogram
}

/** Aggregates the records of a load run by stream and by second. */
export class LoadTally {
  readonly #plan: LoadPlan
  readonly #talliesByStream = new Map<string, StreamTally>()
  readonly #talliesBySecond = new Map<number, SecondTally>()
  readonly #sendDelay = new LatencyHistogram()

  /** @param plan - configuration of the run, which the summary repeats in part */
  constructor (plan: LoadPlan) {
    this.#plan = plan
  }

  /** @param record - finished request to count */
  add (record: LoadRecord): void {
    this.#sendDelay.record(record.sendDelayMilliseconds)
    this.#addToStream(this.#findStreamTally(record), record)
    this.#addToSecond(this.#findSecondTally(record), record)
  }

  /** @returns the figures so far */
  summarize (): LoadSummary {
    return {
      seed: this.#plan.seed,
      durationSeconds: this.#plan.durationSeconds,
      streams: [...this.#talliesByStream.values()].map(summarizeStream),
      seconds: [...this.#talliesBySecond].sort(([left], [right]) => left - right).map(([second, tally]) => summarizeSecond(second, tally)),
      schedule: this.#plan.schedule,
      sendDelay: this.#sendDelay.summarize()
    }
  }

  #findStreamTally ({ request }: LoadRecord): StreamTally {
    const key = `${request.service} ${request.requestClass}`
    const { service, requestClass } = request
    const tally = this.#talliesByStream.get(key) ?? { service, requestClass, requests: 0, attempts: 0, outcomes: new Map(), reasons: new Map(), latency: new LatencyHistogram() }
    this.#talliesByStream.set(key, tally)
    return tally
  }

  #findSecondTally (record: LoadRecord): SecondTally {
    const second = Math.floor(record.intendedMilliseconds / MILLISECONDS_PER_SECOND)
    const tally = this.#talliesBySecond.get(second) ?? { ran: 0, failed: 0, latency: new LatencyHistogram() }
    this.#talliesBySecond.set(second, tally)
    return tally
  }

  #addToStream (tally: StreamTally, { answer, latencyMilliseconds }: LoadRecord): void {
    tally.requests += 1
    tally.attempts += answer.attempts
    increment(tally.outcomes, answer.outcome)
    if (answer.outcome === Outcome.Ran) return tally.latency.record(latencyMilliseconds)
    increment(tally.reasons, answer.reason)
  }

  #addToSecond (tally: SecondTally, { answer, latencyMilliseconds }: LoadRecord): void {
    if (answer.outcome !== Outcome.Ran) {
      tally.failed += 1
      return
    }
    tally.ran += 1
    tally.latency.record(latencyMilliseconds)
  }
}

function increment<Key> (counts: Map<Key, number>, key: Key): void {
  counts.set(key, (counts.get(key) ?? 0) + 1)
}

function summarizeStream (tally: StreamTally): StreamSummary {
  const countOutcome = (outcome: Outcome | undefined): number => tally.outcomes.get(outcome) ?? 0
  return {
    service: tally.service,
    requestClass: tally.requestClass,
    requests: tally.requests,
    ran: countOutcome(Outcome.Ran),
    notRun: countOutcome(Outcome.NotRun),
    unknown: countOutcome(Outcome.Unknown),
    unanswered: countOutcome(undefined),
    reasons: Object.fromEntries([...tally.reasons].sort()),
    attemptsPerRequest: tally.attempts / tally.requests,
    latency: tally.latency.summarize()
  }
}

function summarizeSecond (second: number, tally: SecondTally): SecondSummary {
  return { second, ran: tally.ran, failed: tally.failed, latency: tally.latency.summarize() }
}
