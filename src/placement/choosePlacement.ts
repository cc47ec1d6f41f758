import type { RankedCandidate } from './RankedCandidate.js'

/** Fill at which all slots are taken. */
const FULL_UTILIZATION = 1
/** Fill up to which an object waits where it is warm: a queue of half the slots costs less than a cold run. */
const WARM_QUEUE_UTILIZATION = 1.5
/** Fill above which an upstream is about to shed: its queue takes some three times its slots. */
const SHED_UTILIZATION = 2
/** Upstreams that share one object. */
const MAXIMUM_UPSTREAMS_PER_OBJECT = 2

/**
 * Chooses the upstream for one request.
 *
 * Load pattern: work on an object takes a third of the time where the object was handled lately, and the slots of all
 * upstreams together are fewer than cold work needs. Each copy more costs a cold run, cold runs fill the slots, and full
 * slots push objects to further copies, until nothing is warm and the load that fitted no longer does. So an object has
 * one upstream, and a second one only while the first is overloaded; what neither takes is refused rather than run cold
 * on upstreams that are busy. Upstreams where the object is warm anyway, as after a change of the order, share its load.
 *
 * @param candidates - upstreams that may take the request, in the order of the object
 * @returns the upstream, undefined when those of the object are about to shed
 */
export function choosePlacement<Candidate extends RankedCandidate> (candidates: readonly Candidate[]): Candidate | undefined {
  const nonCold = candidates.filter((candidate) => !candidate.isCold)
  if (nonCold.length === 0) return findLeastUtilized(candidates, SHED_UTILIZATION)
  const [first, second] = nonCold
  if (first!.utilization < FULL_UTILIZATION) return first
  const warmCandidates = nonCold.filter(({ isWarm }, index) => isWarm || index === 0)
  return findLeastUtilized(warmCandidates, WARM_QUEUE_UTILIZATION) ??
    (second !== undefined && second.utilization < FULL_UTILIZATION ? second : undefined) ??
    findLeastUtilized(nonCold.filter(({ isWarm }, index) => isWarm || index < MAXIMUM_UPSTREAMS_PER_OBJECT), SHED_UTILIZATION)
}

function findLeastUtilized<Candidate extends RankedCandidate> (candidates: readonly Candidate[], utilizationLimit: number): Candidate | undefined {
  let leastUtilized: Candidate | undefined
  for (const candidate of candidates) {
    if (candidate.utilization < utilizationLimit && (leastUtilized === undefined || candidate.utilization < leastUtilized.utilization)) leastUtilized = candidate
  }
  return leastUtilized
}
