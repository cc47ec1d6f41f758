import { createServer } from 'node:http'
import { postJson } from './calls.mjs'

const BEAT_MILLISECONDS = 1_500
const ANSWER_MILLISECONDS = 1_000

/** A server that follows the platform's protocol: it sends heartbeats, runs requests, and refuses those for another instance. */
export class Server {
  /** Each request that ran: when it arrived, on the clock of `performance.now()`, and its attempt. */
  runs = []
  #options
  #http
  #sequence = 0
  #born = Date.now()
  #beating
  #state = 'ready'

  /** @param options - id, service, zone, ip, slots, workMilliseconds, callCores (addresses to beat to), record */
  constructor (options) {
    this.#options = { slots: 8, workMilliseconds: 30, ...options }
    this.#http = createServer((request, response) => { this.#answer(request, response) })
    this.#http.keepAliveTimeout = 10_000
  }

  get id () {
    return this.#options.id
  }

  get zone () {
    return this.#options.zone
  }

  async open () {
    await new Promise((resolve) => { this.#http.listen(0, this.#options.ip, resolve) })
    this.#beating = setInterval(() => { this.beat().catch(() => {}) }, BEAT_MILLISECONDS)
    await this.beat()
  }

  close () {
    clearInterval(this.#beating)
    this.#http.closeAllConnections()
    this.#http.close()
  }

  stopBeating () {
    clearInterval(this.#beating)
  }

  /** Sends one heartbeat to the first core that accepts it. */
  async beat () {
    const { id, service, zone, slots, cores } = this.#options
    const { address, port } = this.#http.address()
    this.#sequence += 1
    const body = { service, address: `${address}:${port}`, zone, version: 'v1', slots, state: this.#state, cold_remaining_s: 0, sequence: this.#sequence, born: this.#born }
    return await this.#callAny(cores(), `/instances/${id}/heartbeat`, body)
  }

  /** Reports that the server leaves; its heartbeats end, and it goes on serving until it is closed. */
  async deregister (core) {
    this.stopBeating()
    return await postJson(core, `/instances/${this.id}/deregister`, { born: this.#born }, ANSWER_MILLISECONDS)
  }

  async #callAny (addresses, path, body) {
    for (const address of addresses) {
      const status = await postJson(address, path, body, ANSWER_MILLISECONDS)
      if (status !== undefined && status < 300) return address
    }
    return undefined
  }

  #answer (request, response) {
    const arrivedAt = performance.now()
    const attempt = String(request.headers['attempt-id'])
    response.setHeader('Attempt-Id', attempt)
    const expected = request.headers['expected-instance']
    if (expected !== undefined && expected !== this.id) {
      request.resume()
      response.writeHead(421, { 'Not-Executed': '1' }).end()
      return
    }
    let bytes = 0
    request.on('data', (chunk) => { bytes += chunk.length })
    request.on('error', () => {})
    request.on('end', () => {
      this.runs.push({ arrivedAt, attempt, bytes })
      this.#options.record?.('run', { server: this.id, zone: this.zone, attempt, bytes })
      setTimeout(() => { response.writeHead(200, { 'Response-Signature': `made-by-${this.id}`, 'Server-Load': `1,0,${this.#options.slots}` }).end(`whole answer to ${attempt}`) }, this.#options.workMilliseconds)
    })
  }
}
