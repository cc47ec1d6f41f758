import type { LinkEntry, Sheet } from '../types/Sheet.js'
import { createLinkKey } from './createLinkKey.js'

/**
 * Finds the link between two regions, in either order: a sheet has one link for both directions.
 *
 * @param sheet - the sheet to search
 * @param region - name of one region
 * @param otherRegion - name of the other region
 * @returns the link, undefined when both regions are the same
 */
export function findLink (sheet: Sheet, region: string, otherRegion: string): LinkEntry | undefined {
  const key = createLinkKey(region, otherRegion)
  return sheet.links.find((link) => createLinkKey(link.fromRegion, link.toRegion) === key)
}
