import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { TestContext } from 'node:test'

type Handler = (request: IncomingMessage, response: ServerResponse) => void

/** An entry host for tests: it answers look-ups and hands requests to a handler. */
export class FakeEntryHost {
  readonly receivedKeys: string[] = []
  readonly #handler: Handler
  address = ''
  lookupCount = 0
  /** Look-ups that are answered; later ones wait forever. */
  maximumAnsweredLookups = Infinity
  hosts: FakeEntryHost[] = [this]

  /** @param handler - answers the requests */
  constructor (handler: Handler) {
    this.#handler = handler
  }

  /** @param context - the test; the host ends with it */
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

/** Answers as an upstream that ran the request. */
export function answerRan (_request: IncomingMessage, response: ServerResponse): void {
  response.writeHead(200, { 'Hibiscusrelay-Outcome': 'ran' }).end('done')
}
