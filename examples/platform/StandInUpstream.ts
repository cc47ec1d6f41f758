import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

/** Upstream that follows the protocol of the platform form: it announces itself, runs requests, and refuses those for another instance. */
export class StandInUpstream {
  /** Method, URL and attempt identifier of each request that ran. */
  readonly runs: string[] = []
  readonly #id: string
  readonly #runMilliseconds: number
  readonly #server: Server
  #sequence = 0

  /**
   * @param id - identifier of this instance
   * @param runMilliseconds - how long it works on each request
   */
  constructor (id: string, runMilliseconds = 0) {
    this.#id = id
    this.#runMilliseconds = runMilliseconds
    this.#server = createServer((request, response) => { this.#answer(request, response) })
  }

  /** Listens on a free port of 127.0.0.1. */
  async open (): Promise<void> {
    await new Promise<void>((resolve) => { this.#server.listen(0, '127.0.0.1', resolve) })
  }

  /** Stops listening and closes all connections. */
  close (): void {
    this.#server.closeAllConnections()
    this.#server.close()
  }

  /**
   * Announces the upstream to a control host.
   *
   * @param controlAddress - control address of the host, `ip:port`
   * @param state - state to announce
   * @returns HTTP status of the response
   */
  async announce (controlAddress: string, state = 'ready'): Promise<number> {
    const { port } = this.#server.address() as AddressInfo
    const body = { service: 'inventario', address: `127.0.0.1:${port}`, zone: 'oviedo', version: 'v1', slots: 4, state, cold_remaining_s: 0, sequence: ++this.#sequence, born: 1_000 }
    const response = await fetch(`http://${controlAddress}/instances/${this.#id}/heartbeat`, { method: 'POST', body: JSON.stringify(body) })
    return response.status
  }

  #answer (request: IncomingMessage, response: ServerResponse): void {
    const attempt = String(request.headers['attempt-id'])
    response.setHeader('Attempt-Id', attempt)
    if (request.headers['expected-instance'] !== this.#id) {
      response.writeHead(421).end()
      return
    }
    this.runs.push(`${request.method} ${request.url} ${attempt}`)
    const finish = (): void => { response.writeHead(200, { 'Response-Signature': 'made-here', 'Server-Load': '1,0,4' }).end('whole answer') }
    if (this.#runMilliseconds === 0) finish()
    else setTimeout(finish, this.#runMilliseconds)
  }
}
