import type { CrashReport } from '../crashes/CrashReport.js'
import type { Log } from '../observe/Log.js'
import type { EntryHost } from '../registry/EntryHost.js'
import type { CallPeer } from '../transport/CallPeer.js'
import { PeerMethod } from '../types/PeerMethod.js'
import { Step } from '../types/Step.js'
import { askWithHedging } from '../utils/askWithHedging.js'
import { readClocks, type ClockReading } from '../utils/ClockReading.js'
import { pause } from '../utils/pause.js'
import { ControlHostRanking } from './ControlHostRanking.js'
import type { CurrencyReply, FeedPosition, FollowReply, FollowRequest } from './FollowMessages.js'
import type { KnownState } from './KnownState.js'

/** Duration of a long poll while nothing changes. Each request carries a report, so this also sets how often an entry host reports. */
const LONG_POLL_MILLISECONDS = 500
/** Added to the long poll for the timeout of a reply: a round trip between regions takes 110 ms, and a busy host takes longer. */
const ANSWER_TIMEOUT_MILLISECONDS = 400
/** Timeout of the first reply of a control host, which carries all upstreams, over links of 1.4 Mbit/s. */
const FIRST_ANSWER_TIMEOUT_MILLISECONDS = 1_500
/** Timeout of the question whether a control host is current: a round trip between regions takes 110 ms. */
const CURRENCY_TIMEOUT_MILLISECONDS = 600
/** Delay before the next control host is asked in parallel: a round trip between regions, and some more. */
const HEDGING_DELAY_MILLISECONDS = 150
/** Delay after a search that found no control host, so that hosts that start together do not search in a busy loop. */
const RETRY_DELAY_MILLISECONDS = 100
/** How long a control host that is not current is followed before a search for another one. */
const MAXIMUM_STALE_MILLISECONDS = 600

/** Answer of a control host that tells the version of its plan. */
interface PlanAnswer {
  address: string
  planVersion: number
}

/** Dependencies of {@link ControlFollower}. */
export interface ControlFollowerOptions {
  /** Peer addresses of control hosts from the settings. */
  seeds: () => string[]
  describeHost: () => EntryHost
  known: KnownState
  /** Receives what a control host knows of upstreams that ended. */
  onCrashes: (report: CrashReport, address: string) => void
  /** Called when a control host answers that knows nothing of what this host told it before. */
  onNewFeed: (address: string) => void
  /** Called after the state of upstreams was updated. */
  onUpstreams: () => void
  onPlan: () => void
  callPeer: CallPeer
  random: () => number
  log: Log
}

/** Keeps the state of an entry host up to date by following one control host, preferably one nearby. */
export class ControlFollower {
  readonly #options: ControlFollowerOptions
  readonly #ranking: ControlHostRanking
  /** Position in the feed of each control host, so that a return to it transfers only what changed. */
  readonly #positionsByAddress = new Map<string, FeedPosition>()
  #followedAddress: string | undefined
  /** Address of the control host that replied last. */
  #lastAnsweredAddress: string | undefined
  /** When the followed control host last was current, or was chosen. */
  #staleSince = 0
  #isSearching = false
  #isRunning = false
  #lastCurrentReplyAt = Number.NEGATIVE_INFINITY

  /** @param options - seed addresses, the state to update, callbacks and the transport */
  constructor (options: ControlFollowerOptions) {
    this.#options = options
    const { seeds, describeHost, random } = options
    this.#ranking = new ControlHostRanking({ seeds, locateSelf: describeHost, random })
  }

  /** Milliseconds since the last reply of a control host that was in contact with the leader. */
  get ageMilliseconds (): number {
    return performance.now() - this.#lastCurrentReplyAt
  }

  /** Peer address of the control host that is followed, undefined during a search. */
  get followedAddress (): string | undefined {
    return this.#followedAddress
  }

  /** @returns peer addresses of all known control hosts */
  listControlHosts (): string[] {
    return this.#ranking.listAddresses()
  }

  /** @returns peer addresses of all known control hosts, those that it would prefer to follow first */
  rankControlHosts (): string[] {
    return this.#ranking.rank()
  }

