import { Step } from '../types/Step.js'
import { EntryKind } from './EntryKind.js'
import type { LogEntry } from './LogEntry.js'
import { PeerProgress } from './PeerProgress.js'
import { PeerReplication } from './PeerReplication.js'
import type { ProposalAnswer } from './ProposalAnswer.js'
import { ProposalOutcome } from './ProposalOutcome.js'
import { ReplicaRefusalReason } from './ReplicaRefusalReason.js'
import { findMember, isVoter, majorityOf, votersOf, type ReplicaConfiguration } from './ReplicaConfiguration.js'
import type { LeadershipHooks, ReplicaCore } from './ReplicaCore.js'
import { ReplicaCounter } from './ReplicaCounter.js'
import type { ReplicaMember } from './ReplicaMember.js'
import { ReplicaRole } from './ReplicaRole.js'
import { Signal } from './tasks/Signal.js'

type Settle = (answer: ProposalAnswer<unknown>) => void

/** One term of office of a leader: its tasks, its open proposals and its quorum. */
export class Leadership implements LeadershipHooks {
  readonly term: number
  readonly #core: ReplicaCore
  readonly #peers = new Map<string, PeerProgress>()
  readonly #open = new Map<number, Settle>()
  readonly #ending = new Signal()
  readonly #startedAt = performance.now()
  #durableIndex = 0
  #active = true
  #takesProposals = true

  /** @param core - the replica, just elected */
  constructor (core: ReplicaCore) {
    this.#core = core
    this.term = core.term
  }

  /**
   * Begins the term: appends its first entry and starts a task for each member.
   *
   * @param granted - identities that voted for it
   * @param askedAt - when they were asked
   */
  start (granted: string[], askedAt: number): void {
    this.#core.role = ReplicaRole.Leader
    this.#core.leader = this.#core.identity
    this.#core.hooks = this
    this.#append({ kind: EntryKind.Empty })
    for (const identity of granted) this.#peers.get(identity)?.acknowledge(askedAt)
    this.#watchQuorum()
  }

  /** Whether the term of office has not ended. */
  get isActive (): boolean {
    return this.#active
  }

