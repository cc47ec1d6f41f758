import { pickLessLoaded } from './pickLessLoaded.js'
import { pickWeighted } from './pickWeighted.js'
import type { PlaceShare } from './PlaceShare.js'
import type { PoolCandidate } from './PoolCandidate.js'
import type { PoolEstimates } from './PoolEstimates.js'
import { Tier, tierOf, type DomainLocation } from './Tier.js'

/** Inputs to the choice of the pool for one request. */
export interface PoolChoice {
  /** Location of the choosing host. */
  from: DomainLocation
  /** Shares in effect for the guest's place. */
  shares: PlaceShare[]
  /** Pools of the service in open places. */
  candidates: PoolCandidate[]
  /** Names of owners that cannot take this request. */
  excluded: ReadonlySet<string>
  /** Names of owners that had no free slot for this request at once; it may still wait there. */
  full: ReadonlySet<string>
  /** Estimates of the pools' load. */
  view: PoolEstimates
  /** Returns numbers from 0 (inclusive) to 1 (exclusive). */
  random: () => number
}

/** The pool chosen for a request. */
export interface ChosenPool {
  pool: PoolCandidate
  /** Whether the request may wait there; false while a nearby pool may have a free slot at once. */
  mayWait: boolean
}

/**
 * Chooses the pool for one request:
 *
 * 1. A place is picked by the planned shares, and the better of two random pools in it is chosen if it has a free slot.
 * 2. Otherwise the better of two random planned pools is picked in each tier, and the nearest one with a free slot is
 *    chosen.
 * 3. If there is none, the same is done with the pools of last resort.
 * 4. If there is none either, the pool with the shortest delay out of all these is chosen.
 *
 * Steps 2 and 3 pass over pools that are not expected to be faster than waiting at those of the steps before.
 *
 * @param choice - shares, candidates and estimates
 * @returns the pool, undefined when none is left
 */
export function choosePool (choice: PoolChoice): ChosenPool | undefined {
  const fractionsByPlace = new Map(choice.shares.map(({ place, fraction }) => [place, fraction]))
  const usable = choice.candidates.filter(({ owner, place }) => fractionsByPlace.has(place) && !choice.excluded.has(owner))
  const planned = usable.filter(({ place }) => fractionsByPlace.get(place)! > 0)
  const plannedPick = pickPlanned(choice, planned, fractionsByPlace)
  if (plannedPick !== undefined && hasFreeSlot(choice, plannedPick)) return createChosenPool(choice, usable, plannedPick)
  const nearestPicks = plannedPick === undefined ? [] : [plannedPick, ...pickPerTier(choice, planned)]
  const lastResortPicks = pickPerTier(choice, usable.filter((candidate) => !planned.includes(candidate)))
  const chosen = pickFasterWithFreeSlot(choice, nearestPicks, nearestPicks.slice(0, 1)) ?? pickFasterWithFreeSlot(choice, lastResortPicks, nearestPicks) ?? pickShortestDelay(choice, [...nearestPicks, ...lastResortPicks])
  return chosen === undefined ? undefined : createChosenPool(choice, usable, chosen)
}

/** A refusal costs a round trip, so a request may wait in another region rather than being sent back. */
function createChosenPool (choice: PoolChoice, usable: PoolCandidate[], pool: PoolCandidate): ChosenPool {
  const mayWait = !hasFreeSlot(choice, pool) || usable.length === 1 || tierOf(choice.from, pool) === Tier.OtherRegion
  return { pool, mayWait }
}

function pickPlanned (choice: PoolChoice, planned: PoolCandidate[], fractionsByPlace: Map<string, number>): PoolCandidate | undefined {
  const places = [...new Set(planned.map(({ place }) => place))].sort()
  const place = pickWeighted(places, (name) => fractionsByPlace.get(name)!, choice.random)
  return pickLessLoadedPool(choice, planned.filter((candidate) => candidate.place === place))
}

/** The better of two random pools in each tier, the nearest tier first. */
function pickPerTier (choice: PoolChoice, candidates: PoolCandidate[]): PoolCandidate[] {
  return [Tier.SameDomain, Tier.SameRegion, Tier.OtherRegion].flatMap((tier) => {
    const pick = pickLessLoadedPool(choice, candidates.filter((candidate) => tierOf(choice.from, candidate) === tier))
    return pick === undefined ? [] : [pick]
  })
}

function pickLessLoadedPool (choice: PoolChoice, candidates: PoolCandidate[]): PoolCandidate | undefined {
  return pickLessLoaded(candidates, ({ owner }) => choice.full.has(owner) ? Infinity : -choice.view.freeSlots(owner), choice.random)
}

/** The first of the picks that has a free slot and a shorter delay than all pools that it would replace. */
function pickFasterWithFreeSlot (choice: PoolChoice, picks: PoolCandidate[], replaced: PoolCandidate[]): PoolCandidate | undefined {
  const shortestDelay = Math.min(...replaced.map((candidate) => estimateDelay(choice, candidate)))
  return picks.find((pick) => hasFreeSlot(choice, pick) && estimateDelay(choice, pick) < shortestDelay)
}

function pickShortestDelay (choice: PoolChoice, picks: PoolCandidate[]): PoolCandidate | undefined {
  const delays = picks.map((pick) => estimateDelay(choice, pick))
  return picks[delays.indexOf(Math.min(...delays))]
}

function hasFreeSlot (choice: PoolChoice, candidate: PoolCandidate): boolean {
  return !choice.full.has(candidate.owner) && choice.view.freeSlots(candidate.owner) >= 1
}

/** A pool that refused the request despite free slots is at the cap of its place, and the wait for the cap is unknown. */
function estimateDelay (choice: PoolChoice, candidate: PoolCandidate): number {
  const isCapped = choice.full.has(candidate.owner) && choice.view.freeSlots(candidate.owner) >= 1
  return isCapped ? Infinity : choice.view.delayMilliseconds(candidate)
}
