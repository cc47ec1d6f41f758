import type { KnownState } from '../follow/KnownState.js'
import { orderRegions } from '../placement/orderRegions.js'
import type { RankedCandidate } from '../placement/RankedCandidate.js'
import type { UpstreamLoad } from '../placement/UpstreamLoad.js'
import { weighRegions } from '../placement/weighRegions.js'
import type { UpstreamEntry } from '../registry/UpstreamEntry.js'
import type { UpstreamRecord } from '../registry/UpstreamRecord.js'
import { hashKey, scoreOf } from '../steering/RendezvousItems.js'
import { hashText } from '../utils/hashText.js'
import type { UpstreamLoads } from './UpstreamLoads.js'

/** An upstream that a request may go to. */
export interface PlacementCandidate extends RankedCandidate {
  record: UpstreamRecord
}

/** What decides which upstreams a request may go to. */
export interface CandidateQuestion {
  service: string
  /** What the upstreams are ordered by: the same key always meets the same order. */
  placementKey: string
  homeRegions: readonly string[]
  /** Region of this host, and so of its guests. */
  region: string
  /** Upstreams that were tried already. */
  tried: ReadonlySet<string>
  regionOf: (domain: string) => string | undefined
  /** Whether this host may send a request to a cold upstream now. */
  mayUseCold: (record: UpstreamRecord) => boolean
}

/**
 * Lists the upstreams that a request may go to, in the order of its object; those that failed lately or are silent only
 * when there is no other.
 */
export function listCandidates (known: KnownState, loads: UpstreamLoads, question: CandidateQuestion): PlacementCandidate[] {
  const now = performance.now()
  const { homeRegions, tried, regionOf, mayUseCold } = question
  const key = hashKey(question.placementKey)
  const allowed = known.listReady(question.service).filter(({ record }) => {
    if (tried.has(record.id) || known.isEvacuated(record.domain)) return false
    return homeRegions.length === 0 || homeRegions.includes(regionOf(record.domain) ?? '')
  })
  const isSound = (id: string): boolean => (!loads.isLost(id) || mayFindOut(loads.of(id))) && !loads.of(id).isAvoided(now)
  const sound = allowed.filter(({ record }) => isSound(record.id))
  // Failures of a moment don't count here: they would move objects to other regions and back.
  const present = allowed.filter(({ record }) => !loads.isLost(record.id))
  const weights = weighRegions({ home: question.region, slots: sumSlots(present.length > 0 ? present : allowed, regionOf), demand: known.demandFractionsOf(question.service) })
  const regions = orderRegions(key, weights)
  return (sound.length > 0 ? sound : allowed)
    .filter(({ record, coldUntil }) => coldUntil <= now || mayUseCold(record))
    .map(({ record, coldUntil }) => ({
      record,
      isCold: coldUntil > now,
      isWarm: loads.warmCopies.isWarm(question.placementKey, record.id, now),
      utilization: loads.of(record.id).utilization(record.slots, now),
      regionRank: regions.indexOf(regionOf(record.domain) ?? ''),
      score: scoreOf(key, hashText(record.id))
    }))
    .sort((left, right) => left.regionRank - right.regionRank || right.score - left.score)
}

/** One request finds out whether an upstream that control hosts don't hear is lost; a second failure would only take time. */
function mayFindOut ({ inFlight, hasFailed }: UpstreamLoad): boolean {
  return inFlight === 0 && !hasFailed
}

/** @returns slots of the upstreams in each region */
function sumSlots (upstreams: readonly UpstreamEntry[], regionOf: CandidateQuestion['regionOf']): Map<string, number> {
  const slots = new Map<string, number>()
  for (const { record } of upstreams) {
    const region = regionOf(record.domain) ?? ''
    slots.set(region, (slots.get(region) ?? 0) + record.slots)
  }
  return slots
}