  /** @returns whether a majority answered calls that were sent within the lease */
  hasQuorum (): boolean {
    const { configuration, timings } = this.#core
    if (!this.#active) return false
    const contacts = this.#sortedDescending((member) => this.#contactOf(member))
    const contact = contacts[majorityOf(configuration) - 1] ?? Number.NEGATIVE_INFINITY
    return performance.now() - contact <= timings.leaseMilliseconds
  }

  /** Whether a majority is heard and proposals are taken. */
  get takesProposals (): boolean {
    return this.#takesProposals && this.hasQuorum()
  }

  /** Takes no more proposals in this term: its lease is given up, so another may be elected within it. */
  refuseProposals (): void {
    this.#takesProposals = false
  }

  /** @returns whether another member could be elected */
  hasOtherVoters (): boolean {
    return votersOf(this.#core.configuration).some(({ identity }) => identity !== this.#core.identity)
  }

  /** @returns voters that hold the whole log once all of it is committed, the one heard last first */
  listCaughtUp (): ReplicaMember[] {
    const { configuration, commitIndex, tail } = this.#core
    if (commitIndex < tail.last.index) return []
    const heardAt = ({ identity }: ReplicaMember): number => this.#peers.get(identity)?.acknowledgedAt ?? Number.NEGATIVE_INFINITY
    return votersOf(configuration)
      .filter(({ identity }) => this.#peers.get(identity)?.matchIndex === tail.last.index)
      .sort((left, right) => heardAt(right) - heardAt(left))
  }

  /** @returns identities of voters that were not heard for so long, the longest silent first */
  listSilent (milliseconds: number): string[] {
    const until = performance.now() - milliseconds
    if (this.#startedAt > until) return []
    return votersOf(this.#core.configuration)
      .map((member) => ({ identity: member.identity, contact: this.#contactOf(member) }))
      .filter(({ contact }) => contact < until)
      .sort((left, right) => left.contact - right.contact)
      .map(({ identity }) => identity)
  }

  /** @returns whether an entry of this term is committed */
  isEstablished (): boolean {
    return this.#core.tail.termAt(this.#core.commitIndex) === this.term
  }

  /** @returns what is known of a member */
  progressOf (identity: string): PeerProgress | undefined {
    return this.#peers.get(identity)
  }

  /** Appends a value, and waits until it is committed and applied. */
  async propose (value: unknown): Promise<ProposalAnswer<unknown>> {
    return this.#propose({ kind: EntryKind.Value, value })
  }

  /** Appends a new membership, which is in force at once, and waits until it is committed. */
  async changeConfiguration (configuration: ReplicaConfiguration): Promise<ProposalAnswer<unknown>> {
    const { tail, commitIndex } = this.#core
    const pending = tail.from(commitIndex + 1).some((entry) => entry.kind === EntryKind.Configuration)
    if (pending || !this.isEstablished()) return { outcome: ProposalOutcome.NotAccepted, reason: ReplicaRefusalReason.ChangeInProgress }
    return this.#propose({ kind: EntryKind.Configuration, configuration })
  }

  /** Settles the proposal of an applied entry. */
  applied (entry: LogEntry, result: unknown): void {
    this.#open.get(entry.index)?.({ outcome: ProposalOutcome.Committed, index: entry.index, result })
    if (entry.kind === EntryKind.Configuration && !isVoter(this.#core.appliedConfiguration, this.#core.identity)) {
      this.#core.leave(ReplicaRole.Follower)
    }
  }

  /** Ends the term of office; open proposals may still be committed by a later leader. */
  ended (): void {
    this.#active = false
    this.#ending.notify()
    for (const peer of this.#peers.values()) peer.stop()
    for (const settle of [...this.#open.values()]) settle({ outcome: ProposalOutcome.Unknown, reason: ReplicaRefusalReason.LeadershipLost })
    if (this.#core.leader === this.#core.identity) this.#core.leader = undefined
    this.#core.options.counters.increment(ReplicaCounter.LeadershipLost)
    this.#core.options.log.warn('leadership-ended', { step: Step.Election, term: this.term, index: this.#core.commitIndex })
  }

  async #propose (content: Pick<LogEntry, 'kind' | 'value' | 'configuration'>): Promise<ProposalAnswer<unknown>> {
    if (!this.hasQuorum()) return { outcome: ProposalOutcome.NotAccepted, reason: ReplicaRefusalReason.NoQuorum }
    if (!this.#takesProposals) return { outcome: ProposalOutcome.NotAccepted, reason: ReplicaRefusalReason.NotLeader }
    if (this.#open.size >= this.#core.limits.openProposals) return { outcome: ProposalOutcome.NotAccepted, reason: ReplicaRefusalReason.Overloaded }
    return this.#settled(this.#append(content).index)
  }

  #settled (index: number): Promise<ProposalAnswer<unknown>> {
    return new Promise((resolve) => {
      const settle: Settle = (answer) => {
        clearTimeout(timer)
        this.#open.delete(index)
        resolve(answer)
      }
      const timeout = { outcome: ProposalOutcome.Unknown, reason: ReplicaRefusalReason.CommitTimeout }
      const timer = setTimeout(() => settle(timeout), this.#core.timings.commitMilliseconds)
      this.#open.set(index, settle)
    })
  }

  #append (content: Pick<LogEntry, 'kind' | 'value' | 'configuration'>): LogEntry {
    const entry: LogEntry = { index: this.#core.tail.last.index + 1, term: this.term, ...content }
    this.#core.append([entry]).then(() => this.#durable(entry.index), () => {})
    if (entry.kind !== EntryKind.Value) this.#updatePeers()
    for (const peer of this.#peers.values()) peer.entries.notify()
    return entry
  }

  #durable (index: number): void {
    this.#durableIndex = Math.max(this.#durableIndex, index)
    this.#advanceCommit()
  }

  /** Commits what a majority holds durably, once an entry of the own term is among it. */
  #advanceCommit (): void {
    const core = this.#core
    if (!this.#active) return
    const matches = this.#sortedDescending((member) => this.#matchOf(member))
    const index = matches[majorityOf(core.configuration) - 1] ?? 0
    if (index <= core.commitIndex || core.tail.termAt(index) !== this.term) return
    core.commitTo(index)
    for (const peer of this.#peers.values()) peer.heartbeat.notify()
  }

  #sortedDescending (measure: (member: ReplicaMember) => number): number[] {
    return votersOf(this.#core.configuration).map(measure).sort((left, right) => right - left)
  }

  #contactOf (member: ReplicaMember): number {
    if (member.identity === this.#core.identity) return performance.now()
    return this.#peers.get(member.identity)?.acknowledgedAt ?? Number.NEGATIVE_INFINITY
  }

  #matchOf (member: ReplicaMember): number {
    if (member.identity === this.#core.identity) return this.#durableIndex
    return this.#peers.get(member.identity)?.matchIndex ?? 0
  }

  #updatePeers (): void {
    const { configuration, identity, tail } = this.#core
    for (const [known, progress] of this.#peers) {
      if (findMember(configuration, known) !== undefined) continue
      progress.stop()
      this.#peers.delete(known)
    }
    for (const member of configuration.members) {
      if (member.identity === identity || this.#peers.has(member.identity)) continue
      const progress = new PeerProgress(member, tail.last.index)
      this.#peers.set(member.identity, progress)
      new PeerReplication(this.#core, progress, () => this.#advanceCommit()).run()
    }
  }

  async #watchQuorum (): Promise<void> {
    while (this.#active && this.hasQuorum()) await this.#ending.wait(this.#core.timings.heartbeatMilliseconds)
    if (this.#active) this.#core.leave(ReplicaRole.Follower)
  }
}
