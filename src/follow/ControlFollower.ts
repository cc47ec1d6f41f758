import type { Log } from '../observe/Log.js'
import type { ControlHost } from '../registry/ControlHost.js'
import type { EntryHost } from '../registry/EntryHost.js'
import type { PoisonRecord } from '../relay/PoisonGuard.js'
import type { CallPeer } from '../transport/CallPeer.js'
import { PeerMethod } from '../types/PeerMethod.js'
import { Step } from '../types/Step.js'
import { pause } from '../utils/pause.js'
import type { FeedPosition, FollowReply, FollowRequest } from './FollowMessages.js'
import type { KnownState } from './KnownState.js'

/** How long a control host may wait for a change; also how often an entry host reports. */
const WAIT_MILLISECONDS = 500
/** Wait for an answer beyond that: a round trip between regions takes 110 ms, and a busy host some more. */
const ANSWER_MILLISECONDS = 400
/** The first answer of a control host carries all upstreams, over links of 1.4 Mbit/s. */
const FIRST_ANSWER_MILLISECONDS = 1_500
/** Pause after a failed call, so that hosts that start together don't spin. */
const RETRY_MILLISECONDS = 100
/** How long a control host that is not current is followed before another is tried. */
const STALE_MILLISECONDS = 600

/** How long after a failure a nearer control host is followed again. */
const RETURN_MILLISECONDS = 5_000

interface RankedControlHost {
  address: string
  /** When a call to it last failed. */
  failedAt: number
  /** 0 in the own failure domain, 1 in the own region, 2 elsewhere or unknown. */
  distance: number
}

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
  #controlHosts: ControlHost[] = []
  /** What is known of each control host's feed, so that a return to it costs only what changed. */
  readonly #positions = new Map<string, FeedPosition>()
  #current: string | undefined
  /** Whether the present control host has answered. */
  #isFollowing = false
  #currentSince = 0
  readonly #failedAt = new Map<string, number>()
  #running = false
  #heardAt = Number.NEGATIVE_INFINITY

  /** @param options - whom to follow, and where the news go */
  constructor (options: ControlFollowerOptions) {
    this.#options = options
  }

  /** Age of the last news from a control host that heard a leader, in milliseconds. */
  get ageMilliseconds (): number {
    return performance.now() - this.#heardAt
  }

  /** Runs until {@link stop}. */
  async run (): Promise<void> {
    this.#running = true
    while (this.#running) {
      const address = this.#choose()
      if (address === undefined || !await this.#follow(address)) await pause(RETRY_MILLISECONDS)
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

  async #follow (address: string): Promise<boolean> {
    const { describeHost, callPeer, takeLosses, putLossesBack } = this.#options
    const losses = takeLosses()
    const request: FollowRequest = { entryHost: describeHost(), position: this.#positionAt(address), waitMilliseconds: WAIT_MILLISECONDS, losses }
    const timeout = !this.#isFollowing ? FIRST_ANSWER_MILLISECONDS : WAIT_MILLISECONDS + ANSWER_MILLISECONDS
    try {
      this.#takeIn(address, await callPeer<FollowReply>(address, PeerMethod.Follow, request, timeout))
      return true
    } catch (error) {
      putLossesBack(losses)
      this.#leave(address, String(error))
      return false
    }
  }

  #takeIn (address: string, reply: FollowReply): void {
    const { known, onPlan, onLosses, log } = this.#options
    if (!this.#isFollowing) log.info('control-host-followed', { step: Step.Follow, peer: address, plan: reply.position.planVersion, current: reply.isCurrent, upstreams: reply.upstreams.length, complete: reply.isComplete })
    this.#isFollowing = true
    this.#notePosition(address, reply.position)
    if (reply.controlHosts.length > 0) this.#controlHosts = reply.controlHosts
    if (reply.losses.length > 0) onLosses(reply.losses)
    if (known.merge(reply)) onPlan()
    const now = performance.now()
    // A control host may take itself for current until it hears its leader; a plan known here proves that it is behind.
    if (reply.isCurrent && reply.position.planVersion >= (known.plan?.version ?? 0)) {
      this.#heardAt = now
      this.#currentSince = now
      this.#failedAt.delete(address)
      this.#moveNearer(address)
    } else if (now - this.#currentSince > STALE_MILLISECONDS) this.#leave(address, 'is not current')
  }

  /** The settings name few control hosts; one nearby, known from the answers, costs less traffic between regions. */
  #moveNearer (address: string): void {
    const [nearest] = this.#rank().filter((candidate) => performance.now() - candidate.failedAt > RETURN_MILLISECONDS)
    if (nearest === undefined || nearest.distance >= this.#distance(address)) return
    this.#options.log.info('control-host-changed', { step: Step.Follow, peer: nearest.address, from: address })
    this.#current = nearest.address
    this.#currentSince = performance.now()
    this.#isFollowing = false
  }

  #leave (address: string, cause: string): void {
    this.#options.log.warn('control-host-left', { step: Step.Follow, peer: address, cause, age: Math.round(this.ageMilliseconds) })
    this.#failedAt.set(address, performance.now())
    this.#current = undefined
    this.#isFollowing = false
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

  /** Stays with the present one; else the one that failed longest ago, if ever, near ones first. */
  #choose (): string | undefined {
    if (this.#current !== undefined) return this.#current
    const ranked = this.#rank().sort((left, right) => left.failedAt === right.failedAt ? 0 : left.failedAt - right.failedAt)
    this.#current = ranked[0]?.address
    this.#currentSince = performance.now()
    return this.#current
  }

  /** @returns control hosts, near ones first, those equally near in random order */
  #rank (): RankedControlHost[] {
    return this.#listAddresses()
      .map((address) => ({ address, failedAt: this.#failedAt.get(address) ?? Number.NEGATIVE_INFINITY, distance: this.#distance(address), draw: this.#options.random() }))
      .sort((left, right) => left.distance - right.distance || left.draw - right.draw)
  }

  #listAddresses (): string[] {
    return [...new Set([...this.#controlHosts.map(({ peerAddress }) => peerAddress), ...this.#options.seeds()])]
  }

  #distance (address: string): number {
    const own = this.#options.describeHost()
    const host = this.#controlHosts.find(({ peerAddress }) => peerAddress === address)
    if (host === undefined) return 2
    if (host.domain === own.domain) return 0
    return host.region === own.region ? 1 : 2
  }
}
