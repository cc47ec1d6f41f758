import { hasAgreeingSet } from './hasAgreeingSet.js'
import { EpochState, type MemberIncarnation } from './Epoch.js'
import type { LedgerEpoch } from './LedgerEpoch.js'
import { intersectingSize } from './quorumSize.js'
import type { EpochReading } from './createEpochReader.js'

/**
 * Ends a recovery when enough members were read.
 *
 * @param epoch - the recovering member's part of the epoch
 * @param reader - the recovering member with the incarnation that was sent to the other members
 * @param readings - records of the other members, read since the latest start of the recovering member
 * @returns whether the member takes part again
 */
export function applyRecoveryReadings (epoch: LedgerEpoch, reader: MemberIncarnation, readings: EpochReading[]): boolean {
  if (epoch.state !== EpochState.Recovering) return false
  for (const reading of readings) {
    epoch.mergeIncarnations(reading.incarnations)
    epoch.merge(reading.records)
  }
  if (epoch.raiseIncarnation() || epoch.self.incarnation !== reader.incarnation) return false
  if (!hasAgreeingSet(readings, intersectingSize(epoch.epoch.members.length))) return false
  epoch.changeState(chooseRecoveredState(readings))
  return true
}

/**
 * Ends a sealing when enough members accept no more claims.
 *
 * @param epoch - the sealing member's part of the epoch
 * @param readings - records of the other members, read after these stopped accepting claims
 * @returns whether the epoch is sealed
 */
export function applySealReadings (epoch: LedgerEpoch, readings: EpochReading[]): boolean {
  for (const reading of readings) epoch.merge(reading.records)
  const localReply = { member: epoch.self.address, incarnations: epoch.incarnations() }
  const isSealedElsewhere = readings.some(({ state }) => state === EpochState.Sealed)
  if (!isSealedElsewhere && !hasAgreeingSet([localReply, ...readings], intersectingSize(epoch.epoch.members.length))) return false
  epoch.changeState(EpochState.Sealed)
  return true
}

function chooseRecoveredState (readings: EpochReading[]): EpochState {
  if (readings.some(({ state }) => state === EpochState.Sealed)) return EpochState.Sealed
  return readings.some(({ state }) => state === EpochState.Sealing) ? EpochState.Sealing : EpochState.Active
}
