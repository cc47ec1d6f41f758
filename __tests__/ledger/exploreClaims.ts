import { createHash } from 'node:crypto'
import { hasAgreeingSet } from '../../src/ledger/hasAgreeingSet.js'
import { applyRecoveryReadings, applySealReadings } from '../../src/ledger/applyReadings.js'
import { StoreUsage } from '../../src/ledger/ClaimStore.js'
import { EpochState, type Epoch } from '../../src/ledger/Epoch.js'
import { LedgerEpoch } from '../../src/ledger/LedgerEpoch.js'
import { DEFAULT_LEDGER_LIMITS } from '../../src/ledger/LedgerLimits.js'
import { ClaimVerdict, type ClaimReply } from '../../src/ledger/LedgerMessages.js'
import { quorumSize } from '../../src/ledger/quorumSize.js'
import type { EpochReading } from '../../src/ledger/createEpochReader.js'

const CLAIMANTS = ['x', 'y']
const KEY = 'key'

/** Maximum number of each fault in an exploration. */
export interface ExplorationBounds {
  members: number
  restarts: number
  seals: number
  /** How often a claim may reach each member. */
  deliveries: number
}

/** One message or fault: its kind, the member at which it happens, and the claimant or the reading member. */
interface Action {
  kind: 'claim' | 'restart' | 'read' | 'finish' | 'seal' | 'seal-read'
  at: number
  from: number
}

/** One sequence of actions on real {@link LedgerEpoch} objects, with every message delivered by the explorer. */
class ExploredRun {
  readonly #bounds: ExplorationBounds
  readonly #epoch: Epoch
  readonly members: LedgerEpoch[]
  readonly #readings: EpochReading[][]
  readonly #replies: ClaimReply[][] = CLAIMANTS.map(() => [])
  readonly #deliveries: number[][]
  readonly #sealer = { member: -1, incarnation: 0 }
  readonly granted = new Set<string>()
  #restarts = 0
  #seals = 0

