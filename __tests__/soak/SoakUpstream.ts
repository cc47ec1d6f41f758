import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Arrival, Departure } from './SoakRecord.js'

const ANNOUNCEMENT_MILLISECONDS = 1_500
const ANSWER_MILLISECONDS = 1_000
const SLOTS = 16
/** How long it goes on to run requests after it began to leave; the next life follows, with another identifier. */
const LEAVING_MILLISECONDS = 10_000

/** How an upstream says that it leaves. */
export enum Leave {
  Drain = 'drain',
  Deregister = 'deregister'
}

/** Settings of a {@link SoakUpstream}. */
export interface SoakUpstreamOptions {
  id: string
  service: string
  domain: string
  listControlAddresses: () => string[]
  /** Receives each request that it runs. */
  onArrival: (arrival: Arrival) => void
}

/** Upstream that announces itself to control hosts, and names its service in each answer. */
export class SoakUpstream {
  readonly #options: SoakUpstreamOptions
  readonly #server = createServer((request, response) => { this.#answer(request, response) })
  #bornAt = Date.now()
  #life = 1
  #timer: NodeJS.Timeout | undefined
  #sequence = 0
  #state: 'ready' | Leave = 'ready'
  #tries = 0
  #isAnnouncing = false

  /** @param options - identity, control hosts, and what to do with arrivals */
  constructor (options: SoakUpstreamOptions) {
    this.#options = options
  }

  /** Listens on a free port of 127.0.0.1, and begins to announce itself. */
  async open (): Promise<void> {
    await new Promise<void>((resolve) => { this.#server.listen(0, '127.0.0.1', resolve) })
    this.#timer = setInterval(() => { if (this.#state !== Leave.Deregister) this.#announceSomewhere().catch(() => {}) }, ANNOUNCEMENT_MILLISECONDS)
  }

  /**
   * Tells a control host that it leaves. It goes on to run requests for a time.
   *
   * @returns the departure once it is acknowledged; undefined when it leaves already, or no control host has answered
   */
  async leave (leave: Leave): Promise<Departure | undefined> {
    if (this.#state !== 'ready') return undefined
    this.#state = leave
    setTimeout(() => { this.#beginLife() }, LEAVING_MILLISECONDS).unref()
    const upstream = this.#id
    return await this.#announceSomewhere() ? { upstream, acknowledgedAt: performance.now() } : undefined
  }

  /** Ends it. */
  close (): void {
    clearInterval(this.#timer)
    this.#server.closeAllConnections()
    this.#server.close()
  }

  get #id (): string {
    return `${this.#options.id}-${this.#life}`
  }

  #beginLife (): void {
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
    const { port } = this.#server.address() as AddressInfo
    const body = { service, address: `127.0.0.1:${port}`, zone: domain, version: 'v1', slots: SLOTS, state: this.#state === 'ready' ? 'ready' : 'draining', cold_remaining_s: 0, sequence: ++this.#sequence, born: this.#bornAt }
    try {
      const action = this.#state === Leave.Deregister ? 'deregister' : 'heartbeat'
      const response = await fetch(`http://${address}/instances/${this.#id}/${action}`, { method: 'POST', body: JSON.stringify(body), signal: AbortSignal.timeout(ANSWER_MILLISECONDS) })
      await response.arrayBuffer()
      return response.status === 200
    } catch {
      // A control host that is down or frozen; the next one is asked.
      return false
    }
  }

  #answer (request: IncomingMessage, response: ServerResponse): void {
    const { service, domain, onArrival } = this.#options
    const id = this.#id
    response.setHeader('Attempt-Id', String(request.headers['attempt-id']))
    if (request.url === '/health') {
      response.writeHead(this.#state === 'ready' ? 200 : 503, { 'Instance-Id': id, 'Server-Load': `0,0,${SLOTS}` }).end()
      return
    }
    const expected = request.headers['expected-instance']
    if (expected !== undefined && expected !== id) {
      response.writeHead(421).end()
      return
    }
    onArrival({ entryHost: Number(/\/by-(\d+)\//.exec(request.url ?? '')?.[1]), upstream: id, domain, arrivedAt: performance.now() })
    response.writeHead(200, { 'Response-Signature': 'made-here', 'Server-Load': `1,0,${SLOTS}` }).end(service)
  }
}
