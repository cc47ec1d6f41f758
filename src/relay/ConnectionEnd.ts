import type { Socket } from 'node:net'

/** Writes no byte, but fails on a connection that was reset. */
const NO_BYTES = Buffer.alloc(0)

/**
 * Examines and delays the end of a connection. A reset that comes together with the last bytes is told as an end in order,
 * so that a truncated answer would look complete; a write tells them apart. And the HTTP library fails with an error that
 * nobody can catch, and so ends the process, when an answer whose end is that of the connection ends while it is paused.
 */
export class ConnectionEnd {
  readonly #socket: Socket
  readonly #push: Socket['push']
  #isPaused = false
  #isEndHeld = false

  /** @param socket - connection to watch */
  constructor (socket: Socket) {
    this.#socket = socket
    this.#push = socket.push.bind(socket)
    socket.push = (chunk: unknown, encoding?: BufferEncoding) => {
      if (chunk !== null) return this.#push(chunk, encoding)
      if (socket.writable) socket.write(NO_BYTES)
      if (!this.#isPaused) return this.#push(chunk, encoding)
      this.#isEndHeld = true
      return false
    }
  }

  /** Holds an end of the connection that comes from now on. */
  pause (): void {
    this.#isPaused = true
  }

  /**
   * Lets the connection end.
   *
   * @param readOn - lets the library read what has come by now, which may pause it again
   */
  resume (readOn: () => void): void {
    this.#isPaused = false
    readOn()
    if (this.#isPaused || !this.#isEndHeld || this.#socket.destroyed) return
    this.#isEndHeld = false
    this.#push(null)
    // Without data left the end is told only when it is read.
    this.#socket.read(0)
  }
}
