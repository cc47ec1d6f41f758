import type { Pool } from 'undici'
import { UpstreamState, type Announcement } from './Announcement.js'
import { openPool } from './openPool.js'
import type { RelayedRequest } from './RelayedRequest.js'

const CONNECT_TIMEOUT_MILLISECONDS = 1_000
const SLOW_START_STEP_MILLISECONDS = 250
const MAXIMUM_FOREIGN_MILLISECONDS = 30_000

/** An upstream that this host dispatches to while the upstream's grant lasts. */
export class Upstream {
  readonly service: string
  readonly address: string
  readonly identity: string
  readonly echoesRequest: boolean
  /** Requests of this host that it is running. */
  readonly inFlight = new Set<RelayedRequest>()
  slots: number
  sequence = -1
  state = UpstreamState.Ready
  /** Requests of this host in flight. */
  running = 0
  /** Requests in flight that may still run a poison request. */
  suspects = 0
  /** Until when it stays with this host though another should own it, on the clock of `performance.now()`. */
  retainedUntil = -Infinity
  /** Whether an operator wants it to leave. */
  isLeaveRequested = false
  /** When it was first heard to leave. */
  leavingSince: number | undefined
  /** When it was last given a request. */
  lastStartedAt: number | undefined
  /** When a request of this host last ended. */
  lastEndedAt: number | undefined
  readonly #connectionCount: number
  #connections: Pool
  #foreign: number
  #foreignUntil: number
  #grantUntil = -Infinity
  #grantNotBefore = -Infinity
  #avoidUntil = -Infinity
  readonly #joinedAt = performance.now()

  /** @param announcement - the first announcement of this process of the upstream */
  constructor (announcement: Announcement) {
    this.service = announcement.service
    this.address = announcement.address
    this.identity = announcement.identity
    this.slots = announcement.slots
    this.echoesRequest = announcement.echoesRequest
    this.#foreign = Math.min(announcement.slots, announcement.running)
    this.#foreignUntil = performance.now() + MAXIMUM_FOREIGN_MILLISECONDS
    this.#connectionCount = Math.min(announcement.slots, announcement.connections)
    this.#connections = this.#openConnections()
  }

  /** Connections to it, one request on each at a time. */
  get connections (): Pool {
    return this.#connections
  }

  /** Time since it joined this host. */
  get ageMilliseconds (): number {
    return performance.now() - this.#joinedAt
  }

  /** Stops using its present connections; requests in flight on them finish. */
  resetConnections (): void {
    const previous = this.#connections
    this.#connections = this.#openConnections()
    previous.close().catch(() => {})
  }

  /** Requests in flight of former owners. */
  get foreign (): number {
    return this.#countForeign(performance.now())
  }

  /**
   * Takes in a newer announcement.
   *
   * @param announcement - the announcement
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
   * @param until - its end on the clock of `performance.now()`
   */
  extendGrant (until: number): void {
    this.#grantUntil = Math.max(this.#grantUntil, until)
  }

  /**
   * Waits out the grant of another host.
   *
   * @param until - its end on the clock of `performance.now()`
   */
  deferGrant (until: number): void {
    this.#grantNotBefore = Math.max(this.#grantNotBefore, until)
  }

  /** Ends the grant now. */
  endGrant (): void {
    this.#grantUntil = -Infinity
  }

  /**
   * @param now - this moment on the clock of `performance.now()`
   * @returns whether the upstream's grant to this host holds
   */
  isGranted (now = performance.now()): boolean {
    return now < this.#grantUntil && now >= this.#grantNotBefore
  }

  /**
   * @param now - this moment on the clock of `performance.now()`
   * @returns whether it takes new work in general, at this moment or after a short wait
   */
  isUsable (now = performance.now()): boolean {
    return this.state === UpstreamState.Ready && now < this.#grantUntil
  }

  /**
   * Sends it no work for a while.
   *
   * @param milliseconds - how long
   */
  avoid (milliseconds: number): void {
    this.#avoidUntil = Math.max(this.#avoidUntil, performance.now() + milliseconds)
  }

  /**
   * @param now - this moment on the clock of `performance.now()`
   * @returns slots that a request may take now
   */
  freeSlots (now = performance.now()): number {
    if (!this.isUsable(now) || !this.isGranted(now) || now < this.#avoidUntil) return 0
    return Math.max(0, this.#countOpenSlots(now) - this.running - this.#countForeign(now))
  }

  /** Closes its connections once they are idle. */
  async close (): Promise<void> {
    await this.connections.close()
  }

  #openConnections (): Pool {
    return openPool(this.address, { connections: this.#connectionCount, connectTimeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS })
  }

  #countForeign (now: number): number {
    return now < this.#foreignUntil ? this.#foreign : 0
  }

  #countOpenSlots (now: number): number {
    const age = now - this.#joinedAt
    return Math.min(this.slots, 1 + Math.floor(age / SLOW_START_STEP_MILLISECONDS))
  }
}
