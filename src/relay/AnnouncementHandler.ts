import type { Counters } from '../observe/Counters.js'
import type { Log } from '../observe/Log.js'
import { recordIdleFailure } from '../observe/recordIdleFailure.js'
import { refusalCounter } from '../observe/declareCounters.js'
import type { HostIdentity } from '../types/HostIdentity.js'
import { RefusalReason } from '../types/RefusalReason.js'
import { Step } from '../types/Step.js'
import { rankByRendezvous } from '../utils/rankByRendezvous.js'
import { UpstreamState, type Announcement, type AnnouncementAnswer } from './Announcement.js'
import type { PoolRegistry } from './PoolRegistry.js'
import { Upstream } from './Upstream.js'
import type { UpstreamPool } from './UpstreamPool.js'

const MAXIMUM_REDIRECTS = 2
/** How long an upstream that was redirected repeatedly stays with the host that accepted it, while the hosts' views converge. */
const RETENTION_MILLISECONDS = 5_000
const MAXIMUM_DEPARTED_UPSTREAMS = 32

/** Dependencies and timing of an {@link AnnouncementHandler}. */
export interface AnnouncementHandlerOptions {
  self: HostIdentity
  incarnation: number
  leaseMilliseconds: number
  announcementMilliseconds: number
  pools: PoolRegistry
  /** Live hosts of the local failure domain that accept new work; includes the local host unless it is stopping. */
  domainHosts: () => HostIdentity[]
  counters: Counters
  log: Log
}

/**
 * Answers the announcements of upstreams and tracks their grants.
 * An upstream decides which host may dispatch to it: it grants one host at a time. A grant is counted from the echoed
 * stamp, a time before the announcement was sent, so this host never considers it valid for longer than the upstream does.
 */
export class AnnouncementHandler {
  readonly #options: AnnouncementHandlerOptions
  readonly #departed: Upstream[] = []

  /** @param options - identity, pools and timing */
  constructor (options: AnnouncementHandlerOptions) {
    this.#options = options
  }

  /**
   * Applies and answers an announcement.
   *
   * @param announcement - announcement of an upstream
   * @returns the answer, undefined for an announcement that is not newer than the last one accepted from the same process
   */
  handle (announcement: Announcement): AnnouncementAnswer | undefined {
    const pool = this.#options.pools.ensure(announcement.service)
    const existing = pool.upstreams.get(announcement.address)
    if (existing?.identity === announcement.identity && announcement.sequence <= existing.sequence) {
      this.#options.counters.increment(refusalCounter(RefusalReason.StaleAnnouncement))
      return undefined
    }
    const owner = this.#chooseOwner(announcement, existing)
    const upstream = owner.name === this.#options.self.name ? this.#acceptAnnouncement(pool, announcement) : this.#releaseUpstream(pool, announcement)
    pool.serveQueue()
    return this.#createAnswer(announcement, owner, upstream)
  }

  /** The most recently removed upstreams, oldest first. */
  get departed (): readonly Upstream[] {
    return this.#departed
  }

