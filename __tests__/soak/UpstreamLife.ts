import type { Departure } from './SoakRecord.js'

const ANNOUNCEMENT_MILLISECONDS = 1_500
const ANSWER_MILLISECONDS = 1_000
/** How long an upstream goes on to run requests after it began to leave; the next life follows, with another identifier. */
const LEAVING_MILLISECONDS = 10_000

/** Requests that an upstream runs at the same time, as it announces. */
export const SLOTS = 16

/** How an upstream says that it leaves. */
export enum Leave {
  Drain = 'drain',
  Deregister = 'deregister'
}

/** Settings of an {@link UpstreamLife}. */
export interface UpstreamLifeOptions {
  id: string
  service: string
  domain: string
  listControlAddresses: () => string[]
}

/** Identity and state of an upstream, which it announces to control hosts until it is stopped. */
export class UpstreamLife {
  readonly #options: UpstreamLifeOptions
  #port = 0
  #bornAt = Date.now()
  #life = 1
  #timer: NodeJS.Timeout | undefined
  #sequence = 0
  #state: 'ready' | Leave = 'ready'
  #tries = 0
  #isAnnouncing = false

  /** @param options - identity and control hosts */
  constructor (options: UpstreamLifeOptions) {
    this.#options = options
  }

  get id (): string {
    return `${this.#options.id}-${this.#life}`
  }

  get isReady (): boolean {
    return this.#state === 'ready'
  }

  /** Begins to announce a port of 127.0.0.1. */
  start (port: number): void {
    this.#port = port
    this.#timer = setInterval(() => { if (this.#state !== Leave.Deregister) this.#announceSomewhere().catch(() => {}) }, ANNOUNCEMENT_MILLISECONDS)
  }

  /** Ends the announcements. */
  stop (): void {
    clearInterval(this.#timer)
  }

  /**
   * Tells a control host that it leaves. It goes on to run requests for a time.
   *
   * @returns the departure once it is acknowledged; undefined when it leaves already, or no control host has answered
   */
  async leave (leave: Leave): Promise<Departure | undefined> {
    if (this.#state !== 'ready') return undefined
    this.#state = leave
    const life = this.#life
    setTimeout(() => { if (this.#life === life) this.begin() }, LEAVING_MILLISECONDS).unref()
    const upstream = this.id
    return await this.#announceSomewhere() ? { upstream, acknowledgedAt: performance.now() } : undefined
  }

  /** Begins another life, with another identifier. */
  begin (): void {
    this.#life += 1
    this.#bornAt = Date.now()
    this.#sequence = 0
    this.#state = 'ready'
  }

  /** Announces itself to one control host after another until one has acknowledged it. */
  async #announceSomewhere (): Promise<boolean> {
    if (this.#isAnnouncing && this.#state === 'ready') return false
    this.#isAnnouncing = true
    const life = this.#life
    const addresses = this.#options.listControlAddresses()
    try {
      for (let tries = 0; tries < addresses.length; tries += 1) {
        if (this.#life !== life) return false
        if (await this.#announce(addresses[this.#tries % addresses.length]!)) return true
        this.#tries += 1
      }
    } finally {
      this.#isAnnouncing = false
    }
    return false
  }

  async #announce (address: string): Promise<boolean> {
    const { service, domain } = this.#options
    const body = { service, address: `127.0.0.1:${this.#port}`, zone: domain, version: 'v1', slots: SLOTS, state: this.#state === 'ready' ? 'ready' : 'draining', cold_remaining_s: 0, sequence: ++this.#sequence, born: this.#bornAt }
    try {
      const action = this.#state === Leave.Deregister ? 'deregister' : 'heartbeat'
      const response = await fetch(`http://${address}/instances/${this.id}/${action}`, { method: 'POST', body: JSON.stringify(body), signal: AbortSignal.timeout(ANSWER_MILLISECONDS) })
      await response.arrayBuffer()
      return response.status === 200
    } catch {
      // A control host that is down or frozen; the next one is asked.
      return false
    }
  }
}
