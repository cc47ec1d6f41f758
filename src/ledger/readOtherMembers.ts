import type { LedgerEpoch } from './LedgerEpoch.js'
import type { EpochReading, EpochReader } from './createEpochReader.js'

/**
 * Reads an epoch from all its other members in parallel.
 *
 * @param epoch - the reading member's part of the epoch
 * @param read - reads from one other member
 * @returns the readings of the members that have complete records and answered
 */
export async function readOtherMembers (epoch: LedgerEpoch, read: EpochReader): Promise<EpochReading[]> {
  const self = epoch.self
  const others = epoch.epoch.members.filter(({ address }) => address !== self.address)
  const readings = await Promise.all(others.map(async ({ address }) => await read(address, epoch.epoch.id, self)))
  return readings.filter((reading) => reading !== undefined)
}
