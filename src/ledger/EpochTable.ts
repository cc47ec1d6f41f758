import { StoreUsage } from './ClaimStore.js'
import { EpochState, type Epoch, type MemberIncarnation } from './Epoch.js'
import { LedgerEpoch } from './LedgerEpoch.js'
import type { LedgerLimits } from './LedgerLimits.js'
import type { MemberStatus } from './LedgerMessages.js'

const MAXIMUM_EPOCHS = 64

/** All epochs that one member holds. */
export class EpochTable {
  /** The member and its incarnation since the start of the process. */
  readonly self: MemberIncarnation
  readonly usage: StoreUsage
  /** Whether the host is stopping. */
  isLeaving = false
  readonly #epochsById = new Map<string, LedgerEpoch>()
  readonly #neededAtById = new Map<string, number>()
  #droppedThrough = ''

  /**
   * @param self - the member and its incarnation
   * @param limits - bounds over all epochs
   */
  constructor (self: MemberIncarnation, limits: LedgerLimits) {
    this.self = self
    this.usage = new StoreUsage(limits)
  }

  /**
   * @param id - id of an epoch
   * @returns the member's part of it
   */
  find (id: string): LedgerEpoch | undefined {
    return this.#epochsById.get(id)
  }

  /** @returns all parts held */
  list (): LedgerEpoch[] {
    return [...this.#epochsById.values()]
  }

  /** @returns what this member tells of itself */
  status (): MemberStatus {
    return { ...this.self, isLeaving: this.isLeaving, droppedThrough: this.#droppedThrough, epochs: this.list().map(({ epoch, state }) => ({ epoch, state })) }
  }

  /**
   * Takes part in a new epoch. A message that was opened for an earlier start of this process is refused, since
   * this member may have acknowledged claims in that epoch and forgotten them.
   *
   * @param epoch - the epoch
   * @returns whether the member holds the epoch now
   */
  open (epoch: Epoch): boolean {
    if (this.#epochsById.has(epoch.id)) return true
    const isOpenedForThisStart = epoch.members.some((member) => member.address === this.self.address && member.incarnation === this.self.incarnation)
    return isOpenedForThisStart && this.#add(epoch, EpochState.Active) !== undefined
  }

  /**
   * Starts to hold an epoch that other members told of.
   *
   * @param epoch - the epoch
   * @returns the part to be recovered or filled, undefined when it is held already or was dropped
   */
  adopt (epoch: Epoch): LedgerEpoch | undefined {
    return this.#epochsById.has(epoch.id) ? undefined : this.#add(epoch, EpochState.Recovering)
  }

  /**
   * Notes that tickets of an epoch are handed out now.
   *
   * @param id - id of the epoch
   */
  markNeeded (id: string): void {
    if (this.#epochsById.has(id)) this.#neededAtById.set(id, performance.now())
  }

  /**
   * Drops expired records, and epochs that no ticket can be of.
   *
   * @param recordsBefore - drops records whose tickets expired up to this time
   * @param epochsBefore - drops empty epochs that were last needed up to this monotonic time
   */
  removeExpired (recordsBefore: number, epochsBefore: number): void {
    for (const ledgerEpoch of this.list()) {
      ledgerEpoch.removeExpired(recordsBefore)
      const id = ledgerEpoch.epoch.id
      if (ledgerEpoch.size > 0 || (this.#neededAtById.get(id) ?? 0) > epochsBefore) continue
      this.#epochsById.delete(id)
      this.#neededAtById.delete(id)
      if (id > this.#droppedThrough) this.#droppedThrough = id
    }
  }

  #add (epoch: Epoch, state: EpochState): LedgerEpoch | undefined {
    if (epoch.id <= this.#droppedThrough || this.#epochsById.size >= MAXIMUM_EPOCHS) return undefined
    const ledgerEpoch = new LedgerEpoch(epoch, this.self, state, this.usage)
    this.#epochsById.set(epoch.id, ledgerEpoch)
    this.#neededAtById.set(epoch.id, performance.now())
    return ledgerEpoch
  }
}
