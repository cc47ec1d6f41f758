import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { Server as SocketServer, type Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { setTimeout as sleep } from 'node:timers/promises'
import { HibiscusrelayError } from '../errors/HibiscusrelayError.js'
import { errorTexts } from '../errors/errorTexts.js'
import { DiscardedBytes } from '../limits/DiscardedBytes.js'
import { Step } from '../types/Step.js'
import { passPollPhase } from '../utils/passPollPhase.js'
import { splitAddress } from '../utils/splitAddress.js'
import { waitUntil } from '../utils/waitUntil.js'
import { closeAfterCaller } from './closeAfterCaller.js'
import { ConnectionReader } from './ConnectionReader.js'
import { ConnectionTurns } from './ConnectionTurns.js'
import { discardArriving } from './discardArriving.js'
import type { HttpListenerOptions, ListenerFaultDetails } from './HttpListenerOptions.js'
import { ListenerFault } from './ListenerFault.js'
import { ListenerResponse } from './ListenerResponse.js'
import { endPause } from './pauseFor.js'

const KEEP_ALIVE_TIMEOUT_MILLISECONDS = 30_000
const HEADERS_TIMEOUT_MILLISECONDS = 10_000
const REQUEST_TIMEOUT_MILLISECONDS = 60_000
/** How long a response may wait for a caller that reads nothing of it, unless a plan sets the idle limit of connections. */
const UNREAD_TIMEOUT_MILLISECONDS = 15_000
/** How often connections are checked for time limits and responses that are not read. */
const CHECK_INTERVAL_MILLISECONDS = 1_000
/** Connections that the kernel accepts for a listener of Node.js while the process is late. */
const ACCEPT_QUEUE_LENGTH = 511

/** Listens for HTTP requests on one address, and can stop without aborting requests in flight. */
export class HttpListener {
  readonly #server: Server
  readonly #options: HttpListenerOptions
  readonly #responses = new Set<ServerResponse>()
  readonly #turns = new ConnectionTurns()
  readonly #connections = new Set<Socket>()
  readonly #readers = new Map<Socket, ConnectionReader>()
  #unreadTimeoutMilliseconds = UNREAD_TIMEOUT_MILLISECONDS
  #checkTimer: NodeJS.Timeout | undefined
  /** Connections whose last answer has been written, while their callers may still send. */
  readonly #leaving = new Set<Socket>()
  /** Rate of what is read from the connections in `#leaving`. */
  readonly #discardRate = DiscardedBytes.createSharedRate()
  /** Connections that sent bytes which are no valid request. */
  readonly #malformed = new WeakSet<Duplex>()
  #accepted = 0
  #isClosing = false

  /** @param options - address, header limit and handlers */
  constructor (options: HttpListenerOptions) {
    this.#options = options
    this.#server = createServer({
      ServerResponse: ListenerResponse,
      maxHeaderSize: options.headerBytes,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MILLISECONDS,
      headersTimeout: HEADERS_TIMEOUT_MILLISECONDS,
      requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
      connectionsCheckingInterval: CHECK_INTERVAL_MILLISECONDS,
      noDelay: true
    }, (request, response) => { this.#serve(request, response).catch((error: unknown) => { this.#breakOff(request, response, error) }) })
    this.#server.on('connection', (socket) => {
      this.#accepted += 1
      this.#connections.add(socket)
      this.#readers.set(socket, new ConnectionReader(socket, options.connectionMemory))
      socket.once('close', () => {
        this.#connections.delete(socket)
        this.#readers.delete(socket)
      })
      // The HTTP library calls this method behind the last answer.
      socket.destroySoon = () => { this.#endConnection(socket) }
    })
    this.#server.on('timeout', (socket) => { this.#closeIfIdle(socket).catch(() => { socket.destroy() }) })
    this.#server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      this.#refuseMalformed(error, socket).catch((cause: unknown) => {
        this.#reportFault(ListenerFault.HandlerFailed, socket, { cause: String(cause) })
        socket.destroy()
      })
    })
  }

  /** Number of requests in flight. */
  get inFlight (): number {
    return this.#responses.size
  }

  /**
   * Sets how long idle connections stay open. It applies to connections that become idle from now on.
   *
   * @param milliseconds - idle time after which a connection is closed
   */
  setIdleTimeout (milliseconds: number): void {
    this.#server.keepAliveTimeout = milliseconds
    this.#unreadTimeoutMilliseconds = milliseconds
  }

  /**
   * Starts listening.
   *
   * @throws {@link HibiscusrelayError} when the address cannot be listened on
   */
  async open (): Promise<void> {
    const { host, port } = splitAddress(this.#options.address)
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', (cause) => {
        reject(new HibiscusrelayError(errorTexts.listenFailed(this.#options.address), { step: Step.Listen, peer: this.#options.address, cause }))
      })
      this.#server.listen(port, host, () => { resolve() })
    })
    this.#checkTimer = setInterval(() => { this.#closeUnread() }, CHECK_INTERVAL_MILLISECONDS).unref()
    this.#server.once('close', () => { clearInterval(this.#checkTimer) })
  }

  /** From now on asks each caller, with `connection: close`, to close its connection after the answer, also those of requests in flight. */
  beginClose (): void {
    this.#isClosing = true
    for (const response of this.#responses) askToDisconnect(response)
  }

  /**
   * Accepts no further connections and waits until all connections are closed. It is not enough that no request is in flight,
   * because one may be arriving on an open connection.
   *
   * @param timeoutMilliseconds - maximum wait
   */
  async closeWithin (timeoutMilliseconds: number): Promise<void> {
    this.beginClose()
    const deadline = performance.now() + timeoutMilliseconds
    await this.#acceptWaiting(deadline)
    // The HTTP server counts a connection as idle whose answer waits in its buffer, and its own `close` destroys idle connections.
    const closed = new Promise<void>((resolve) => { SocketServer.prototype.close.call(this.#server, () => { resolve() }) })
    if (await this.#waitUntilIdle(deadline)) this.#server.closeIdleConnections()
    await Promise.race([closed, sleep(Math.max(0, deadline - performance.now()), undefined, { ref: false })])
  }

  /** Closes all connections at once and aborts their requests. */
  destroy (): void {
    this.#server.closeAllConnections()
  }

  #closeUnread (): void {
    const now = performance.now()
    for (const reader of this.#readers.values()) reader.closeIfUnread(now, this.#unreadTimeoutMilliseconds)
  }

  /** Closes a connection whose timer has run out, unless something has arrived while the process was late. */
  async #closeIfIdle (socket: Socket): Promise<void> {
    const { bytesRead } = socket
    await passPollPhase()
    if (socket.bytesRead === bytesRead) socket.destroy()
  }

  /** Accepts connections that the kernel has accepted; it resets those that wait when the listener closes. */
  async #acceptWaiting (deadline: number): Promise<void> {
    const maximum = this.#accepted + ACCEPT_QUEUE_LENGTH
    let accepted
    do {
      accepted = this.#accepted
      // Each poll phase accepts one.
      await passPollPhase()
    } while (accepted < this.#accepted && this.#accepted < maximum && performance.now() < deadline)
  }

  /** Waits until every answer has been written and every request that had arrived by then has been read. */
  async #waitUntilIdle (deadline: number): Promise<boolean> {
    const isIdle = (): boolean => this.#responses.size + this.#leaving.size === 0
    do {
      if (!await waitUntil(isIdle, deadline)) return false
      // A request may wait behind the pause that an earlier one on its connection left.
      for (const socket of this.#connections) endPause(socket)
      await passPollPhase()
    } while (!isIdle())
    return true
  }

  async #serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const arrivedAt = performance.now()
    const reader = this.#readers.get(request.socket)
    reader?.beginRequest(request, response)
    if (!await this.#turns.take(request, response)) {
      this.#reportFault(ListenerFault.RequestDropped, request.socket, { path: request.url, cause: this.#leaving.has(request.socket) ? 'connection-closing' : 'caller-left' })
      request.resume()
      return
    }
    reader?.beginTurn(request)
    this.#responses.add(response)
    if (this.#isClosing) askToDisconnect(response)
    response.once('close', () => { this.#responses.delete(response) })
    await this.#options.handle(request, response, arrivedAt)
  }

  #breakOff (request: IncomingMessage, response: ServerResponse, error: unknown): void {
    this.#reportFault(ListenerFault.HandlerFailed, request.socket, { path: request.url, cause: String(error) })
    response.destroy()
  }

  #reportFault (fault: ListenerFault, socket: Duplex, details: Omit<ListenerFaultDetails, 'peer'>): void {
    this.#options.onFault?.(fault, { peer: (socket as Socket).remoteAddress, ...details })
  }

  async #refuseMalformed (error: NodeJS.ErrnoException, socket: Duplex): Promise<void> {
    if (!isParserError(error)) {
      socket.destroy()
      return
    }
    if (socket.readableEnded && this.#isAnswering(socket)) {
      // As the library does for a caller that leaves between two requests.
      socket.end()
      return
    }
    // The parser reports each further segment, too.
    if (this.#malformed.has(socket) || !socket.writable) return
    this.#malformed.add(socket)
    this.#reportFault(ListenerFault.Malformed, socket, { cause: error.code ?? 'malformed' })
    this.#readers.get(socket as Socket)?.stop()
    discardArriving(socket as Socket, this.#discardRate)
    if (!await this.#turns.waitForLast(socket) || !socket.writable) return
    const status = error.code === 'HPE_HEADER_OVERFLOW' ? 431 : error.code === 'ERR_HTTP_REQUEST_TIMEOUT' ? 408 : 400
    socket.write(this.#options.onMalformed(status, error.code ?? 'malformed'))
    this.#endConnection(socket as Socket)
  }

  #isAnswering (socket: Duplex): boolean {
    return [...this.#responses].some((response) => response.socket === socket)
  }

  #endConnection (socket: Socket): void {
    if (!socket.writable) return
    this.#readers.get(socket)?.stop()
    this.#leaving.add(socket)
    socket.once('close', () => { this.#leaving.delete(socket) })
    closeAfterCaller(socket, this.#discardRate)
  }
}

function isParserError ({ code }: NodeJS.ErrnoException): boolean {
  return code === 'ERR_HTTP_REQUEST_TIMEOUT' || code?.startsWith('HPE_') === true
}

function askToDisconnect (response: ServerResponse): void {
  if (!response.headersSent) response.setHeader('connection', 'close')
}
