import type { Counters } from '../observe/Counters.js'
import type { Log } from '../observe/Log.js'
import type { CallPeer } from '../transport/CallPeer.js'
import { PeerMethod } from '../types/PeerMethod.js'
import { Step } from '../types/Step.js'
import { createEpochId } from './createEpochId.js'
import { EpochState, type Epoch } from './Epoch.js'
import { EpochPlanner } from './EpochPlanner.js'
import type { EpochTable } from './EpochTable.js'
import { findCurrentEpoch, isComplete, listEpochs, listMembersIn } from './epochViews.js'
import type { LedgerEpoch } from './LedgerEpoch.js'
import type { MemberStatus, OpenReply } from './LedgerMessages.js'
import type { LedgerTimings } from './LedgerTimings.js'
import { quorumSize } from './quorumSize.js'
import { createEpochReader, type EpochReader } from './createEpochReader.js'
import { readStatuses } from './readStatuses.js'
import { recoverEpoch } from './recoverEpoch.js'
import { sealEpoch } from './sealEpoch.js'

/** Minimum number of staying members at which an epoch must be active for its claims to be safe without this member. */
const MINIMUM_REMAINING_MEMBERS = 2

/** Dependencies of {@link EpochManager}. */
export interface EpochManagerOptions {
  self: string
  domain: string
  hosts: string[]
  callPeer: CallPeer
  log: Log
  counters: Counters
}

/** Recovers, copies, opens and seals the epochs at one member. */
export class EpochManager {
  readonly #table: EpochTable
  readonly #options: EpochManagerOptions
  readonly #timings: LedgerTimings
  readonly #planner: EpochPlanner
  readonly #readForRecovery: EpochReader
  readonly #readForSealing: EpochReader
  #otherStatuses: MemberStatus[] = []

  /**
   * @param table - epochs that the member holds
   * @param options - addresses, transport, log and counters
   * @param timings - intervals and timeouts
   */
  constructor (table: EpochTable, options: EpochManagerOptions, timings: LedgerTimings) {
    this.#table = table
    this.#options = options
    this.#timings = timings
    this.#planner = new EpochPlanner(options.self, options.hosts, timings)
    this.#readForRecovery = createEpochReader(options.callPeer, PeerMethod.LedgerRecover, timings.callMilliseconds)
    this.#readForSealing = createEpochReader(options.callPeer, PeerMethod.LedgerSeal, timings.callMilliseconds)
  }

  /**
   * Reads the statuses of the other hosts, then recovers, opens and seals epochs as they require.
   *
   * @returns whether all hosts take part in the current epoch and no epoch waits to be recovered or sealed
   */
  async runRound (): Promise<boolean> {
    const others = this.#options.hosts.filter((address) => address !== this.#options.self)
    const otherStatuses = await readStatuses(this.#options.callPeer, others, this.#options.domain, this.#timings.statusMilliseconds)
    for (const epoch of this.#listMissingEpochs(otherStatuses)) this.#table.adopt(epoch)
    await Promise.all(this.#table.list().map(async (ledgerEpoch) => { await this.#catchUp(ledgerEpoch, otherStatuses) }))
    const statuses = [this.#table.status(), ...otherStatuses]
    const current = findCurrentEpoch(statuses)
    if (current !== undefined) this.#table.markNeeded(current.id)
    if (this.#planner.needsNewEpoch(statuses, performance.now())) await this.#openEpoch(statuses)
    for (const id of this.#planner.listEpochsToSeal(statuses, performance.now())) await this.#sealEpoch(id)
    this.#otherStatuses = otherStatuses
    const isUnfinished = this.#table.list().some(({ state }) => state === EpochState.Recovering || state === EpochState.Sealing)
    return !isUnfinished && otherStatuses.length === others.length && isComplete(statuses, current)
  }

  /** @returns whether this member can leave: as of the latest round, every claim that it holds is safe with the hosts that stay, or none stays */
  canLeave (): boolean {
    const staying = this.#otherStatuses.filter(({ isLeaving }) => !isLeaving)
    if (staying.length === 0) return true
    return this.#table.list().every(({ epoch, state }) => {
      if (state === EpochState.Recovering || findSealedHolder(staying, epoch) !== undefined) return true
      return listMembersIn(staying, epoch, [EpochState.Active]).length >= Math.max(quorumSize(epoch.members.length), MINIMUM_REMAINING_MEMBERS)
    })
  }

  #listMissingEpochs (otherStatuses: MemberStatus[]): Epoch[] {
    const isMember = (epoch: Epoch): boolean => epoch.members.some(({ address }) => address === this.#options.self)
    return listEpochs(otherStatuses).filter((epoch) => this.#table.find(epoch.id) === undefined && (isMember(epoch) || findSealedHolder(otherStatuses, epoch) !== undefined))
  }

  async #catchUp (ledgerEpoch: LedgerEpoch, otherStatuses: MemberStatus[]): Promise<void> {
    if (ledgerEpoch.state === EpochState.Sealed) return
    const holder = findSealedHolder(otherStatuses, ledgerEpoch.epoch)
    if (holder === undefined && ledgerEpoch.state !== EpochState.Recovering) return
    const isDone = holder === undefined ? await recoverEpoch(ledgerEpoch, this.#readForRecovery) : await this.#copySealedEpoch(ledgerEpoch, holder)
    if (isDone) this.#recordEvent('ledger-epoch-recovered', ledgerEpoch.epoch.id)
  }

  async #copySealedEpoch (ledgerEpoch: LedgerEpoch, holder: string): Promise<boolean> {
    const reading = await this.#readForRecovery(holder, ledgerEpoch.epoch.id, ledgerEpoch.self)
    if (reading?.state !== EpochState.Sealed) return false
    ledgerEpoch.merge(reading.records)
    ledgerEpoch.changeState(EpochState.Sealed)
    return true
  }

  async #openEpoch (statuses: MemberStatus[]): Promise<void> {
    const droppedIds = statuses.map(({ droppedThrough }) => droppedThrough).filter((id) => id !== '')
    const knownIds = [...listEpochs(statuses).map(({ id }) => id), ...droppedIds]
    const members = statuses.filter(({ isLeaving }) => !isLeaving).map(({ address, incarnation }) => ({ address, incarnation }))
    const epoch: Epoch = { id: createEpochId(knownIds), members }
    this.#table.open(epoch)
    this.#recordEvent('ledger-epoch-opened', epoch.id)
    const others = members.filter(({ address }) => address !== this.#options.self)
    await Promise.all(others.map(async ({ address }) => {
      await this.#options.callPeer<OpenReply>(address, PeerMethod.LedgerOpen, { epoch }, this.#timings.callMilliseconds).catch(() => {})
    }))
  }

  async #sealEpoch (id: string): Promise<void> {
    const ledgerEpoch = this.#table.find(id)
    if (ledgerEpoch === undefined || !await sealEpoch(ledgerEpoch, this.#readForSealing)) return
    this.#recordEvent('ledger-epoch-sealed', id)
  }

  #recordEvent (event: string, epoch: string): void {
    this.#options.counters.increment(event.replaceAll('-', '.'))
    this.#options.log.info(event, { step: Step.Claim, peer: this.#options.self, epoch })
  }
}

function findSealedHolder (statuses: MemberStatus[], epoch: Epoch): string | undefined {
  return statuses.find(({ epochs }) => epochs.some((epochStatus) => epochStatus.epoch.id === epoch.id && epochStatus.state === EpochState.Sealed))?.address
}