  /** Follows control hosts until {@link stop}. */
  async run (): Promise<void> {
    this.#isRunning = true
    while (this.#isRunning) {
      this.#followedAddress ??= await this.#findControlHost()
      if (this.#followedAddress === undefined) await pause(RETRY_DELAY_MILLISECONDS)
      else await this.#follow(this.#followedAddress)
    }
  }

  stop (): void {
    this.#isRunning = false
  }

  /** Reports the state of this host to the followed control host at once, as before a planned stop. A failure is only logged. */
  async report (): Promise<void> {
    if (this.#followedAddress === undefined) return
    const request: FollowRequest = { entryHost: this.#options.describeHost(), position: this.#getPosition(this.#followedAddress), waitMilliseconds: 0, losses: [] }
    try {
      await this.#options.callPeer<FollowReply>(this.#followedAddress, PeerMethod.Follow, request, ANSWER_TIMEOUT_MILLISECONDS)
    } catch (error) {
      this.#options.log.warn('report-failed', { step: Step.Follow, peer: this.#followedAddress, cause: String(error) })
    }
  }

  async #follow (address: string): Promise<void> {
    const { describeHost, callPeer } = this.#options
    const request: FollowRequest = { entryHost: describeHost(), position: this.#getPosition(address), waitMilliseconds: LONG_POLL_MILLISECONDS, losses: [] }
    const timeout = this.#lastAnsweredAddress === address ? LONG_POLL_MILLISECONDS + ANSWER_TIMEOUT_MILLISECONDS : FIRST_ANSWER_TIMEOUT_MILLISECONDS
    const requestedAt = readClocks()
    try {
      this.#applyReply(address, await callPeer<FollowReply>(address, PeerMethod.Follow, request, timeout), requestedAt)
    } catch (error) {
      this.#abandon(address, String(error))
    }
  }

  #applyReply (address: string, reply: FollowReply, requestedAt: ClockReading): void {
    const { known, onPlan, onCrashes, onUpstreams, log } = this.#options
    if (this.#lastAnsweredAddress !== address) log.info('control-host-followed', { step: Step.Follow, peer: address, plan: reply.position.planVersion, current: reply.isCurrent, upstreams: reply.upstreams.length, complete: reply.isComplete })
    this.#lastAnsweredAddress = address
    this.#recordPosition(address, reply.position)
    this.#ranking.updateControlHosts(reply.controlHosts)
    if (known.merge(reply)) onPlan()
    if (reply.upstreams.length > 0) onUpstreams()
    if (reply.crashes !== undefined) onCrashes(reply.crashes, address)
    // A control host may report itself as current until its leader contacts it; a newer plan known here proves that it is behind.
    const isCurrent = reply.isCurrent && this.#isPlanCurrent(reply.position)
    if (isCurrent) this.#recordCurrent(address)
    if (isCurrent && reply.position.planVersion === known.plan?.version) known.planLease.confirm(requestedAt)
    if (isCurrent) this.#searchForBetter(this.#ranking.listNearer(address))
    else if (performance.now() - this.#staleSince > MAXIMUM_STALE_MILLISECONDS) this.#searchForBetter(this.#ranking.rank().filter((other) => other !== address))
  }

  #recordCurrent (address: string): void {
    this.#lastCurrentReplyAt = performance.now()
    this.#staleSince = this.#lastCurrentReplyAt
    this.#ranking.recordSuccess(address)
  }

  #isPlanCurrent ({ planVersion }: { planVersion: number }): boolean {
    return planVersion >= (this.#options.known.plan?.version ?? 0)
  }

  /** @returns the address of a current control host, or else of the one that answers with the newest plan: it may have other updates, too */
  async #findControlHost (): Promise<string | undefined> {
    const { agreeingAddress, newestAnswer } = await this.#ask(this.#ranking.rank())
    this.#staleSince = performance.now()
    return agreeingAddress ?? newestAnswer?.address
  }

  /**
   * Searches for a better control host while the present one is followed, and switches only if one is found: a current one, or
   * else one with a newer plan, since a leader may be long in coming after a kill of all control hosts.
   */
  #searchForBetter (candidates: string[]): void {
    if (this.#isSearching || candidates.length === 0) return
    this.#isSearching = true
    this.#ask(candidates)
      .then(({ agreeingAddress, newestAnswer }) => {
        const knownVersion = this.#options.known.plan?.version ?? 0
        const betterAddress = agreeingAddress ?? (newestAnswer !== undefined && newestAnswer.planVersion > knownVersion ? newestAnswer.address : undefined)
        if (betterAddress !== undefined) this.#switchTo(betterAddress)
      })
      .finally(() => { this.#isSearching = false })
  }

  /** Asks control hosts whether they are current, and for the versions of their plans. */
  async #ask (candidates: string[]): Promise<{ agreeingAddress: string | undefined, newestAnswer: PlanAnswer | undefined }> {
    let newestAnswer: PlanAnswer | undefined
    const ask = (address: string): Promise<boolean> => this.#askCurrency(address, ({ planVersion }) => {
      if (planVersion > (newestAnswer?.planVersion ?? -1)) newestAnswer = { address, planVersion }
    })
    const agreeingAddress = await askWithHedging(candidates, ask, HEDGING_DELAY_MILLISECONDS)
    return { agreeingAddress, newestAnswer }
  }

  async #askCurrency (address: string, onAnswer: (reply: CurrencyReply) => void): Promise<boolean> {
    const { callPeer, log } = this.#options
    try {
      const reply = await callPeer<CurrencyReply>(address, PeerMethod.AskCurrency, {}, CURRENCY_TIMEOUT_MILLISECONDS)
      onAnswer(reply)
      return reply.isCurrent && this.#isPlanCurrent(reply)
    } catch (error) {
      log.info('control-host-silent', { step: Step.Follow, peer: address, cause: String(error) })
      this.#ranking.recordFailure(address)
      throw error
    }
  }

  #switchTo (address: string): void {
    if (address === this.#followedAddress) return
    this.#options.log.info('control-host-changed', { step: Step.Follow, peer: address, from: this.#followedAddress })
    this.#followedAddress = address
    this.#staleSince = performance.now()
  }

  #abandon (address: string, cause: string): void {
    this.#options.log.warn('control-host-left', { step: Step.Follow, peer: address, cause, age: Math.round(this.ageMilliseconds) })
    this.#ranking.recordFailure(address)
    if (this.#lastAnsweredAddress === address) this.#lastAnsweredAddress = undefined
    if (this.#followedAddress === address) this.#followedAddress = undefined
  }

  #recordPosition (address: string, position: FeedPosition): void {
    const previous = this.#positionsByAddress.get(address)
    if (previous?.feed !== position.feed) this.#options.onNewFeed(address)
    if (previous !== undefined && previous.feed !== position.feed) this.#options.known.discardFeed(previous.feed)
    this.#positionsByAddress.set(address, position)
  }

  #getPosition (address: string): FeedPosition {
    const { plan, evacuationRevision } = this.#options.known
    const position = this.#positionsByAddress.get(address) ?? { feed: '', revision: 0, crashRevision: 0 }
    return { ...position, planVersion: plan?.version ?? 0, evacuationRevision }
  }
}
