import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { isDeepStrictEqual } from 'node:util'
import { ConnectionState, type ConnectionMemory, type ConnectionShare } from '../limits/ConnectionMemory.js'

/** Bytes that are parsed at once while no body arrives: up to 20 requests, of which the connection is paused at 16. */
const HEAD_PORTION_BYTES = 512
/** Bytes of a body that are parsed at once: up to 680 pieces of one byte, after which a pause can begin. */
const BODY_PORTION_BYTES = 4_096
/** What an open connection takes beside its data: its objects on the heap and in the HTTP library. */
const CONNECTION_BYTES = 6_144
/** What a request takes beside its head and body until its response has been written. */
const REQUEST_BYTES = 8_192
/** What the rest of a request may take that arrives: trailers are kept as a head is. */
const ARRIVING_BYTES = 16_384
/** Bytes that a byte of a head takes while it arrives, as each of its fields is kept as two texts: fields of some bytes take this. */
const BYTES_PER_HEAD_BYTE = 4

type Listener = (...parameters: unknown[]) => void

/**
 * Passes what arrives on a connection of a listener to the HTTP library in portions, and counts what the connection holds. The library
 * alone parses all that one read returns, up to 64 KB, before any pause has an effect: 1,600 requests, or 10,900 pieces of a body.
 */
export class ConnectionReader {
  readonly #socket: Socket
  readonly #share: ConnectionShare | undefined
  readonly #parse: Listener
  /** Whether this reader has paused the connection, so that it must resume it. */
  #isHeldBack = false
  #isStopped = false
  /** The latest request whose head is complete. */
  #latest: IncomingMessage | undefined
  #isLatestWaiting = false
  #headBytes = 0
  #requests = 0
  /** What waited to be written at the last check. */
  #unwritten = { bytesWritten: 0, writableLength: 0, queuedBytes: 0 }
  #unwrittenSince: number | undefined
  #isUnread = false

  /**
   * @param socket - connection that the HTTP library has just begun to read
   * @param memory - memory of all connections; unbounded by default
   */
  constructor (socket: Socket, memory: ConnectionMemory | undefined) {
    this.#socket = socket
    this.#share = memory?.open(() => { socket.destroy() })
    this.#parse = takeLastListener(socket, 'data')
    socket.on('data', (data: Buffer) => { this.#receive(data) })
    socket.on('drain', () => { this.#readOn() })
    socket.once('close', () => {
      this.#isStopped = true
      this.#share?.release()
    })
    this.#record()
  }

  /**
   * Records a request whose head is complete.
   *
   * @param request - the request
   * @param response - its response
   */
  beginRequest (request: IncomingMessage, response: ServerResponse): void {
    this.#latest = request
    this.#isLatestWaiting = true
    this.#headBytes = 0
    this.#requests += 1
    response.once('close', () => {
      this.#requests -= 1
      this.#record()
    })
  }

  /**
   * Reads the body of a request on: no request before it is being handled.
   *
   * @param request - the request
   */
  beginTurn (request: IncomingMessage): void {
    if (request !== this.#latest) return
    this.#isLatestWaiting = false
    this.#readOn()
  }

  /** Passes nothing more to the HTTP library. */
  stop (): void {
    this.#isStopped = true
    this.#record()
  }

  /**
   * Closes the connection when its caller has read nothing of a response for a time.
   *
   * @param now - current time on the clock of `performance.now()`
   * @param timeoutMilliseconds - how long a response may wait without progress
   */
  closeIfUnread (now: number, timeoutMilliseconds: number): void {
    const { writableLength, bytesWritten } = this.#socket
    const unwritten = { bytesWritten, writableLength, queuedBytes: countQueuedBytes(this.#socket) }
    const isWaiting = writableLength > 0
    if (!isWaiting || !isDeepStrictEqual(unwritten, this.#unwritten)) this.#unwrittenSince = isWaiting ? now : undefined
    this.#unwritten = unwritten
    this.#isUnread = this.#unwrittenSince !== undefined && this.#unwrittenSince < now
    this.#record()
    if (this.#unwrittenSince !== undefined && now - this.#unwrittenSince >= timeoutMilliseconds) this.#socket.destroy()
  }

  get #mayPass (): boolean {
    const { destroyed, writableNeedDrain } = this.#socket
    // The library would keep the pieces of a body whose request waits for those before it.
    const isBodyWaiting = this.#isLatestWaiting && this.#latest?.complete === false
    return !destroyed && !writableNeedDrain && !isBodyWaiting
  }

  #receive (data: Buffer): void {
    let rest = data
    while (rest.length > 0 && !this.#isStopped && this.#mayPass && !this.#socket.isPaused()) {
      const length = this.#choosePortion(rest.length)
      this.#parse(rest.subarray(0, length))
      rest = rest.subarray(length)
    }
    if (rest.length > 0 && !this.#isStopped && !this.#socket.destroyed) {
      this.#holdBack()
      // The stream reads nothing more while it holds enough.
      this.#socket.unshift(rest)
    }
    this.#record()
  }

  #holdBack (): void {
    if (this.#mayPass || this.#socket.isPaused()) return
    this.#isHeldBack = true
    this.#socket.pause()
  }

  #readOn (): void {
    if (!this.#isHeldBack || !this.#mayPass) return
    this.#isHeldBack = false
    this.#socket.resume()
  }

  #record (): void {
    if (this.#share === undefined) return
    const { readableLength, writableLength } = this.#socket
    const arrivingBytes = this.#latest?.complete === false ? ARRIVING_BYTES : 0
    const requestBytes = this.#requests * REQUEST_BYTES + arrivingBytes + this.#headBytes * BYTES_PER_HEAD_BYTE
    this.#share.record(CONNECTION_BYTES + readableLength + requestBytes + writableLength, this.#state)
  }

  get #state (): ConnectionState {
    if (this.#isUnread) return ConnectionState.Unread
    if (this.#requests === 0) return this.#headBytes > 0 ? ConnectionState.Arriving : ConnectionState.Idle
    return this.#requests === 1 && this.#latest?.complete === false ? ConnectionState.Arriving : ConnectionState.Busy
  }

  #choosePortion (availableBytes: number): number {
    if (this.#latest?.complete === false) return Math.min(availableBytes, BODY_PORTION_BYTES)
    const length = Math.min(availableBytes, HEAD_PORTION_BYTES)
    this.#headBytes += length
    return length
  }
}

/** The library's own listener is the last one when a connection has just been opened. */
function takeLastListener (socket: Socket, event: string): Listener {
  const listener = socket.listeners(event).at(-1) as Listener
  socket.off(event, listener)
  return listener
}

/** A large write counts as one until its end, while its bytes leave the queue of the handle one after another, as the runtime's own timeout counts them. */
function countQueuedBytes (socket: Socket): number {
  const { _handle: handle } = socket as Socket & { _handle?: { writeQueueSize?: number } | null }
  return handle?.writeQueueSize ?? 0
}
