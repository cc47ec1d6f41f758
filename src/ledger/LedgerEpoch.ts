import type { StoredAnswer } from './ClaimLedger.js'
import { ClaimOutcome, type ClaimRecord, type ClaimRecordCopy } from './ClaimRecord.js'
import { ClaimStore, type StoreUsage } from './ClaimStore.js'
import { EpochState, type Epoch, type MemberIncarnation } from './Epoch.js'
import { ClaimChange, ClaimVerdict, type ClaimParameters, type ClaimReply, type PageParameters, type PageReply, type UpdateParameters } from './LedgerMessages.js'
import { limitReleased, mergeRecords } from './mergeRecords.js'

const STATE_ORDER = [EpochState.Recovering, EpochState.Active, EpochState.Sealing, EpochState.Sealed]
const NONE_RELEASED: string[] = []
const MAXIMUM_PAGE_BYTES = 512 * 1024
const RECORD_OVERHEAD_BYTES = 300

/** One member's part of one epoch: its records, its state, and the incarnations of the other members. */
export class LedgerEpoch {
  readonly epoch: Epoch
  #self: MemberIncarnation
  readonly #usage: StoreUsage
  readonly #store: ClaimStore
  readonly #incarnationsByAddress = new Map<string, number>()
  #state: EpochState
  /** Never goes back: a ticket that once counted as expired must not count as valid again, since its record may be gone. */
  #latestWallTime = 0

  /**
   * @param epoch - the epoch
   * @param self - the member and its incarnation
   * @param state - initial state of the epoch at the member
   * @param usage - counts the records and answer bytes of all epochs of the member
   */
  constructor (epoch: Epoch, self: MemberIncarnation, state: EpochState, usage: StoreUsage) {
    this.epoch = epoch
    this.#self = self
    this.#state = state
    this.#usage = usage
    this.#store = new ClaimStore(usage)
    this.mergeIncarnations(epoch.members)
    this.mergeIncarnations([self])
  }

  /** The member and its incarnation. */
  get self (): MemberIncarnation {
    return this.#self
  }

