import type { LinkEntry, Sheet } from '../types/Sheet.js'
import { createLinkKey } from './createLinkKey.js'

/**
 * Finds the link between two regions; a sheet holds it once for both directions.
 *
 * @param sheet - the sheet
 * @param region - a region
 * @param otherRegion - another region
 * @returns the link, undefined within one region
 */
export function findLink (sheet: Sheet, region: string, otherRegion: string): LinkEntry | undefined {
  const key = createLinkKey(region, otherRegion)
  return sheet.links.find((link) => createLinkKey(link.fromRegion, link.toRegion) === key)
}
