import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'

/** Requests that may wait on a connection for the answers before them until the host stops reading from it. */
const MAXIMUM_WAITING_REQUESTS = 16

/** The latest request of a connection. */
interface Turn {
  request: IncomingMessage
  response: ServerResponse
  /** Resolves when no earlier request of the connection is being answered. */
  begin: Promise<void>
  /** Resolves when this request has its answer or will have none. */
  end: Promise<void>
}

/**
 * Lets the requests of a connection be handled one after another. A request that was sent behind another one, before its answer,
 * could else already run when that answer closes the connection.
 */
export class ConnectionTurns {
  readonly #turns = new WeakMap<Duplex, Turn>()
  readonly #waitingCounts = new WeakMap<Duplex, number>()

  /**
   * Takes the next turn of the connection of a request.
   *
   * @param request - request that has arrived
   * @param response - its response
   * @returns whether the request can be answered, once it is its turn
   */
  async take (request: IncomingMessage, response: ServerResponse): Promise<boolean> {
    const { socket } = request
    const begin = this.#turns.get(socket)?.end ?? Promise.resolve()
    // The library does not close a response that it has not begun to write when the connection ends.
    const end = new Promise<void>((resolve) => {
      response.once('close', resolve)
      begin.then(() => { if (!socket.writable) resolve() }, resolve)
    })
    this.#turns.set(socket, { request, response, begin, end })
    this.#recordWaiting(socket, 1)
    await begin
    this.#recordWaiting(socket, -1)
    return socket.writable
  }

  /**
   * Waits until an answer to bytes that cannot be read may be written.
   *
   * @param socket - connection on which they came
   * @returns whether they need an answer: if they belong to a request, it may have one already
   */
  async waitForLast (socket: Duplex): Promise<boolean> {
    const turn = this.#turns.get(socket)
    if (turn === undefined) return true
    const { request, response, begin, end } = turn
    const isWithinRequest = !request.complete
    await (isWithinRequest ? begin : end)
    if (!isWithinRequest || !response.headersSent) return true
    await end
    return false
  }

  /** The library reads on as long as no answer waits to be written, so that its memory for requests had no bound. */
  #recordWaiting (socket: Duplex, change: number): void {
    const pauseIfFull = (): void => { if (this.#waitingCounts.get(socket)! > MAXIMUM_WAITING_REQUESTS) socket.pause() }
    const count = this.#waitingCounts.get(socket)
    // The library resumes the connection behind each request that it has read.
    if (count === undefined) socket.on('resume', pauseIfFull)
    this.#waitingCounts.set(socket, (count ?? 0) + change)
    if (change > 0) pauseIfFull()
    else if (count === MAXIMUM_WAITING_REQUESTS + 1) socket.resume()
  }
}
