import type { Counters } from '../observe/Counters.js'
import type { Log } from '../observe/Log.js'
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
/** How long an upstream that was sent to and fro stays with the host that took it, while the hosts' views settle. */
const RETENTION_MILLISECONDS = 5_000
const MAXIMUM_DEPARTED_UPSTREAMS = 32

/** What the handler needs. */
export interface AnnouncementHandlerOptions {
  self: HostIdentity
  incarnation: number
  leaseMilliseconds: number
  announcementMilliseconds: number
  pools: PoolRegistry
  /** Live hosts of the own failure domain that take new work, the own one among them unless it is stopping. */
  domainHosts: () => HostIdentity[]
  counters: Counters
  log: Log
}

/**
 * Answers the announcements of upstreams and keeps the grants that they give.
 * The upstream decides who may dispatch to it: it grants one host at a time. Its grant is counted from the stamp
 * that it echoes, a time before it sent the announcement, so this host never believes in it longer than the upstream.
 */
export class AnnouncementHandler {
  readonly #options: AnnouncementHandlerOptions
  readonly #departed: Upstream[] = []

  /** @param options - identity, pools and timing */
  constructor (options: AnnouncementHandlerOptions) {
    this.#options = options
  }

  /**
   * @param announcement - what the upstream sent
   * @returns the answer, undefined for an announcement older than the last one taken in
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

  /** The upstreams that this host gave up last, oldest first. */
  get departed (): readonly Upstream[] {
    return this.#departed
  }

  /** Drops upstreams whose grant ended, or did not come within a lease, and that run nothing of this host. */
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

  /** Gives up an upstream that died. */
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
    const upstream = new Upstream(announcement)
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

  /** At once when another host should be asked or an echo is missing; else no later than a former grant ends. */
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
