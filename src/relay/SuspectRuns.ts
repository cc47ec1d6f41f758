import { randomUUID } from 'node:crypto'
import { pause } from '../utils/pause.js'
import type { Counters } from '../observe/Counters.js'
import { retryCounter } from '../observe/declareCounters.js'
import type { CallPeer } from '../transport/CallPeer.js'
import type { RegisterPeerHandler } from '../transport/PeerHandler.js'
import type { HostIdentity } from '../types/HostIdentity.js'
import { PeerMethod } from '../types/PeerMethod.js'
import { RefusalReason } from '../types/RefusalReason.js'
import { RetryReason } from '../types/RetryReason.js'
import { rankByRendezvous } from '../utils/rankByRendezvous.js'
import type { PoisonGuard, PoisonRecord } from './PoisonGuard.js'
import type { PoolRegistry } from './PoolRegistry.js'
import type { RelayedRequest } from './RelayedRequest.js'
import { SuspectPermits } from './SuspectPermits.js'
import { waitForRuns } from './waitForRuns.js'

const CALL_TIMEOUT_MILLISECONDS = 1_000
const PERMIT_RETRY_MILLISECONDS = 25
/** Maximum wait for the runs of a reported request to end; shorter than the timeout of the call that reports it. */
const MAXIMUM_RUNS_WAIT_MILLISECONDS = 800
/** Time after a request's deadline in which the death of its upstream is detected and reported. */
const LOSS_REPORT_MILLISECONDS = 3_000
/** Fraction of the time until the deadline that a suspect may wait, so that its refusal still arrives in time. */
const WAIT_FRACTION = 0.95

/** Report of a host to all others on requests whose upstream died. */
interface PoisonReport {
  losses: PoisonRecord[]
  /** Losses of requests that have run to completion since. */
  forgiven: PoisonRecord[]
  /** Holder of the permits that block runs of these requests until all hosts know the losses. */
  holder: string
}

interface PoisonReportReply {
  losses: PoisonRecord[]
}

/** Request for a permit, or its return. */
interface PermitRequest extends PoisonRecord {
  holder: string
  /** Requested lifetime of the permit, 0 to return it. */
  milliseconds: number
}

interface PermitReply {
  isGranted: boolean
  lostUpstreams: string[]
}

/** Dependencies of {@link SuspectRuns}. */
export interface SuspectRunsOptions {
  poison: PoisonGuard
  pools: PoolRegistry
  self: HostIdentity
  /** All other hosts that can be reached. */
  otherHosts: () => HostIdentity[]
  callPeer: CallPeer
  registerHandler: RegisterPeerHandler
  counters: Counters
}

/**
 * Ensures that only one copy of each suspect runs at a time over all hosts that reach each other. For each request one
 * host grants the permits: the first live host in rendezvous order.
 */
export class SuspectRuns {
  readonly #options: SuspectRunsOptions
  readonly #permits = new SuspectPermits()

