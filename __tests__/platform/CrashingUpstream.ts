import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'

/** How an upstream ends after it began to run a crashing request. */
export enum CrashKind {
  /** Its connections are reset. */
  Reset = 'reset',
  /** Its listener closes and its connections stay open without an answer. */
  Silent = 'silent',
  /** It sends the head and half of a large body; then its connections are reset. */
  InBody = 'in-body',
  /** Its connections are reset, and it comes back under the same identifier. */
  SameIdentity = 'same-identity'
}

const ANNOUNCEMENT_INTERVAL_MILLISECONDS = 500
const CRASH_DELAY_MILLISECONDS = 20
const DOWNTIME_MILLISECONDS = 2_500
const RUN_MILLISECONDS = 40
const LARGE_BODY_BYTES = 1_000_000
const SLOTS = 8

/** Settings of a {@link CrashingUpstream}. */
export interface CrashingUpstreamOptions {
  name: string
  domain: string
  /** Control address to which it announces itself. */
  controlAddress: string
}

/** Upstream of the platform form that ends whenever it runs a request with `/crash/KIND/` in its path, and comes back later. */
export class CrashingUpstream {
  /** Number of times that it ended by each crashing path. */
  readonly crashesByPath = new Map<string, number>()
  /** Number of runs of each path. */
  readonly runsByPath = new Map<string, number>()
  readonly #options: CrashingUpstreamOptions
  readonly #sockets = new Set<Socket>()
  readonly #timer: NodeJS.Timeout
  #server: Server | undefined
  #port = 0
  #starts = 0
  #isClosed = false
  #id: string
  #bornAt = 0
  #sequence = 0

  /** @param options - name, failure domain and control host */
  constructor (options: CrashingUpstreamOptions) {
    this.#options = options
    this.#id = options.name
    this.#timer = setInterval(() => { this.#announce() }, ANNOUNCEMENT_INTERVAL_MILLISECONDS)
  }

  /** Starts it at a free port of 127.0.0.1, or at the port of its earlier run. */
  async start (keepsIdentity = false): Promise<void> {
    if (this.#isClosed) return
    if (!keepsIdentity) this.#id = `${this.#options.name}-${++this.#starts}`
    this.#bornAt = Date.now()
    this.#sequence = 0
    const server = createServer((request, response) => { this.#answer(request, response) })
    server.on('connection', (socket) => {
      this.#sockets.add(socket)
      socket.on('error', () => {})
      socket.once('close', () => { this.#sockets.delete(socket) })
    })
    await new Promise<void>((resolve) => { server.listen(this.#port, '127.0.0.1', resolve) })
    this.#port = (server.address() as AddressInfo).port
    this.#server = server
    this.#announce()
  }

  /** Ends it for good. */
  close (): void {
    this.#isClosed = true
    clearInterval(this.#timer)
    this.#endProcess(CrashKind.Reset)
  }

  /** Ends it as a process that crashes for a reason of its own; it comes back later. */
  crash (kind: CrashKind): void {
    if (this.#server === undefined) return
    this.#endProcess(kind)
    setTimeout(() => { this.start(kind === CrashKind.SameIdentity).catch(() => {}) }, DOWNTIME_MILLISECONDS).unref()
  }

  #endProcess (kind: CrashKind): void {
    this.#server?.close()
    this.#server = undefined
    if (kind === CrashKind.Silent) return
    for (const socket of this.#sockets) socket.resetAndDestroy()
  }

  #announce (): void {
    if (this.#server === undefined) return
    const body = { service: 'inventario', address: `127.0.0.1:${this.#port}`, zone: this.#options.domain, version: 'v1', slots: SLOTS, state: 'ready', cold_remaining_s: 0, sequence: ++this.#sequence, born: this.#bornAt }
    // A control host that is being restarted refuses the announcement; the next one follows soon.
    fetch(`http://${this.#options.controlAddress}/instances/${this.#id}/heartbeat`, { method: 'POST', body: JSON.stringify(body) }).then(async (response) => { await response.text() }, () => {})
  }

  #answer (request: IncomingMessage, response: ServerResponse): void {
    const path = request.url ?? ''
    const server = this.#server
    response.setHeader('Attempt-Id', String(request.headers['attempt-id']))
    if (request.headers['expected-instance'] !== this.#id) {
      response.writeHead(421).end()
      return
    }
    this.runsByPath.set(path, (this.runsByPath.get(path) ?? 0) + 1)
    const kind = Object.values(CrashKind).find((each) => path.includes(`/crash/${each}/`))
    if (kind === undefined) {
      setTimeout(() => { if (server !== undefined && server === this.#server) response.writeHead(200, { 'Response-Signature': 'made-here', 'Server-Load': `1,0,${SLOTS}` }).end('whole answer') }, RUN_MILLISECONDS)
      return
    }
    if (kind === CrashKind.InBody) response.writeHead(200, { 'Response-Signature': 'made-here', 'Content-Length': LARGE_BODY_BYTES }).write(Buffer.alloc(LARGE_BODY_BYTES / 2))
    setTimeout(() => {
      if (server === undefined || server !== this.#server) return
      this.crashesByPath.set(path, (this.crashesByPath.get(path) ?? 0) + 1)
      this.crash(kind)
    }, CRASH_DELAY_MILLISECONDS)
  }
}
