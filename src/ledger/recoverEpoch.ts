import { applyRecoveryReadings } from './applyReadings.js'
import type { LedgerEpoch } from './LedgerEpoch.js'
import type { EpochReader } from './createEpochReader.js'
import { readOtherMembers } from './readOtherMembers.js'

/**
 * Reads the claims of an epoch from the other members after a restart. The member takes part again only after it has
 * read from so many of the others that every quorum which counted it before the restart includes one of them.
 *
 * @param epoch - the recovering member's part of the epoch
 * @param read - reads from one other member, and sends it the new incarnation
 * @returns whether the member takes part again
 */
export async function recoverEpoch (epoch: LedgerEpoch, read: EpochReader): Promise<boolean> {
  if (!epoch.isMember) return false
  const reader = epoch.self
  return applyRecoveryReadings(epoch, reader, await readOtherMembers(epoch, read))
}
