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
   * @param limits - limits over all epochs together
   */
  constructor (self: MemberIncarnation, limits: LedgerLimits) {
    this.self = self
    this.usage = new StoreUsage(limits)
  }

  /**
   * @param id - id of an epoch
   * @returns the member's part of it, undefined when the member does not hold it
   */
  find (id: string): LedgerEpoch | undefined {
    return this.#epochsById.get(id)
  }

  /** @returns the member's parts of all epochs that it holds */
  list (): LedgerEpoch[] {
    return [...this.#epochsById.values()]
  }

  /** @returns status of this member and of its epochs, as sent to other hosts */
  status (): MemberStatus {
    return { ...this.self, isLeaving: this.isLeaving, droppedThrough: this.#droppedThrough, epochs: this.list().map(({ epoch, state }) => ({ epoch, state })) }
  }

  /**
   * Takes part in a new epoch. A message that opens an epoch for an earlier start of this process is refused, since
   * this member may have acknowledged claims in that epoch and lost them in the restart.
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
   * Starts to hold an epoch from the status of another member.
   *
   * @param epoch - the epoch
   * @returns the empty part, to be recovered or copied; undefined when the epoch is held already or was discarded, or the table is full
   */
  adopt (epoch: Epoch): LedgerEpoch | undefined {
    return this.#epochsById.has(epoch.id) ? undefined : this.#add(epoch, EpochState.Recovering)
  }

  /**
   * Records that tickets of an epoch are issued now.
   *
   * @param id - id of the epoch
   */
  markNeeded (id: string): void {
    if (this.#epochsById.has(id)) this.#neededAtById.set(id, performance.now())
  }

  /**
   * Discards expired records, and epochs that can have no valid ticket.
   *
   * @param recordsBefore - wall-clock time; records whose tickets expired up to it are discarded
   * @param epochsBefore - monotonic time; empty epochs that were last needed up to it are discarded
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
