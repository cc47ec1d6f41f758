import type { HostStatus } from '../../daemon/describeStatus.js'
import type { HostSample } from './HostSample.js'
import { LimitKind, type HeadroomSummary, type LimitUse } from './HeadroomSummary.js'

const MILLISECONDS_PER_SECOND = 1000
/** Rates over shorter times show bursts that are allowed. */
const MINIMUM_RATE_INTERVAL_MILLISECONDS = 900

/** What is in use of one limit at one moment, or was used of it so far. */
interface LimitReading {
  kind: LimitKind
  name: string
  limit: number
  amount: number
}

interface LimitTally {
  kind: LimitKind
  name: string
  limit: number
  fractions: number[]
}

/** Adds up which part of slots, place caps and link caps was in use. Rates are taken between two samples. */
export class HeadroomTally {
  readonly #talliesByKindAndName = new Map<string, LimitTally>()
  #rateStart: HostSample | undefined
  #sampleCount = 0
  #missingStatuses = 0

  /** @param sample - what the hosts said; later than those before */
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

  /** @returns the figures so far, by kind and name */
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

/** A host that restarted counts from zero again. */
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

/** Slots add up over hosts; a cap is one for all of them. */
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
