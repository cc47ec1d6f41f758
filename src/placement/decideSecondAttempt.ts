import { SecondDenial } from '../types/SecondDenial.js'
import type { RankedCandidate } from './RankedCandidate.js'
import type { KnownRuns } from './RouteRunTimes.js'
import type { RunTimes } from './RunTimes.js'

/** Utilization at which all slots are in use. */
const FULL_UTILIZATION = 1
/** Bounds of the percentile that the first attempt must have exceeded. */
const MINIMUM_PERCENTILE = 0.9
const MAXIMUM_PERCENTILE = 0.99
/** Age of the first attempt from which a cold run elsewhere is worth its cost, as a multiple of the median cold run. */
const FAR_PAST_COLD_RUN = 1.25
const USUAL_WORK_PERCENT = 100

/** An upstream that may get a second attempt. */
export interface SecondCandidate extends RankedCandidate {
  /** Position of its region in the order of the object, from 0. */
  regionRank: number
  /** How long work takes there at this moment, in percent of its usual time; undefined when that is not known. */
  workPercent: number | undefined
}

/** Input to the decision on a second attempt. */
export interface SecondAttemptQuery<Candidate extends SecondCandidate> {
  /** Time since the first attempt began. */
  ageMilliseconds: number
  /** Time until the deadline of the request. */
  remainingMilliseconds: number
  /** Whether the first upstream was known to hold the object. */
  isFirstWarm: boolean
  /** Whether an upstream answers faster when it has handled the same object recently. */
  isObjectBound: boolean
  runs: KnownRuns
  /** Upstreams that may take the request besides the first one, in the order of the object. */
  candidates: readonly Candidate[]
}

/**
 * @param runs - recent runs of the route at the service
 * @param isFirstWarm - whether the first upstream was known to hold the object
 * @param ratio - second attempts per request
 * @returns age in milliseconds from which a first attempt counts as slow, undefined when too few runs are known
 */
export function computeSecondAttemptDelay (runs: KnownRuns, isFirstWarm: boolean, ratio: number): number | undefined {
  const percentile = Math.min(MAXIMUM_PERCENTILE, Math.max(MINIMUM_PERCENTILE, 1 - ratio))
  return selectRuns(runs, isFirstWarm).findPercentile(percentile)
}

/**
 * Decides whether a request whose first attempt is slow gets a second one, and at which upstream.
 *
 * Load pattern: upstreams that share their machines, where work takes 2.5 times as long for 15% of the time, and 3% of the
 * work takes seven times as long. A run that only shares its machine ends soon after the usual time; one that has lasted much
 * longer will last several usual runs more, so a second attempt is likely to end first. Under full load every run is slow, and
 * second attempts would take slots from requests that have none.
 *
 * @param query - the first attempt, the recent runs and the candidates
 * @returns the upstream with the lowest expected finish, or why there is none yet
 */
export function decideSecondAttempt<Candidate extends SecondCandidate> (query: SecondAttemptQuery<Candidate>): Candidate | SecondDenial {
  const { ageMilliseconds, remainingMilliseconds, isFirstWarm, runs } = query
  let best: Candidate | undefined
  let bestMilliseconds = Number.POSITIVE_INFINITY
  for (const candidate of listAllowed(query)) {
    const milliseconds = estimateRun(query, candidate)
    if (milliseconds >= bestMilliseconds) continue
    best = candidate
    bestMilliseconds = milliseconds
  }
  if (best === undefined) return SecondDenial.NoUpstream
  const isFaster = bestMilliseconds < selectRuns(runs, isFirstWarm).findMedianRemaining(ageMilliseconds)
  return isFaster && bestMilliseconds < remainingMilliseconds ? best : SecondDenial.NotFaster
}

/** @returns upstreams with free slots in the nearest region; an upstream in another one costs its round trip, and bytes between regions */
function listAllowed<Candidate extends SecondCandidate> ({ candidates, isObjectBound, runs, ageMilliseconds }: SecondAttemptQuery<Candidate>): Candidate[] {
  const nearestRank = Math.min(...candidates.map(({ regionRank }) => regionRank))
  const coldRun = runs.other.findPercentile(0.5) ?? Number.POSITIVE_INFINITY
  const mayRunCold = !isObjectBound || ageMilliseconds >= FAR_PAST_COLD_RUN * coldRun
  return candidates.filter(({ isCold, isWarm, utilization, regionRank }) => !isCold && utilization < FULL_UTILIZATION && regionRank === nearestRank && (isWarm || mayRunCold))
}

function estimateRun<Candidate extends SecondCandidate> ({ runs, isObjectBound }: SecondAttemptQuery<Candidate>, { isWarm, workPercent = USUAL_WORK_PERCENT }: Candidate): number {
  const median = selectRuns(runs, isObjectBound && isWarm).findPercentile(0.5) ?? Number.POSITIVE_INFINITY
  return median * workPercent / USUAL_WORK_PERCENT
}

/** @returns the runs of a kind, or the others while too few of that kind are known */
function selectRuns ({ warm, other }: KnownRuns, isWarm: boolean): RunTimes {
  return isWarm && warm.isKnown ? warm : other
}
