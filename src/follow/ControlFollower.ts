import type { Log } from '../observe/Log.js'
import type { EntryHost } from '../registry/EntryHost.js'
import type { PoisonRecord } from '../relay/PoisonGuard.js'
import type { CallPeer } from '../transport/CallPeer.js'
import { PeerMethod } from '../types/PeerMethod.js'
import { Step } from '../types/Step.js'
import { askInTurn } from '../utils/askInTurn.js'
import { pause } from '../utils/pause.js'
import { ControlHostRanking } from './ControlHostRanking.js'
import type { CurrencyReply, FeedPosition, FollowReply, FollowRequest } from './FollowMessages.js'
import type { KnownState } from './KnownState.js'

/** How long a control host may wait for a change; also how often an entry host reports. */
const WAIT_MILLISECONDS = 500
/** Wait for an answer beyond that: a round trip between regions takes 110 ms, and a busy host some more. */
const ANSWER_MILLISECONDS = 400
/** The first answer of a control host carries all upstreams, over links of 1.4 Mbit/s. */
const FIRST_ANSWER_MILLISECONDS = 1_500
/** Wait for a control host that is asked whether it is current: a round trip between regions takes 110 ms. */
const ASK_MILLISECONDS = 600
/** Time that one control host gets before the next one is asked beside it: a round trip between regions, and some more. */
const ASK_STEP_MILLISECONDS = 150
/** Pause after a search that found none, so that hosts that start together don't spin. */
const RETRY_MILLISECONDS = 100
/** How long a control host that is not current is followed before another is looked for. */
const STALE_MILLISECONDS = 600

/** What a follower works with. */
export interface ControlFollowerOptions {
  /** Peer addresses of control hosts from the settings. */
  seeds: () => string[]
  describeHost: () => EntryHost
  known: KnownState
  /** @returns losses to report, taken from their list */
  takeLosses: () => PoisonRecord[]
  putLossesBack: (records: PoisonRecord[]) => void
  onLosses: (records: PoisonRecord[]) => void
  onPlan: () => void
  callPeer: CallPeer
  random: () => number
  log: Log
}

/** Keeps an entry host's knowledge new by following one control host, preferably one nearby. */
export class ControlFollower {
  readonly #options: ControlFollowerOptions
  readonly #ranking: ControlHostRanking
  /** What is known of each control host's feed, so that a return to it costs only what changed. */
  readonly #positions = new Map<string, FeedPosition>()
  #current: string | undefined
  /** The control host that answered last. */
  #answered: string | undefined
  #currentSince = 0
  #isSearching = false
  #running = false
  #heardAt = Number.NEGATIVE_INFINITY

  /** @param options - whom to follow, and where the news go */
  constructor (options: ControlFollowerOptions) {
    this.#options = options
    const { seeds, describeHost, random } = options
    this.#ranking = new ControlHostRanking({ seeds, locate: describeHost, random })
  }

  /** Age of the last news from a control host that heard a leader, in milliseconds. */
  get ageMilliseconds (): number {
    return performance.now() - this.#heardAt
  }