  /** Whether this host is one of the epoch's members; others hold only a copy of its sealed claims. */
  get isMember (): boolean {
    return this.epoch.members.some(({ address }) => address === this.#self.address)
  }

  get state (): EpochState {
    return this.#state
  }

  get size (): number {
    return this.#store.size
  }

  /** @param state - new state; ignored if it comes before the present one */
  changeState (state: EpochState): void {
    if (STATE_ORDER.indexOf(state) > STATE_ORDER.indexOf(this.#state)) this.#state = state
  }

  /** @returns the newest known incarnation of each member of the epoch */
  incarnations (): MemberIncarnation[] {
    return [...this.#incarnationsByAddress].map(([address, incarnation]) => ({ address, incarnation }))
  }

  /** @param received - incarnations that another member knows; older ones than known here are ignored */
  mergeIncarnations (received: MemberIncarnation[]): void {
    for (const { address, incarnation } of received) {
      const isMember = this.epoch.members.some((member) => member.address === address)
      if (isMember && incarnation > (this.#incarnationsByAddress.get(address) ?? 0)) this.#incarnationsByAddress.set(address, incarnation)
    }
  }

  /**
   * Raises the incarnation of this member above the one that the others know of it, if theirs is higher,
   * as after a restart with a clock that was set back.
   *
   * @returns whether it was raised; the new incarnation must then be sent to the others
   */
  raiseIncarnation (): boolean {
    const known = this.#incarnationsByAddress.get(this.#self.address) ?? 0
    if (known <= this.#self.incarnation) return false
    this.#self = { address: this.#self.address, incarnation: known + 1 }
    this.mergeIncarnations([this.#self])
    return true
  }

  /**
   * Claims a key at this member.
   *
   * @param parameters - the claim
   * @param wallTime - present wall-clock time
   * @returns the verdict, with the incarnations of all members known here
   */
  claim (parameters: ClaimParameters, wallTime: number): ClaimReply {
    if (this.#state === EpochState.Recovering) return this.#createReply(ClaimVerdict.Recovering)
    this.#latestWallTime = Math.max(this.#latestWallTime, wallTime)
    const record = this.#store.find(parameters.key)
    if (record?.outcome !== undefined) return this.#createOutcomeReply(record)
    if (record !== undefined && record.claims.length > 0) return this.#createHeldReply(record, parameters)
    if (parameters.expiresAt <= this.#latestWallTime) return this.#createReply(ClaimVerdict.Expired)
    if (this.#state === EpochState.Sealed) return this.#createReply(ClaimVerdict.Unclaimed)
    if (this.#state === EpochState.Sealing) return this.#createReply(ClaimVerdict.Sealing)
    if (record?.released.includes(parameters.claim) === true) return this.#createReply(ClaimVerdict.Withdrawn)
    if (this.#usage.isFull()) return this.#createReply(ClaimVerdict.Full)
    this.#store.put(createRecord(parameters, record?.released ?? NONE_RELEASED))
    return this.#createReply(ClaimVerdict.Acknowledged)
  }

  /**
   * Stores the outcome or the release of a claim.
   *
   * @param parameters - the claim and its change
   * @returns false when the key is new here and the store is full
   */
  update (parameters: UpdateParameters): boolean {
    const record = this.#store.find(parameters.key)
    if (record === undefined && this.#usage.isFull()) return false
    const currentRecord = record ?? { ...createRecord(parameters, NONE_RELEASED), claims: [] }
    const updatedRecord = parameters.change === ClaimChange.Released ? releaseClaim(currentRecord, parameters.claim) : this.#applyOutcome(currentRecord, parameters)
    if (updatedRecord !== undefined) this.#store.put(updatedRecord)
    return true
  }

  /**
   * Reads a page of records for another member, and merges that member's incarnation.
   *
   * @param parameters - the reader, and the sequence number after which to start
   * @returns the page; it has no records while this member recovers
   */
  readPage (parameters: PageParameters): PageReply {
    this.mergeIncarnations([parameters.reader])
    const page: PageReply = { state: this.#state, member: this.#self, incarnations: this.incarnations(), records: [], more: false }
    if (this.#state === EpochState.Recovering) return page
    let bytes = 0
    for (const record of this.#store.changedAfter(parameters.after)) {
      if (bytes >= MAXIMUM_PAGE_BYTES) return { ...page, more: true }
      page.records.push(toRecordCopy(record))
      bytes += (record.answer?.length ?? 0) + RECORD_OVERHEAD_BYTES
    }
    return page
  }

  /** @param copies - records of another member; they are stored even when the store is full */
  merge (copies: ClaimRecordCopy[]): void {
    for (const copy of copies) {
      const { ageMilliseconds, ...fields } = copy
      const remote = { ...fields, claimedAt: performance.now() - ageMilliseconds }
      const local = this.#store.find(copy.key)
      this.#store.put(local === undefined ? remote : mergeRecords(local, remote))
    }
  }

  /** @param wallTime - wall-clock time; records whose tickets expired up to it are discarded */
  removeExpired (wallTime: number): void {
    this.#latestWallTime = Math.max(this.#latestWallTime, wallTime)
    this.#store.removeExpired(wallTime)
  }

  /** Discards all records. */
  clear (): void {
    this.#store.clear()
  }

  #applyOutcome (record: Omit<ClaimRecord, 'sequence'>, parameters: UpdateParameters): Omit<ClaimRecord, 'sequence'> | undefined {
    const { claim, bodyDigest, answer } = parameters
    if (record.outcome === ClaimOutcome.Done) return undefined
    const claims = [{ claim, bodyDigest }]
    if (parameters.change === ClaimChange.Unknown || answer === undefined) return { ...record, claims, outcome: ClaimOutcome.Unknown }
    const answerText = JSON.stringify(answer)
    return { ...record, claims, outcome: ClaimOutcome.Done, answer: this.#usage.canStore(answerText) ? answerText : undefined }
  }

  #createOutcomeReply (record: ClaimRecord): ClaimReply {
    if (record.answer === undefined) return { ...this.#createReply(ClaimVerdict.Unknown), claims: record.claims }
    return { ...this.#createReply(ClaimVerdict.Done), claims: record.claims, answer: JSON.parse(record.answer) as StoredAnswer }
  }

  #createHeldReply (record: ClaimRecord, parameters: ClaimParameters): ClaimReply {
    const isSameClaim = record.claims.length === 1 && record.claims[0]?.claim === parameters.claim
    if (isSameClaim && this.#state === EpochState.Active) return this.#createReply(ClaimVerdict.Acknowledged)
    const isOverdue = performance.now() - record.claimedAt > record.runMilliseconds
    return { ...this.#createReply(isOverdue ? ClaimVerdict.Overdue : ClaimVerdict.Running), claims: record.claims }
  }

  #createReply (verdict: ClaimVerdict): ClaimReply {
    return { verdict, member: this.#self.address, incarnations: this.incarnations(), claims: [] }
  }
}

function createRecord (parameters: ClaimParameters, released: string[]): Omit<ClaimRecord, 'sequence'> {
  const { key, claim, bodyDigest, expiresAt, runMilliseconds } = parameters
  return { key, claims: [{ claim, bodyDigest }], released, expiresAt, runMilliseconds, claimedAt: performance.now() }
}

function releaseClaim (record: Omit<ClaimRecord, 'sequence'>, claim: string): Omit<ClaimRecord, 'sequence'> | undefined {
  if (record.outcome !== undefined) return undefined
  const claims = record.claims.filter((held) => held.claim !== claim)
  return { ...record, claims, released: limitReleased([...record.released, claim]) }
}

function toRecordCopy (record: ClaimRecord): ClaimRecordCopy {
  const { claimedAt, ...fields } = record
  return { ...fields, ageMilliseconds: performance.now() - claimedAt }
}
