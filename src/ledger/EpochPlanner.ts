import { EpochState } from './Epoch.js'
import { findCurrentEpoch, isComplete, listEpochs, listMembersIn } from './epochViews.js'
import type { MemberStatus } from './LedgerMessages.js'
import type { LedgerTimings } from './LedgerTimings.js'
import { intersectingSize, quorumSize } from './quorumSize.js'

/** Number of known epochs above which delays grow, so that new epochs are opened more slowly. */
const EPOCHS_BEFORE_SLOWDOWN = 4
/** States of a member that holds claims of an epoch which is not sealed there. */
const HOLDING_STATES = [EpochState.Active, EpochState.Sealing]
/** States of a member that has its claims, as opposed to one that lost them in a restart. */
const INTACT_STATES = [EpochState.Active, EpochState.Sealing, EpochState.Sealed]

/** Decides when a member opens a new epoch, and when it seals an old one. */
export class EpochPlanner {
  readonly #self: string
  readonly #hosts: string[]
  readonly #timings: LedgerTimings
  readonly #incompleteSinceById = new Map<string, number>()
  /** Current epoch and reachable hosts in the latest round. */
  #view = ''
  #viewSince = 0

  /**
   * @param self - address of the member
   * @param hosts - addresses of all ledger hosts in the settings
   * @param timings - delays before epochs are opened or sealed
   */
  constructor (self: string, hosts: string[], timings: LedgerTimings) {
    this.#self = self
    this.#hosts = hosts
    this.#timings = timings
  }

  /**
   * @param statuses - statuses of the reachable hosts, this one included
   * @param now - monotonic time in milliseconds
   * @returns whether this member has to open a new epoch with the reachable hosts as members
   */
  needsNewEpoch (statuses: MemberStatus[], now: number): boolean {
    const reachable = statuses.filter(({ isLeaving }) => !isLeaving).map(({ address }) => address).sort()
    const current = findCurrentEpoch(statuses)
    const view = [current?.id, ...reachable].join()
    if (view !== this.#view) {
      this.#view = view
      this.#viewSince = now
    }
    if (reachable[0] !== this.#self) return false
    if (isComplete(statuses, current) || now - this.#viewSince < this.#chooseOpenDelay(statuses, current !== undefined)) return false
    this.#view = ''
    return true
  }

  /**
   * @param statuses - statuses of the reachable hosts, this one included
   * @param now - monotonic time in milliseconds
   * @returns ids of the epochs that this member has to seal
   */
  listEpochsToSeal (statuses: MemberStatus[], now: number): string[] {
    const current = findCurrentEpoch(statuses)
    const known = listEpochs(statuses)
    const leaving = statuses.filter(({ isLeaving }) => isLeaving)
    for (const id of this.#incompleteSinceById.keys()) {
      if (!known.some((epoch) => epoch.id === id)) this.#incompleteSinceById.delete(id)
    }
    return known.filter((epoch) => {
      const holders = listMembersIn(statuses, epoch, HOLDING_STATES)
      const isIntact = listMembersIn(statuses, epoch, INTACT_STATES).length === epoch.members.length && epoch.members.length >= (current?.members.length ?? 0)
      const hasSealingBegun = listMembersIn(statuses, epoch, [EpochState.Sealing]).length > 0 || listMembersIn(leaving, epoch, HOLDING_STATES).length > 0
      const isOverdue = this.#isIncompleteTooLong(epoch.id, isIntact, now)
      if (epoch.id === current?.id || holders[0] !== this.#self) return false
      return (hasSealingBegun || isOverdue) && holders.length >= intersectingSize(epoch.members.length)
    }).map(({ id }) => id)
  }

  #chooseOpenDelay (statuses: MemberStatus[], hasQuorum: boolean): number {
    if (statuses.some(({ isLeaving }) => isLeaving)) return 0
    const slowdownFactor = Math.max(1, listEpochs(statuses).length - EPOCHS_BEFORE_SLOWDOWN)
    if (hasQuorum) return this.#timings.reconfigureAfterMilliseconds * slowdownFactor
    const isFirstStart = statuses.length === this.#hosts.length && statuses.every(({ epochs }) => epochs.length === 0)
    if (isFirstStart) return 0
    const isMajority = statuses.length >= quorumSize(this.#hosts.length)
    return slowdownFactor * (isMajority ? this.#timings.openAfterMilliseconds : this.#timings.openAloneAfterMilliseconds)
  }

  #isIncompleteTooLong (id: string, isIntact: boolean, now: number): boolean {
    if (isIntact) this.#incompleteSinceById.delete(id)
    if (isIntact) return false
    const since = this.#incompleteSinceById.get(id) ?? now
    this.#incompleteSinceById.set(id, since)
    return now - since >= this.#timings.sealAfterMilliseconds
  }
}