  /** @param options - peers, pools and poison guard */
  constructor (options: SuspectRunsOptions) {
    this.#options = options
    options.registerHandler(PeerMethod.PoisonReport, (report: PoisonReport) => this.#receiveReport(report))
    options.registerHandler(PeerMethod.SuspectPermit, (parameters: PermitRequest) => this.#answerPermitRequest(parameters))
  }

  /**
   * Reports losses to all other hosts and merges the losses that they know. Resolves when the copies of these requests
   * that were in flight at other hosts have ended, or the wait has timed out; none of these requests gets a permit before.
   *
   * @param losses - requests and the upstreams that they may have killed
   */
  async reportLosses (losses: PoisonRecord[]): Promise<void> {
    const { poison } = this.#options
    const holder = randomUUID()
    this.#blockPermits(losses, holder)
    const replies = await this.#sendReport({ losses, forgiven: [], holder })
    for (const loss of replies.flatMap((reply) => reply.losses)) poison.recordLoss(loss)
    await Promise.all(losses.map(async ({ fingerprint }) => { await this.#requestPermit(this.#findPermitHost(fingerprint), fingerprint, holder, 0) }))
  }

  /**
   * Reports to all other hosts that a suspect ran to completion.
   *
   * @param record - the request and the losses that made it a suspect
   */
  async reportCleared (record: PoisonRecord): Promise<void> {
    await this.#sendReport({ losses: [], forgiven: [record], holder: '' })
  }

  /**
   * Waits for the permit to run a suspect.
   *
   * @param request - the suspect
   * @returns a function that returns the permit, or the reason for the refusal
   */
  async begin (request: RelayedRequest): Promise<(() => void) | RefusalReason> {
    const { fingerprint, deadline, cancelled } = request
    const { poison, counters } = this.#options
    const holder = randomUUID()
    const waitUntil = performance.now() + (deadline - performance.now()) * WAIT_FRACTION
    while (!cancelled.aborted && performance.now() < waitUntil) {
      const permitHost = this.#findPermitHost(fingerprint)
      const returnPermit = (): void => { this.#requestPermit(permitHost, fingerprint, holder, 0).catch(() => {}) }
      const reply = await this.#requestPermit(permitHost, fingerprint, holder, deadline - performance.now() + LOSS_REPORT_MILLISECONDS)
      if (reply !== undefined && reply.lostUpstreams.length > 0) poison.recordLoss({ fingerprint, lostUpstreams: reply.lostUpstreams })
      if (reply?.isGranted === true) return returnPermit
      if (reply === undefined) returnPermit()
      if (poison.isPoison(fingerprint)) return RefusalReason.Poison
      counters.increment(retryCounter(RetryReason.SuspectRunning))
      await pause(PERMIT_RETRY_MILLISECONDS)
    }
    return cancelled.aborted ? RefusalReason.Cancelled : RefusalReason.DeadlinePassed
  }

  #findPermitHost (fingerprint: string): HostIdentity {
    const { self, otherHosts } = this.#options
    const hosts = [self, ...otherHosts()]
    const [permitHostName] = rankByRendezvous(fingerprint, hosts.map(({ name }) => name))
    return hosts.find(({ name }) => name === permitHostName) ?? self
  }

  #blockPermits (losses: PoisonRecord[], holder: string): void {
    for (const { fingerprint } of losses) {
      if (this.#findPermitHost(fingerprint).name === this.#options.self.name) this.#permits.tryTake(fingerprint, holder, LOSS_REPORT_MILLISECONDS)
    }
  }

  async #sendReport (report: PoisonReport): Promise<PoisonReportReply[]> {
    const { callPeer, otherHosts } = this.#options
    const replies = await Promise.allSettled(otherHosts().map(async ({ peerAddress }) => {
      return await callPeer<PoisonReportReply>(peerAddress, PeerMethod.PoisonReport, report, CALL_TIMEOUT_MILLISECONDS)
    }))
    return replies.flatMap((reply) => reply.status === 'fulfilled' ? [reply.value] : [])
  }

  async #receiveReport ({ losses, forgiven, holder }: PoisonReport): Promise<PoisonReportReply> {
    const { poison, pools } = this.#options
    for (const loss of losses) poison.recordLoss(loss)
    for (const loss of forgiven) poison.forgive(loss)
    this.#blockPermits(losses, holder)
    await waitForRuns(pools, new Set(losses.map(({ fingerprint }) => fingerprint)), MAXIMUM_RUNS_WAIT_MILLISECONDS)
    return { losses: losses.map(({ fingerprint }) => poison.describe(fingerprint)) }
  }

  async #requestPermit (permitHost: HostIdentity, fingerprint: string, holder: string, milliseconds: number): Promise<PermitReply | undefined> {
    const { poison, self, callPeer } = this.#options
    const permitRequest: PermitRequest = { ...poison.describe(fingerprint), holder, milliseconds }
    if (permitHost.name === self.name) return this.#answerPermitRequest(permitRequest)
    return await callPeer<PermitReply>(permitHost.peerAddress, PeerMethod.SuspectPermit, permitRequest, CALL_TIMEOUT_MILLISECONDS).catch(() => undefined)
  }

  #answerPermitRequest ({ fingerprint, lostUpstreams, holder, milliseconds }: PermitRequest): PermitReply {
    const { poison } = this.#options
    if (lostUpstreams.length > 0) poison.recordLoss({ fingerprint, lostUpstreams })
    if (milliseconds === 0) this.#permits.release(fingerprint, holder)
    const isGranted = milliseconds > 0 && !poison.isPoison(fingerprint) && this.#permits.tryTake(fingerprint, holder, milliseconds)
    return { isGranted, lostUpstreams: poison.describe(fingerprint).lostUpstreams }
  }
}
