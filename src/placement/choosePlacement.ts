import type { RankedCandidate } from './RankedCandidate.js'

/** Utilization at which all slots are in use. */
const FULL_UTILIZATION = 1
/** Utilization up to which a request waits where its object is warm: a queue of half the slots beats a cold run. */
const WARM_QUEUE_UTILIZATION = 1.5
/** Utilization from which an upstream is about to shed requests: its queue holds about three times its slots. */
const SHED_UTILIZATION = 2
/** Upstreams that share one object, apart from those where it is warm anyway. */
const MAXIMUM_UPSTREAMS_PER_OBJECT = 2

/**
 * Chooses the upstream for one request.
 *
 * Load pattern: work on an object takes a third of the time where the object was handled recently, and all upstreams
 * together have fewer slots than cold work needs. Each additional copy of an object costs a cold run, cold runs fill
 * the slots, and full slots push objects to further upstreams, until nothing is warm and a load that used to fit no
 * longer does. So an object has one upstream, and a second one only while the first is overloaded. Requests that
 * neither can take are refused rather than run cold on busy upstreams. Upstreams where the object is warm anyway, such
 * as after a change of the order, share its load.
 *
 * @param candidates - upstreams that may take the request, in the order of the object
 * @returns the upstream, undefined when the upstreams of the object are about to shed requests
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
