import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { TestContext } from 'node:test'

type Handler = (request: IncomingMessage, response: ServerResponse) => void

/** Fake entry host for tests: it answers look-ups and passes requests to a handler. */
export class FakeEntryHost {
  /** Idempotency keys of all requests in order of arrival; `undefined` as text without a key. */
  readonly receivedKeys: string[] = []
  readonly #handler: Handler
  /** Guest address, `ip:port`, once started. */
  address = ''
  /** Number of look-ups received. */
  lookupCount = 0
  /** Number of look-ups that are answered; later ones get no response. */
  maximumAnsweredLookups = Infinity
  /** Hosts that look-ups return. */
  hosts: FakeEntryHost[] = [this]

  /** @param handler - responds to all requests but look-ups */
  constructor (handler: Handler) {
    this.#handler = handler
  }

  /**
   * Listens on a free port of 127.0.0.1.
   *
   * @param context - the test at whose end the host is closed
   */
  async start (context: TestContext): Promise<void> {
    const server = createServer((request, response) => { this.#answer(request, response) })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    this.address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    context.after(() => { server.close(); server.closeAllConnections() })
  }

  #answer (request: IncomingMessage, response: ServerResponse): void {
    if (request.url?.startsWith('/v1/lookup') === true) {
      this.lookupCount += 1
      if (this.lookupCount > this.maximumAnsweredLookups) return
      const hosts = this.hosts.map(({ address }) => ({ name: address, address, weight: 1, draining: false }))
      response.end(JSON.stringify({ hosts, lifetimeSeconds: 3, ticket: 'home-1' }))
      return
    }
    this.receivedKeys.push(String(request.headers['idempotency-key']))
    this.#handler(request, response)
  }
}

/** Responds as a host does when an upstream ran the request. */
export function answerRan (_request: IncomingMessage, response: ServerResponse): void {
  response.writeHead(200, { 'Hibiscusrelay-Outcome': 'ran' }).end('done')
}
