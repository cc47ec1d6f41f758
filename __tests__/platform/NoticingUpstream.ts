import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { sendPost } from '../../examples/platform/httpCalls.js'

const SLOTS = 8
/** Time of birth of the first start. */
export const FIRST_BIRTH = 1_000
const RUN_MILLISECONDS = 20

/** Settings of a {@link NoticingUpstream}. */
export interface NoticingUpstreamOptions {
  id: string
  /** Number of entry hosts: a request with number n in its path is sent through the entry host n modulo this. */
  entryHosts: number
  /** Time for which it works on a request; 20 ms by default. */
  runMilliseconds?: number | undefined
}

/** An upstream that announces itself as ready, whatever its answers say. */
export class NoticingUpstream {
  /** Times of the requests of each entry host, by its number, which the number of the request gives. */
  readonly arrivalsByHost = new Map<number, number[]>()
  /** Fields of all answers. */
  fields: Record<string, string> = {}
  isRefusing = false
  /** Time of birth that it announces. */
  born = FIRST_BIRTH
  readonly #options: NoticingUpstreamOptions
  readonly #server: Server
  #sequence = 0

  /** @param options - its identifier, and how long it works */
  constructor (options: NoticingUpstreamOptions) {
    const { entryHosts, runMilliseconds = RUN_MILLISECONDS } = options
    this.#options = options
    this.#server = createServer((request, response) => {
      const host = Number(/\d+$/.exec(request.url ?? '')?.[0]) % entryHosts
      this.arrivalsByHost.set(host, [...this.arrivalsByHost.get(host) ?? [], performance.now()])
      const attempt = String(request.headers['attempt-id'])
      const load = { 'attempt-id': attempt, 'server-load': `1,0,${SLOTS}`, ...this.fields }
      if (this.isRefusing) return response.writeHead(503, { ...load, 'not-executed': '1' }).end()
      return setTimeout(() => { response.writeHead(200, { ...load, 'response-signature': 's' }).end('whole') }, runMilliseconds)
    })
  }

  async open (): Promise<void> {
    await new Promise<void>((resolve) => { this.#server.listen(0, '127.0.0.1', resolve) })
  }

  close (): void {
    this.#server.closeAllConnections()
    this.#server.close()
  }

  /**
   * Announces itself as ready.
   *
   * @param controlAddress - control address of a control host
   * @param born - time of birth to announce; the present one by default
   * @returns HTTP status of the response
   */
  async announce (controlAddress: string, born = this.born): Promise<number> {
    const { port } = this.#server.address() as AddressInfo
    return await sendPost(controlAddress, `/instances/${this.#options.id}/heartbeat`, JSON.stringify({ service: 'inventario', address: `127.0.0.1:${port}`, zone: 'oviedo', version: 'v1', slots: SLOTS, state: 'ready', cold_remaining_s: 0, sequence: ++this.#sequence, born }))
  }

  /** @returns number of requests of each host between two times after its first one */
  countAfterFirst (fromMilliseconds: number, toMilliseconds: number): number[] {
    return [...this.arrivalsByHost.values()].map(([first, ...later]) => later.filter((time) => time - first! > fromMilliseconds && time - first! < toMilliseconds).length)
  }
}
