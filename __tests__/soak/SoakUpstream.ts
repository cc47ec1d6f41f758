import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Arrival } from './SoakRecord.js'
import { SLOTS, UpstreamLife, type UpstreamLifeOptions } from './UpstreamLife.js'

/** Settings of a {@link SoakUpstream}. */
export interface SoakUpstreamOptions extends UpstreamLifeOptions {
  /** Receives each request that it runs. */
  onArrival: (arrival: Arrival) => void
}

/** Upstream that announces itself to control hosts, and names its service in each answer. */
export class SoakUpstream {
  readonly life: UpstreamLife
  readonly #options: SoakUpstreamOptions
  readonly #server = createServer((request, response) => { this.#answer(request, response) })

  /** @param options - identity, control hosts, and what to do with arrivals */
  constructor (options: SoakUpstreamOptions) {
    this.#options = options
    this.life = new UpstreamLife(options)
  }

  /** Listens on a free port of 127.0.0.1, and begins to announce itself. */
  async open (): Promise<void> {
    await new Promise<void>((resolve) => { this.#server.listen(0, '127.0.0.1', resolve) })
    this.life.start((this.#server.address() as AddressInfo).port)
  }

  /** Ends it. */
  close (): void {
    this.life.stop()
    this.#server.closeAllConnections()
    this.#server.close()
  }

  #answer (request: IncomingMessage, response: ServerResponse): void {
    const { service, domain, onArrival } = this.#options
    const { id, isReady } = this.life
    response.setHeader('Attempt-Id', String(request.headers['attempt-id']))
    if (request.url === '/health') {
      response.writeHead(isReady ? 200 : 503, { 'Instance-Id': id, 'Server-Load': `0,0,${SLOTS}` }).end()
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
