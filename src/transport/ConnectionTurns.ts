import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'

/**
 * Lets the requests of a connection be handled one after another. A request that was sent behind another one, before its answer,
 * could else already run when that answer closes the connection.
 */
export class ConnectionTurns {
  /** For each connection, when its latest request has its answer or will have none. */
  readonly #ends = new WeakMap<Duplex, Promise<void>>()

  /**
   * Takes the next turn of the connection of a request.
   *
   * @param message - request that has arrived
   * @param response - its response
   * @returns whether the request can be answered, once it is its turn
   */
  async take (message: IncomingMessage, response: ServerResponse): Promise<boolean> {
    const { socket } = message
    const begin = this.#ends.get(socket) ?? Promise.resolve()
    // The library does not close a response that it has not begun to write when the connection ends.
    const end = new Promise<void>((resolve) => {
      response.once('close', resolve)
      begin.then(() => { if (!socket.writable) resolve() }, resolve)
    })
    this.#ends.set(socket, end)
    await begin
    return socket.writable
  }
}
