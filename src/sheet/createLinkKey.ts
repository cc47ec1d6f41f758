/**
 * @param region - a region
 * @param otherRegion - another region
 * @returns the same text for both directions between the two
 */
export function createLinkKey (region: string, otherRegion: string): string {
  return region < otherRegion ? `${region} ${otherRegion}` : `${otherRegion} ${region}`
}
