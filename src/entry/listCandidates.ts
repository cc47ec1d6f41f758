import type { KnownState } from '../follow/KnownState.js'
import { orderRegions } from '../placement/orderRegions.js'
import type { RankedCandidate } from '../placement/RankedCandidate.js'
import type { UpstreamLoad } from '../placement/UpstreamLoad.js'
import { computeRegionWeights } from '../placement/computeRegionWeights.js'
import type { UpstreamEntry } from '../registry/UpstreamEntry.js'
import type { UpstreamRecord } from '../registry/UpstreamRecord.js'
import { hashKey, computeScore } from '../steering/RendezvousItems.js'
import { hashText } from '../utils/hashText.js'
import type { UpstreamLoads } from './UpstreamLoads.js'

/** An upstream that a request may be sent to. */
export interface PlacementCandidate extends RankedCandidate {
  record: UpstreamRecord
  /** Position of its region in the order of the object, from 0. */
  regionRank: number
}

/** Input to the choice of upstreams that a request may be sent to. */
export interface CandidateQuery {
  service: string
  /** Determines the order of the upstreams: the same key always gives the same order. */
  placementKey: string
  /** Regions that may handle the request; all when undefined. */
  homeRegions: readonly string[] | undefined
  /** Region of this host, and so of its guests. */
  region: string
  /** Failure domain whose upstreams come first within their region; undefined for no preference. */
  preferredDomain?: string | undefined
  /** Identifiers of upstreams that must not get another attempt. */
  excludedUpstreams: ReadonlySet<string>
  regionOf: (domain: string) => string | undefined
  /** Whether this host may send a request to a cold upstream now. */
  canUseCold: (record: UpstreamRecord) => boolean
}

/**
 * Lists the upstreams that a request may be sent to, in the order of its object. Upstreams that failed recently or are
 * lost are listed only when there are no others, and one request at a time may test them; those that asked for a pause never.
 */
export function listCandidates (known: KnownState, loads: UpstreamLoads, query: CandidateQuery): PlacementCandidate[] {
  const now = performance.now()
  const { homeRegions, excludedUpstreams, regionOf, canUseCold } = query
  const keyHash = hashKey(query.placementKey)
  const allowed = listUnpaused(known, loads, query.service, now).filter(({ record }) => {
    if (excludedUpstreams.has(record.id) || known.isEvacuated(record.domain)) return false
    return homeRegions === undefined || homeRegions.includes(regionOf(record.domain) ?? '')
  })
  const isUsable = (id: string): boolean => (!loads.isLost(id) || canProbe(loads.get(id))) && loads.get(id).isTrusted(now)
  const available = allowed.filter(({ record, coldUntil }) => coldUntil <= now || canUseCold(record))
  const usable = available.filter(({ record }) => isUsable(record.id))
  // Short failures are ignored here: they would move objects to other regions and back.
  const notLost = allowed.filter(({ record }) => !loads.isLost(record.id))
  const weights = computeRegionWeights({ home: query.region, slots: sumSlotsByRegion(notLost.length > 0 ? notLost : allowed, regionOf), demand: known.demandFractionsOf(query.service) })
  const regions = orderRegions(keyHash, weights)
  return (usable.length > 0 ? usable : available)
    .map(({ record, coldUntil }) => ({
      record,
      isCold: coldUntil > now,
      isWarm: loads.warmObjects.isWarm(query.placementKey, record.id, now),
      utilization: loads.get(record.id).utilization(record.slots, now),
      regionRank: regions.indexOf(regionOf(record.domain) ?? ''),
      domainRank: record.domain === query.preferredDomain ? 0 : 1,
      score: computeScore(keyHash, hashText(record.id))
    }))
    .sort((left, right) => left.regionRank - right.regionRank || left.domainRank - right.domainRank || right.score - left.score)
}

/**
 * @returns the ready upstreams of a service that this host may send to, as far as they asked for a pause. The few others are
 * removed by their position: to look up each of hundreds among them would take several microseconds a request.
 */
function listUnpaused (known: KnownState, loads: UpstreamLoads, service: string, now: number): UpstreamEntry[] {
  const ready = known.listReady(service)
  if (!loads.hasPauses) return ready
  const unpaused = [...ready]
  for (const id of loads.listPaused()) {
    const entry = known.upstreams.get(id) ?? unpaused.find(({ record }) => record.id === id)
    if (entry === undefined || entry.record.service !== service || loads.admits(entry.record, now)) continue
    const position = unpaused.indexOf(entry)
    if (position >= 0) unpaused.splice(position, 1)
  }
  return unpaused
}

/** A single request may test an upstream that control hosts report as lost; a second failure would only take time. */
function canProbe ({ inFlight, hasFailed }: UpstreamLoad): boolean {
  return inFlight === 0 && !hasFailed
}

/** @returns the sum of the slots of the upstreams, by region */
function sumSlotsByRegion (upstreams: readonly UpstreamEntry[], regionOf: CandidateQuery['regionOf']): Map<string, number> {
  const slots = new Map<string, number>()
  for (const { record } of upstreams) {
    const region = regionOf(record.domain) ?? ''
    slots.set(region, (slots.get(region) ?? 0) + record.slots)
  }
  return slots
}