  constructor (bounds: ExplorationBounds) {
    this.#bounds = bounds
    const indexes = Array.from({ length: bounds.members }, (_, index) => index)
    this.#epoch = { id: 'e', members: indexes.map((index) => ({ address: `${index}`, incarnation: 1 })) }
    this.members = indexes.map((index) => this.#createMember(index, 1, EpochState.Active))
    this.#readings = indexes.map(() => [])
    this.#deliveries = CLAIMANTS.map(() => indexes.map(() => 0))
  }

  listActions (): Action[] {
    return this.members.flatMap((member, at) => [
      ...[...CLAIMANTS.keys()].filter((from) => this.#deliveries[from]![at]! < this.#bounds.deliveries).map((from): Action => ({ kind: 'claim', at, from })),
      ...(this.#restarts < this.#bounds.restarts ? [{ kind: 'restart', at, from: 0 } as const] : []),
      ...(member.state === EpochState.Recovering ? this.#listRecoveryActions(at) : []),
      ...this.#listSealActions(member, at)
    ])
  }

  apply ({ kind, at, from }: Action): void {
    if (kind === 'claim') this.#claim(at, from)
    if (kind === 'restart') this.#restart(at)
    if (kind === 'read') this.#readForRecovery(at, from)
    if (kind === 'finish') applyRecoveryReadings(this.members[at]!, this.members[at]!.self, this.#readings[at]!)
    if (kind === 'seal') this.#beginSeal(at)
    if (kind === 'seal-read') this.#readForSealing(at, from)
  }

  isViolated (): boolean {
    const isSealedUnclaimed = this.members.some((member) => member.state === EpochState.Sealed && this.#probe(member) === ClaimVerdict.Unclaimed)
    return this.granted.size > 1 || (this.granted.size > 0 && isSealedUnclaimed)
  }

  computeFingerprint (): string {
    const members = this.members.map((member) => [member.state, member.self.incarnation, member.incarnations(), this.#listHeldClaims(member)])
    const state = JSON.stringify([members, this.#readings, this.#replies, this.#deliveries, this.#sealer, this.#restarts, this.#seals, [...this.granted]])
    return createHash('sha1').update(state).digest('base64')
  }

  #listRecoveryActions (at: number): Action[] {
    const others = [...this.members.keys()].filter((from) => from !== at && !this.#readings[at]!.some(({ member }) => member === `${from}`))
    return [...others.map((from): Action => ({ kind: 'read', at, from })), { kind: 'finish', at, from: 0 }]
  }

  #listSealActions (member: LedgerEpoch, at: number): Action[] {
    const isSealer = this.#sealer.member === at && this.#sealer.incarnation === member.self.incarnation && member.state === EpochState.Sealing
    if (isSealer) return [...this.members.keys()].filter((from) => from !== at).map((from) => ({ kind: 'seal-read', at, from }))
    return this.#seals < this.#bounds.seals && member.state !== EpochState.Recovering ? [{ kind: 'seal', at, from: 0 }] : []
  }

  #claim (at: number, from: number): void {
    this.#deliveries[from]![at]! += 1
    const claim = CLAIMANTS[from]!
    const reply = this.members[at]!.claim({ epoch: 'e', key: KEY, claim, bodyDigest: 'd', expiresAt: 1, runMilliseconds: 1e9 }, 0)
    if (reply.verdict === ClaimVerdict.Acknowledged) this.#replies[from]!.push(reply)
    if (combineOneReplyPerMember(this.#replies[from]!).some((replies) => hasAgreeingSet(replies, quorumSize(this.members.length)))) this.granted.add(claim)
  }

  #restart (at: number): void {
    this.#restarts += 1
    this.#readings[at] = []
    this.members[at] = this.#createMember(at, this.members[at]!.self.incarnation + 1, EpochState.Recovering)
  }

  #readForRecovery (at: number, from: number): void {
    const page = this.members[from]!.readPage({ epoch: 'e', reader: this.members[at]!.self, after: 0 })
    if (page.state !== EpochState.Recovering) this.#readings[at]!.push(toReading(page))
  }

  #beginSeal (at: number): void {
    this.#seals += 1
    this.#readings[at] = []
    Object.assign(this.#sealer, { member: at, incarnation: this.members[at]!.self.incarnation })
    if (this.members[at]!.state === EpochState.Active) this.members[at]!.changeState(EpochState.Sealing)
    applySealReadings(this.members[at]!, [])
  }

  #readForSealing (at: number, from: number): void {
    const other = this.members[from]!
    if (other.state === EpochState.Recovering) return
    if (other.state === EpochState.Active) other.changeState(EpochState.Sealing)
    const reading = toReading(other.readPage({ epoch: 'e', reader: this.members[at]!.self, after: 0 }))
    this.#readings[at] = [...this.#readings[at]!.filter(({ member }) => member !== reading.member), reading]
    applySealReadings(this.members[at]!, this.#readings[at])
  }

  #createMember (index: number, incarnation: number, state: EpochState): LedgerEpoch {
    return new LedgerEpoch(this.#epoch, { address: `${index}`, incarnation }, state, new StoreUsage(DEFAULT_LEDGER_LIMITS))
  }

  #listHeldClaims (member: LedgerEpoch): string[] {
    if (member.state === EpochState.Recovering) return []
    return member.readPage({ epoch: 'e', reader: member.self, after: 0 }).records.flatMap(({ claims }) => claims.map(({ claim }) => claim)).sort()
  }

  #probe (member: LedgerEpoch): ClaimVerdict {
    return member.claim({ epoch: 'e', key: KEY, claim: 'probe', bodyDigest: 'd', expiresAt: 1, runMilliseconds: 1e9 }, 0).verdict
  }
}

/**
 * Visits every reachable state of two claimants of one key. Checks in each that at most one claim is granted, and none in an
 * epoch that is sealed with the key unclaimed.
 *
 * @returns how many states were visited, and the actions that led to a violation
 */
export function exploreClaims (bounds: ExplorationBounds): { states: number, violation: string | undefined } {
  const seen = new Set<string>()
  const stack: Action[][] = [[]]
  for (let path = stack.pop(); path !== undefined; path = stack.pop()) {
    const run = replay(bounds, path)
    if (run.isViolated()) return { states: seen.size, violation: path.map(({ kind, at, from }) => `${kind} ${at} ${from}`).join(', ') }
    const fingerprint = run.computeFingerprint()
    if (seen.has(fingerprint)) continue
    seen.add(fingerprint)
    for (const action of run.listActions()) stack.push([...path, action])
  }
  return { states: seen.size, violation: undefined }
}

/**
 * Follows random paths, each to its end, and checks every state on them.
 *
 * @returns the actions that led to a violation, undefined when there was none
 */
export function sampleClaims (bounds: ExplorationBounds, runs: number, random: () => number): string | undefined {
  for (let count = 0; count < runs; count++) {
    const run = new ExploredRun(bounds)
    const path: string[] = []
    for (let actions = run.listActions(); actions.length > 0 && path.length < 60; actions = run.listActions()) {
      const action = actions[Math.floor(random() * actions.length)]!
      path.push(`${action.kind} ${action.at} ${action.from}`)
      run.apply(action)
      if (run.isViolated()) return path.join(', ')
    }
  }
  return undefined
}

function replay (bounds: ExplorationBounds, path: Action[]): ExploredRun {
  const run = new ExploredRun(bounds)
  for (const action of path) run.apply(action)
  return run
}

/** @returns every choice of one reply of each member: a claimant counts only one of them, and it may be any */
function combineOneReplyPerMember (replies: ClaimReply[]): ClaimReply[][] {
  const [first] = replies
  if (first === undefined) return [[]]
  const rest = combineOneReplyPerMember(replies.filter(({ member }) => member !== first.member))
  return replies.filter(({ member }) => member === first.member).flatMap((reply) => rest.map((others) => [reply, ...others]))
}

function toReading (page: ReturnType<LedgerEpoch['readPage']>): EpochReading {
  return { member: page.member.address, incarnations: page.incarnations, state: page.state!, records: page.records.map((record) => ({ ...record, ageMilliseconds: 0 })) }
}
