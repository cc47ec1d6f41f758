import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'

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
    await begin
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
}
