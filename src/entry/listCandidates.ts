import type { KnownState } from '../follow/KnownState.js'
import type { RankedCandidate } from '../placement/RankedCandidate.js'
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
  const isSound = (id: string): boolean => !known.isLost(id) && !loads.of(id).isAvoided(now)
  const sound = allowed.filter(({ record }) => isSound(record.id))
  return (sound.length > 0 ? sound : allowed)
    .filter(({ record, coldUntil }) => coldUntil <= now || mayUseCold(record))
    .map(({ record, coldUntil }) => ({ record, isCold: coldUntil > now, utilization: loads.of(record.id).utilization(record.slots, now), score: scoreOf(key, hashText(record.id)) }))
    .sort((left, right) => right.score - left.score)
}