  /** Removes upstreams whose grant has ended or did not arrive within one lease, unless they still run requests of this host. */
  removeExpired (): void {
    for (const pool of this.#options.pools.list()) {
      for (const upstream of pool.upstreams.values()) {
        if (upstream.isUsable() || upstream.running > 0 || upstream.ageMilliseconds < this.#options.leaseMilliseconds) continue
        if (upstream.state === UpstreamState.Leaving && upstream.isGranted()) continue
        this.#removeUpstream(pool, upstream)
      }
      pool.serveQueue()
    }
  }

  /** Removes an upstream that died. */
  removeDead (upstream: Upstream): void {
    upstream.endGrant()
    const pool = this.#options.pools.find(upstream.service)
    if (pool === undefined) return
    this.#removeUpstream(pool, upstream)
    pool.serveQueue()
  }

  #chooseOwner (announcement: Announcement, existing: Upstream | undefined): HostIdentity {
    const hosts = this.#options.domainHosts()
    const self = hosts.find((host) => host.name === this.#options.self.name)
    const isRetained = existing?.identity === announcement.identity && performance.now() < existing.retainedUntil
    if (self !== undefined && (announcement.redirects >= MAXIMUM_REDIRECTS || isRetained)) return self
    const [ownerName] = rankByRendezvous(announcement.service, hosts.map((host) => host.name))
    return hosts.find((host) => host.name === ownerName) ?? this.#options.self
  }

  #acceptAnnouncement (pool: UpstreamPool, announcement: Announcement): Upstream {
    const upstream = this.#findOrCreate(pool, announcement)
    const now = performance.now()
    upstream.update(announcement)
    if (announcement.redirects >= MAXIMUM_REDIRECTS) upstream.retainedUntil = now + RETENTION_MILLISECONDS
    if (announcement.heldBy !== undefined && announcement.heldBy.host !== this.#options.self.name) {
      upstream.deferGrant(now + announcement.heldBy.remainingMilliseconds)
    }
    const echo = announcement.echo
    if (echo?.host === this.#options.self.name && echo.incarnation === this.#options.incarnation && echo.stamp <= now) {
      upstream.extendGrant(echo.stamp + this.#options.leaseMilliseconds)
    }
    return upstream
  }

  #findOrCreate (pool: UpstreamPool, announcement: Announcement): Upstream {
    const existing = pool.upstreams.get(announcement.address)
    if (existing?.identity === announcement.identity) return existing
    if (existing !== undefined) this.#removeUpstream(pool, existing)
    const upstream = new Upstream(announcement, (cause) => { recordIdleFailure(this.#options, announcement.address, cause) })
    pool.upstreams.set(announcement.address, upstream)
    this.#options.log.info('upstream-joined', { step: Step.Announce, peer: announcement.address, service: announcement.service, slots: announcement.slots })
    return upstream
  }

  #releaseUpstream (pool: UpstreamPool, announcement: Announcement): Upstream | undefined {
    const upstream = pool.upstreams.get(announcement.address)
    if (upstream === undefined) return undefined
    upstream.sequence = announcement.sequence
    upstream.endGrant()
    return upstream
  }

  #removeUpstream (pool: UpstreamPool, upstream: Upstream): void {
    if (pool.upstreams.get(upstream.address) === upstream) pool.upstreams.delete(upstream.address)
    upstream.close().catch(() => {})
    this.#departed.push(upstream)
    if (this.#departed.length > MAXIMUM_DEPARTED_UPSTREAMS) this.#departed.shift()
    this.#options.log.info('upstream-dropped', { step: Step.Announce, peer: upstream.address, service: upstream.service })
  }

  /** In milliseconds: zero when another host owns the upstream or the echo is missing; otherwise the usual interval, but no longer than until a previous grant ends. */
  #chooseNextAnnouncementDelay (announcement: Announcement, isOwner: boolean): number {
    const { announcementMilliseconds } = this.#options
    if (!isOwner) return 0
    if (announcement.heldBy !== undefined) return Math.min(announcementMilliseconds, announcement.heldBy.remainingMilliseconds + 1)
    return announcement.echo === undefined ? 0 : announcementMilliseconds
  }

  #createAnswer (announcement: Announcement, owner: HostIdentity, upstream: Upstream | undefined): AnnouncementAnswer {
    const isOwner = owner.name === this.#options.self.name
    const requestsInFlight = upstream === undefined ? 0 : upstream.running + upstream.foreign
    return {
      owner: { name: owner.name, guestAddress: owner.guestAddress },
      host: { name: this.#options.self.name, incarnation: this.#options.incarnation },
      stamp: performance.now(),
      leaseMilliseconds: this.#options.leaseMilliseconds,
      nextAnnouncementMilliseconds: this.#chooseNextAnnouncementDelay(announcement, isOwner),
      hosts: this.#options.domainHosts().map((host) => host.guestAddress),
      released: !isOwner,
      drained: announcement.state === UpstreamState.Leaving && requestsInFlight === 0,
      leave: upstream?.isLeaveRequested ?? false
    }
  }
}
