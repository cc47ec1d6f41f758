import type { HostStatus } from '../../daemon/describeStatus.js'
import type { HostSample } from './HostSample.js'
import { LimitKind, type HeadroomSummary, type LimitUse } from './HeadroomSummary.js'

const MILLISECONDS_PER_SECOND = 1000
/** Rates over shorter intervals may exceed a limit because bursts are allowed. */
const MINIMUM_RATE_INTERVAL_MILLISECONDS = 900

/** Use of one limit: the slots in use at one time, or the total of requests or bytes so far. */
interface LimitReading {
  kind: LimitKind
  name: string
  limit: number
  amount: number
}

/** Fractions of one limit that were in use, one for each sample or interval. */
interface LimitTally {
  kind: LimitKind
  name: string
  limit: number
  fractions: number[]
}

/** Measures the utilization of slots, place caps and link caps. Rates are computed between two samples. */
export class HeadroomTally {
  readonly #talliesByKindAndName = new Map<string, LimitTally>()
  /** Sample at which the interval of the next rates starts. */
  #rateStart: HostSample | undefined
  #sampleCount = 0
  #missingStatuses = 0

  /** @param sample - statuses of the hosts, newer than all samples before */
  add (sample: HostSample): void {
    this.#sampleCount += 1
    this.#missingStatuses += sample.missingStatuses
    for (const reading of sumReadings(sample.statuses.flatMap(readSlots))) this.#recordReading(reading, reading.amount)
    if (this.#rateStart === undefined) {
      this.#rateStart = sample
      return
    }
    if (sample.atMilliseconds - this.#rateStart.atMilliseconds < MINIMUM_RATE_INTERVAL_MILLISECONDS) return
    this.#addRates(this.#rateStart, sample)
    this.#rateStart = sample
  }

  /** @returns the figures so far, ordered by kind and name */
  summarize (): HeadroomSummary {
    const uses = [...this.#talliesByKindAndName.values()].map(summarizeTally)
    return { samples: this.#sampleCount, missing: this.#missingStatuses, uses: uses.sort((left, right) => composeSortKey(left).localeCompare(composeSortKey(right))) }
  }

  #addRates (earlier: HostSample, later: HostSample): void {
    const seconds = (later.atMilliseconds - earlier.atMilliseconds) / MILLISECONDS_PER_SECOND
    const earlierByRun = new Map(earlier.statuses.map((status) => [identifyRun(status), status]))
    const increases = later.statuses.flatMap((status) => {
      const earlierStatus = earlierByRun.get(identifyRun(status))
      return earlierStatus === undefined ? [] : subtractReadings(readTotals(status), readTotals(earlierStatus))
    })
    for (const reading of sumReadings(increases)) this.#recordReading(reading, reading.amount / seconds)
  }

  #recordReading ({ kind, name, limit }: LimitReading, amount: number): void {
    const key = `${kind} ${name}`
    const tally = this.#talliesByKindAndName.get(key) ?? { kind, name, limit, fractions: [] }
    tally.limit = limit
    if (limit > 0) tally.fractions.push(amount / limit)
    this.#talliesByKindAndName.set(key, tally)
  }
}

/** @returns a key of the process that reports; a restarted host counts its totals from zero again */
function identifyRun (status: HostStatus): string {
  return `${status.host.name} ${status.incarnation}`
}

function readSlots (status: HostStatus): LimitReading[] {
  return status.upstreams.filter((upstream) => upstream.granted).map((upstream) => ({
    kind: LimitKind.Slots, name: `${upstream.service} ${status.host.domain}`, limit: upstream.slots, amount: upstream.running + upstream.foreign
  }))
}

function readTotals (status: HostStatus): LimitReading[] {
  return [
    ...status.caps.map((cap) => ({ kind: LimitKind.PlaceCap, name: `${cap.service} ${cap.place}`, limit: cap.requestsPerSecond, amount: cap.admitted })),
    ...status.links.map((link) => ({ kind: LimitKind.LinkCap, name: `${link.fromRegion} to ${link.toRegion}`, limit: link.bytesPerSecond, amount: link.sentBytes }))
  ]
}

function subtractReadings (readings: LimitReading[], earlierReadings: LimitReading[]): LimitReading[] {
  return readings.map((reading) => {
    const earlierReading = earlierReadings.find(({ kind, name }) => kind === reading.kind && name === reading.name)
    return { ...reading, amount: reading.amount - (earlierReading?.amount ?? 0) }
  })
}

/** Adds up readings of several hosts. The limits of slots add up, while a cap is one limit for all hosts. */
function sumReadings (readings: LimitReading[]): LimitReading[] {
  const sums = new Map<string, LimitReading>()
  for (const reading of readings) {
    const key = `${reading.kind} ${reading.name}`
    const sum = sums.get(key)
    if (sum === undefined) {
      sums.set(key, { ...reading })
      continue
    }
    sum.amount += reading.amount
    sum.limit = reading.kind === LimitKind.Slots ? sum.limit + reading.limit : Math.max(sum.limit, reading.limit)
  }
  return [...sums.values()]
}

function summarizeTally ({ kind, name, limit, fractions }: LimitTally): LimitUse {
  const sorted = fractions.toSorted((left, right) => left - right)
  return { kind, name, limit, p50: sorted[Math.floor((sorted.length - 1) / 2)] ?? 0, max: sorted.at(-1) ?? 0 }
}

function composeSortKey ({ kind, name }: LimitUse): string {
  return `${Object.values(LimitKind).indexOf(kind)} ${name}`
}