  /** Runs until {@link stop}. */
  async run (): Promise<void> {
    this.#running = true
    while (this.#running) {
      this.#current ??= await this.#find()
      if (this.#current === undefined) await pause(RETRY_MILLISECONDS)
      else await this.#follow(this.#current)
    }
  }

  stop (): void {
    this.#running = false
  }

  /** Tells the followed control host at once how this host is, as before a planned stop. */
  async report (): Promise<void> {
    if (this.#current === undefined) return
    const request: FollowRequest = { entryHost: this.#options.describeHost(), position: this.#positionAt(this.#current), waitMilliseconds: 0, losses: [] }
    try {
      await this.#options.callPeer<FollowReply>(this.#current, PeerMethod.Follow, request, ANSWER_MILLISECONDS)
    } catch (error) {
      this.#options.log.warn('report-failed', { step: Step.Follow, peer: this.#current, cause: String(error) })
    }
  }

  async #follow (address: string): Promise<void> {
    const { describeHost, callPeer, takeLosses, putLossesBack } = this.#options
    const losses = takeLosses()
    const request: FollowRequest = { entryHost: describeHost(), position: this.#positionAt(address), waitMilliseconds: WAIT_MILLISECONDS, losses }
    const timeout = this.#answered === address ? WAIT_MILLISECONDS + ANSWER_MILLISECONDS : FIRST_ANSWER_MILLISECONDS
    try {
      this.#takeIn(address, await callPeer<FollowReply>(address, PeerMethod.Follow, request, timeout))
    } catch (error) {
      putLossesBack(losses)
      this.#leave(address, String(error))
    }
  }

  #takeIn (address: string, reply: FollowReply): void {
    const { known, onPlan, onLosses, log } = this.#options
    if (this.#answered !== address) log.info('control-host-followed', { step: Step.Follow, peer: address, plan: reply.position.planVersion, current: reply.isCurrent, upstreams: reply.upstreams.length, complete: reply.isComplete })
    this.#answered = address
    this.#notePosition(address, reply.position)
    this.#ranking.learn(reply.controlHosts)
    if (reply.losses.length > 0) onLosses(reply.losses)
    if (known.merge(reply)) onPlan()
    // A control host may take itself for current until it hears its leader; a plan known here proves that it is behind.
    const isCurrent = reply.isCurrent && this.#isNewEnough(reply.position)
    if (isCurrent) this.#noteCurrent(address)
    if (isCurrent) this.#lookFor(this.#ranking.listNearer(address))
    else if (performance.now() - this.#currentSince > STALE_MILLISECONDS) this.#lookFor(this.#ranking.rank().filter((other) => other !== address))
  }

  #noteCurrent (address: string): void {
    this.#heardAt = performance.now()
    this.#currentSince = this.#heardAt
    this.#ranking.noteSuccess(address)
  }

  #isNewEnough ({ planVersion }: { planVersion: number }): boolean {
    return planVersion >= (this.#options.known.plan?.version ?? 0)
  }

  /** @returns a control host that is current, or else one that answers: it may have other news */
  async #find (): Promise<string | undefined> {
    const { agreeing, answering } = await askInTurn(this.#ranking.rank(), (address) => this.#ask(address), ASK_STEP_MILLISECONDS)
    this.#currentSince = performance.now()
    return agreeing ?? answering
  }

  /** Looks for a better control host beside following the present one, which is kept unless one is found. */
  #lookFor (addresses: string[]): void {
    if (this.#isSearching || addresses.length === 0) return
    this.#isSearching = true
    askInTurn(addresses, (address) => this.#ask(address), ASK_STEP_MILLISECONDS)
      .then(({ agreeing }) => { if (agreeing !== undefined) this.#moveTo(agreeing) })
      .finally(() => { this.#isSearching = false })
  }

  async #ask (address: string): Promise<boolean> {
    const { callPeer, log } = this.#options
    try {
      const reply = await callPeer<CurrencyReply>(address, PeerMethod.AskCurrency, {}, ASK_MILLISECONDS)
      return reply.isCurrent && this.#isNewEnough(reply)
    } catch (error) {
      log.info('control-host-silent', { step: Step.Follow, peer: address, cause: String(error) })
      this.#ranking.noteFailure(address)
      throw error
    }
  }

  #moveTo (address: string): void {
    if (address === this.#current) return
    this.#options.log.info('control-host-changed', { step: Step.Follow, peer: address, from: this.#current })
    this.#current = address
    this.#currentSince = performance.now()
  }

  #leave (address: string, cause: string): void {
    this.#options.log.warn('control-host-left', { step: Step.Follow, peer: address, cause, age: Math.round(this.ageMilliseconds) })
    this.#ranking.noteFailure(address)
    if (this.#answered === address) this.#answered = undefined
    if (this.#current === address) this.#current = undefined
  }

  #notePosition (address: string, position: FeedPosition): void {
    const former = this.#positions.get(address)
    if (former !== undefined && former.feed !== position.feed) this.#options.known.forgetFeed(former.feed)
    this.#positions.set(address, position)
  }

  #positionAt (address: string): FeedPosition {
    const { plan, evacuationRevision } = this.#options.known
    const position = this.#positions.get(address) ?? { feed: '', revision: 0, lossRevision: 0 }
    return { ...position, planVersion: plan?.version ?? 0, evacuationRevision }
  }
}
