import { PlaceState } from '../types/PlaceState.js'
import type { PlacementEntry, Sheet } from '../types/Sheet.js'
import type { PlaceShare } from './PlaceShare.js'

/**
 * Converts the placements of one service and guest place to fractions over the open places.
 *
 * @param sheet - sheet that contains the placements
 * @param placements - placements of one service and guest place
 * @returns a share for each open place; when only last resorts are open, they get equal shares
 */
export function planShares (sheet: Sheet, placements: PlacementEntry[]): PlaceShare[] {
  const openPlacements = placements.filter(({ place }) => sheet.places.get(place)?.state === PlaceState.Open)
  return normalizeShares(openPlacements.map(({ place, share }) => ({ place, fraction: share })))
}

/**
 * Scales shares to a sum of 1.
 *
 * @param shares - shares whose fractions may have any sum
 * @returns the same places with their fractions, equal ones if all of them were 0
 */
export function normalizeShares (shares: PlaceShare[]): PlaceShare[] {
  const sum = shares.reduce((total, { fraction }) => total + fraction, 0)
  return shares.map(({ place, fraction }) => ({ place, fraction: sum > 0 ? fraction / sum : 1 / shares.length }))
}
