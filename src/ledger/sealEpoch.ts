import { applySealReadings } from './applyReadings.js'
import { EpochState } from './Epoch.js'
import type { LedgerEpoch } from './LedgerEpoch.js'
import type { EpochReader } from './createEpochReader.js'
import { readOtherMembers } from './readOtherMembers.js'

/**
 * Seals an epoch whose members cannot all come back. First this member stops accepting claims, then the others that
 * can be reached; once so many have stopped that every quorum includes one of them, their claims together are all that
 * can ever have been granted.
 *
 * @param epoch - this member's part of the epoch
 * @param read - makes one other member stop accepting claims, and reads its records
 * @returns whether the epoch is sealed
 */
export async function sealEpoch (epoch: LedgerEpoch, read: EpochReader): Promise<boolean> {
  if (epoch.state === EpochState.Recovering) return false
  if (epoch.state === EpochState.Active) epoch.changeState(EpochState.Sealing)
  return applySealReadings(epoch, await readOtherMembers(epoch, read))
}
