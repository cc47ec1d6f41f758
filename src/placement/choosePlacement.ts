import type { RankedCandidate } from './RankedCandidate.js'

/** Fill above which the next copy is used; the rest is room for what other hosts send meanwhile. */
const FULL_UTILIZATION = 0.85
/** Fill above which an upstream is about to shed: its queue takes some three times its slots. */
const SHED_UTILIZATION = 2
/** Copies of an object's state that load may spread over: each one more is a cold run more. */
const COPIES = 3

/**
 * Chooses the upstream for one request.
 *
 * Load pattern: work on an object takes a third of the time where the object was handled lately, an upstream remembers
 * some 40 objects, and the slots of all together are fewer than cold work would need. So an object stays with the first
 * upstreams of its order, and moves down the order only as far as fill demands it: overflow to any upstream with a free
 * slot makes each of them forget what it holds.
 *
 * @param candidates - upstreams that may take the request, in the order of the object
 * @returns the upstream, undefined when all are about to shed
 */
export function choosePlacement<Candidate extends RankedCandidate> (candidates: readonly Candidate[]): Candidate | undefined {
  const warm = candidates.filter((candidate) => !candidate.isCold)
  const copies = warm.slice(0, COPIES)
  return copies.find(({ utilization }) => utilization < FULL_UTILIZATION) ??
    leastUtilized(copies, 1) ??
    warm.find(({ utilization }) => utilization < 1) ??
    leastUtilized(candidates, 1) ??
    leastUtilized(candidates, SHED_UTILIZATION)
}

function leastUtilized<Candidate extends RankedCandidate> (candidates: readonly Candidate[], below: number): Candidate | undefined {
  let best: Candidate | undefined
  for (const candidate of candidates) {
    if (candidate.utilization < below && (best === undefined || candidate.utilization < best.utilization)) best = candidate
  }
  return best
}
