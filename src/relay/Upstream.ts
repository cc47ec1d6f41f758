import type { Pool } from 'undici'
import { UpstreamFailures } from '../placement/UpstreamFailures.js'
import { UpstreamState, type Announcement } from './Announcement.js'
import { openPool } from './openPool.js'
import type { RelayedRequest } from './RelayedRequest.js'

const CONNECT_TIMEOUT_MILLISECONDS = 1_000
const SLOW_START_STEP_MILLISECONDS = 250
const MAXIMUM_FOREIGN_MILLISECONDS = 30_000

/** An upstream that announced itself to this host, which dispatches to it while its grant is valid. */
export class Upstream {
  readonly service: string
  readonly address: string
  readonly identity: string
  readonly echoesRequest: boolean
  /** Requests of this host that it runs. */
  readonly inFlight = new Set<RelayedRequest>()
  /** How its requests ended. */
  readonly failures = new UpstreamFailures()
  slots: number
  sequence = -1
  state = UpstreamState.Ready
  /** Number of its slots that requests of this host take. */
  running = 0
  /** Number of these slots that suspects take. */
  suspects = 0
  /** Time until which it stays with this host although another should own it, on the clock of `performance.now()`. */
  retainedUntil = -Infinity
  /** Whether an operator has requested that it leaves. */
  isLeaveRequested = false
  /** Time of the first announcement that it is leaving. */
  leavingSince: number | undefined
  /** Time at which a request of this host last started. */
  lastStartedAt: number | undefined
  /** Time at which a request of this host last ended. */
  lastEndedAt: number | undefined
  readonly #connectionCount: number
  readonly #connections: Pool
  #foreign: number
  #foreignUntil: number
  #grantUntil = -Infinity
  #grantNotBefore = -Infinity
  #avoidUntil = -Infinity
  readonly #joinedAt = performance.now()

  /**
   * @param announcement - first announcement of this upstream process
   * @param onIdleFailure - called with the cause when a connection fails while no request is on it
   */
  constructor (announcement: Announcement, onIdleFailure?: (cause: string) => void) {
    this.service = announcement.service
    this.address = announcement.address
    this.identity = announcement.identity
    this.slots = announcement.slots
    this.echoesRequest = announcement.echoesRequest
    this.#foreign = Math.min(announcement.slots, announcement.running)
    this.#foreignUntil = performance.now() + MAXIMUM_FOREIGN_MILLISECONDS
    this.#connectionCount = Math.min(announcement.slots, announcement.connections)
    this.#connections = this.#openConnections(onIdleFailure)
  }

  /** Connections to it, one request at a time on each. */
  get connections (): Pool {
    return this.#connections
  }

  /** Time since it joined this host. */
  get ageMilliseconds (): number {
    return performance.now() - this.#joinedAt
  }

  /** Number of requests of previous owners that are in flight. */
  get foreign (): number {
    return this.#countForeign(performance.now())
  }

  /**
   * Applies a newer announcement.
   *
   * @param announcement - announcement of the same upstream process
   */
  update (announcement: Announcement): void {
    this.sequence = announcement.sequence
    this.state = announcement.state
    if (this.state === UpstreamState.Leaving) this.leavingSince ??= performance.now()
    this.slots = announcement.slots
    this.#foreign = Math.min(this.#foreign, announcement.running)
  }

  /**
   * Extends the grant.
   *
   * @param until - end of the grant on the clock of `performance.now()`
   */
  extendGrant (until: number): void {
    this.#grantUntil = Math.max(this.#grantUntil, until)
  }

  /**
   * Defers the grant to this host until the grant to another host has ended.
   *
   * @param until - end of the other grant on the clock of `performance.now()`
   */
  deferGrant (until: number): void {
    this.#grantNotBefore = Math.max(this.#grantNotBefore, until)
  }

  /** Ends the grant now. */
  endGrant (): void {
    this.#grantUntil = -Infinity
  }

  /**
   * @param now - current time on the clock of `performance.now()`
   * @returns whether the upstream's grant to this host is valid
   */
  isGranted (now = performance.now()): boolean {
    return now < this.#grantUntil && now >= this.#grantNotBefore
  }

  /**
   * @param now - current time on the clock of `performance.now()`
   * @returns whether it accepts new requests, now or after a short wait
   */
  isUsable (now = performance.now()): boolean {
    return this.state === UpstreamState.Ready && now < this.#grantUntil
  }

  /**
   * Sends it no new requests for some time.
   *
   * @param milliseconds - duration from now on
   */
  avoid (milliseconds: number): void {
    this.#avoidUntil = Math.max(this.#avoidUntil, performance.now() + milliseconds)
  }

  /**
   * @param now - current time on the clock of `performance.now()`
   * @returns the number of slots that new requests may take now
   */
  freeSlots (now = performance.now()): number {
    if (!this.#takesRequests(now)) return 0
    return Math.max(0, this.#countOpenSlots(now) - this.running - this.#countForeign(now))
  }

  /**
   * @param now - current time on the clock of `performance.now()`
   * @returns whether it takes requests, and its failures are no reason to prefer others
   */
  isTrusted (now: number): boolean {
    return this.#takesRequests(now) && this.failures.admits(this.running, now)
  }

  /** Closes its connections once they are idle. */
  async close (): Promise<void> {
    await this.connections.close()
  }

  #takesRequests (now: number): boolean {
    return this.isUsable(now) && this.isGranted(now) && now >= this.#avoidUntil
  }

  #openConnections (onIdleFailure?: (cause: string) => void): Pool {
    return openPool(this.address, { connections: this.#connectionCount, connectTimeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS, onIdleFailure })
  }

  #countForeign (now: number): number {
    return now < this.#foreignUntil ? this.#foreign : 0
  }

  #countOpenSlots (now: number): number {
    const age = now - this.#joinedAt
    return Math.min(this.slots, 1 + Math.floor(age / SLOW_START_STEP_MILLISECONDS))
  }
}
