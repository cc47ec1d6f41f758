/**
 * Creates the key of the link between two regions.
 *
 * @param region - name of one region
 * @param otherRegion - name of the other region
 * @returns the key, the same for both orders of the regions
 */
export function createLinkKey (region: string, otherRegion: string): string {
  return region < otherRegion ? `${region} ${otherRegion}` : `${otherRegion} ${region}`
}
