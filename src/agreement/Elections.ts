import { Step } from '../types/Step.js'
import { PeerMethod } from '../types/PeerMethod.js'
import { checkCall, checkJoined } from './checkCall.js'
import { isUpToDate } from './LogPosition.js'
import type { LeadershipTransferReply } from './messages/LeadershipTransferReply.js'
import type { LeadershipTransferRequest } from './messages/LeadershipTransferRequest.js'
import type { VoteReply } from './messages/VoteReply.js'
import type { VoteRequest } from './messages/VoteRequest.js'
import { isVoter, computeMajority, listVoters } from './ReplicaConfiguration.js'
import type { ReplicaCore } from './ReplicaCore.js'
import { ReplicaCounter } from './ReplicaCounter.js'
import type { ReplicaMember } from './ReplicaMember.js'
import { ReplicaRole } from './ReplicaRole.js'
import { waitForGrants } from './tasks/waitForGrants.js'
import { Signal } from './tasks/Signal.js'

/** The fields of a vote request that are the same for all voters. */
type VoteParameters = Pick<VoteRequest, 'term' | 'preVote' | 'handover'>

/** Called with the identities that voted for this replica, and the monotonic time at which it requested the votes. */
export type ElectionWonCallback = (grantedBy: string[], requestedAt: number) => void

/** Starts an election after the election timeout without leader contact, and answers vote requests of candidates. */
export class Elections {
  readonly #core: ReplicaCore
  readonly #onElected: ElectionWonCallback
  readonly #stopSignal = new Signal()
  #isRunning = false

  /**
   * @param core - the replica
   * @param onElected - called when this replica has won an election
   */
  constructor (core: ReplicaCore, onElected: ElectionWonCallback) {
    this.#core = core
    this.#onElected = onElected
  }

