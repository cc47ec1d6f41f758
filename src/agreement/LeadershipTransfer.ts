import { PeerCallError } from '../errors/PeerCallError.js'
import { PeerMethod } from '../types/PeerMethod.js'
import { Step } from '../types/Step.js'
import { pause } from '../utils/pause.js'
import type { Leadership } from './Leadership.js'
import type { LeadershipTransferReply } from './messages/LeadershipTransferReply.js'
import type { LeadershipTransferRequest } from './messages/LeadershipTransferRequest.js'
import type { ReplicaCore } from './ReplicaCore.js'
import { ReplicaCounter } from './ReplicaCounter.js'
import type { ReplicaMember } from './ReplicaMember.js'

const POLL_MILLISECONDS = 5

/**
 * Transfers the leadership to a follower that holds the full log, as in section 3.10 of D. Ongaro,
 * "Consensus: Bridging Theory and Practice" (2014).
 */
export class LeadershipTransfer {
  readonly #core: ReplicaCore
  readonly #leadership: Leadership
  readonly #askedIdentities = new Set<string>()
  readonly #deadline: number

  /**
   * @param core - the replica that is the leader
   * @param leadership - its current leadership
   */
  constructor (core: ReplicaCore, leadership: Leadership) {
    this.#core = core
    this.#leadership = leadership
    this.#deadline = performance.now() + core.timings.handoverMilliseconds
  }

  /**
   * Accepts no more proposals, waits for the open ones, and asks one follower after another to start an election.
   *
   * @returns whether another leader was elected in time
   */
  async run (): Promise<boolean> {
    this.#leadership.refuseProposals()
    while (this.#canContinue()) {
      const [target] = this.#leadership.listCaughtUpVoters().filter(({ identity }) => !this.#askedIdentities.has(identity))
      if (target === undefined) await pause(POLL_MILLISECONDS)
      else if (await this.#requestTransfer(target)) break
    }
    await this.#waitForSuccessor()
    return this.#reportOutcome()
  }

  #canContinue (): boolean {
    return this.#leadership.hasQuorum() && this.#leadership.hasOtherVoters() && performance.now() < this.#deadline
  }

  async #requestTransfer ({ identity, address }: ReplicaMember): Promise<boolean> {
    const core = this.#core
    this.#askedIdentities.add(identity)
    const request: LeadershipTransferRequest = { sender: core.identity, receiver: identity, group: core.group ?? '', term: this.#leadership.term, last: core.tail.last }
    try {
      const { accepted } = await core.options.callPeer<LeadershipTransferReply>(address, PeerMethod.HandOver, request, this.#computeCallTimeout())
      if (!accepted) core.options.counters.increment(ReplicaCounter.LeadershipTransferRefused)
      return accepted
    } catch (error) {
      const isRefused = error instanceof PeerCallError && error.refused
      core.options.counters.increment(isRefused ? ReplicaCounter.LeadershipTransferRefused : ReplicaCounter.LeadershipTransferUnanswered)
      return false
    }
  }

  #computeCallTimeout (): number {
    return Math.max(1, Math.min(this.#core.timings.callMilliseconds, Math.ceil(this.#deadline - performance.now())))
  }

  async #waitForSuccessor (): Promise<void> {
    while (this.#askedIdentities.size > 0 && !this.#hasSuccessor() && performance.now() < this.#deadline) await pause(POLL_MILLISECONDS)
  }

  #hasSuccessor (): boolean {
    const { leader, identity, term } = this.#core
    return term > this.#leadership.term && leader !== undefined && leader !== identity
  }

  #reportOutcome (): boolean {
    const { options, leader } = this.#core
    const hasSuccessor = this.#hasSuccessor()
    options.counters.increment(hasSuccessor ? ReplicaCounter.LeadershipTransferCompleted : ReplicaCounter.LeadershipTransferAbandoned)
    options.log.info(hasSuccessor ? 'leadership-handed-over' : 'leadership-not-handed-over', { step: Step.Election, term: this.#leadership.term, peer: leader })
    return hasSuccessor
  }
}