  /** Runs until {@link stop}. */
  async run (): Promise<void> {
    this.#isRunning = true
    while (this.#isRunning) {
      const timeoutMilliseconds = this.#pickElectionTimeout()
      await this.#waitForElectionTimeout(timeoutMilliseconds)
      if (this.#isElectionDue(timeoutMilliseconds)) await this.#campaign()
    }
  }

  stop (): void {
    this.#isRunning = false
    this.#stopSignal.notify()
  }

  /** Answers a candidate's request for a vote or pre-vote. */
  async handleVoteRequest (request: VoteRequest): Promise<VoteReply> {
    checkCall(this.#core, request)
    checkJoined(this.#core, request)
    const granted = request.preVote ? this.#canGrantPreVote(request) : this.#grantVoteIfAllowed(request)
    const reply = { term: this.#core.term, granted }
    if (!granted) this.#core.options.counters.increment(ReplicaCounter.VoteRefused)
    await this.#core.waitForDurableVote()
    return reply
  }

  /** Answers a leadership transfer: starts an election at once, without a pre-vote. */
  async handleLeadershipTransfer (request: LeadershipTransferRequest): Promise<LeadershipTransferReply> {
    checkCall(this.#core, request)
    checkJoined(this.#core, request)
    const accepted = this.#canTakeLeadership(request)
    if (accepted) this.#startElection(true)
    return { term: this.#core.term, accepted }
  }

  #canTakeLeadership (request: LeadershipTransferRequest): boolean {
    const { role, term, leader, tail, configuration, identity } = this.#core
    if (!this.#isRunning || role !== ReplicaRole.Follower) return false
    if (request.term !== term || request.sender !== leader) return false
    return isVoter(configuration, identity) && isUpToDate(tail.last, request.last)
  }

  #canGrantPreVote (request: VoteRequest): boolean {
    const core = this.#core
    return request.term > core.term && !this.#core.hasLeader() && isUpToDate(request.last, core.tail.last)
  }

  #grantVoteIfAllowed (request: VoteRequest): boolean {
    const core = this.#core
    if (request.term < core.term || (!request.handover && this.#core.hasLeader())) return false
    if (request.term > core.term) core.becomeFollower(request.term)
    if (core.votedFor !== undefined && core.votedFor !== request.sender) return false
    if (!isUpToDate(request.last, core.tail.last)) return false
    core.voteFor(request.sender)
    core.electionTimerStartedAt = performance.now()
    return true
  }

  #pickElectionTimeout (): number {
    const { minimumElectionMilliseconds, maximumElectionMilliseconds } = this.#core.timings
    return minimumElectionMilliseconds + this.#core.options.random() * (maximumElectionMilliseconds - minimumElectionMilliseconds)
  }

  async #waitForElectionTimeout (timeoutMilliseconds: number): Promise<void> {
    let remainingMilliseconds = timeoutMilliseconds
    while (this.#isRunning && remainingMilliseconds > 0) {
      await this.#stopSignal.wait(remainingMilliseconds)
      remainingMilliseconds = this.#core.electionTimerStartedAt + timeoutMilliseconds - performance.now()
    }
  }

  #isElectionDue (timeoutMilliseconds: number): boolean {
    const core = this.#core
    if (!this.#isRunning || performance.now() - core.electionTimerStartedAt < timeoutMilliseconds) return false
    if (core.role !== ReplicaRole.Follower && core.role !== ReplicaRole.Candidate) return false
    return isVoter(core.configuration, core.identity)
  }

  async #campaign (): Promise<void> {
    const core = this.#core
    core.electionTimerStartedAt = performance.now()
    core.options.counters.increment(ReplicaCounter.ElectionStarted)
    const term = core.term
    if (!await this.#requestVotes({ term: term + 1, preVote: true, handover: false }, [])) {
      core.options.counters.increment(ReplicaCounter.PreVoteLost)
      return
    }
    if (core.term !== term || core.role === ReplicaRole.Stopped || core.hasRecentLeaderContact()) return
    await this.#startElection(false)
  }

  async #startElection (isLeadershipTransfer: boolean): Promise<void> {
    const core = this.#core
    const term = core.term + 1
    core.becomeFollower(term)
    core.role = ReplicaRole.Candidate
    core.voteFor(core.identity)
    core.electionTimerStartedAt = performance.now()
    const grantedBy: string[] = []
    try {
      await core.waitForDurableVote()
    } catch {
      return
    }
    const requestedAt = performance.now()
    const isWon = await this.#requestVotes({ term, preVote: false, handover: isLeadershipTransfer }, grantedBy)
    if (!isWon || core.term !== term || core.role !== ReplicaRole.Candidate) return
    core.options.counters.increment(ReplicaCounter.ElectionWon)
    core.options.log.info('leader-elected', { step: Step.Election, term, index: core.tail.last.index })
    this.#onElected(grantedBy, requestedAt)
  }

  /** Requests the votes of all other voters and adds those that granted them to `grantedBy`. */
  #requestVotes (parameters: VoteParameters, grantedBy: string[]): Promise<boolean> {
    const core = this.#core
    const otherVoters = listVoters(core.configuration).filter((member) => member.identity !== core.identity)
    const calls = otherVoters.map(async (member) => {
      const isGranted = await this.#requestVote(member, parameters)
      if (isGranted) grantedBy.push(member.identity)
      return isGranted
    })
    return waitForGrants(calls, computeMajority(core.configuration) - 1)
  }

  async #requestVote (member: ReplicaMember, parameters: VoteParameters): Promise<boolean> {
    const core = this.#core
    const request: VoteRequest = {
      sender: core.identity,
      receiver: member.identity,
      group: core.group ?? '',
      ...parameters,
      last: core.tail.last
    }
    const reply = await core.options.callPeer<VoteReply>(member.address, PeerMethod.RequestVote, request, core.timings.callMilliseconds)
    if (reply.term > core.term) core.becomeFollower(reply.term)
    return reply.granted
  }
}
