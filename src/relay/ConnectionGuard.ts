import type { Socket } from 'node:net'
import { errorTexts } from '../errors/errorTexts.js'
import { CLOSING_ERROR_CODE, UNSENT_ERROR_CODE } from './connectionErrorCodes.js'

/** Maximum number of bytes received without a response head, body data or an end: a head has at most 16 KB, the rest allows for buffers. */
const MAXIMUM_FRAMING_BYTES = 262_144
/** Framing that comes with each byte of body data, in bytes: the size and the line ends of the shortest chunk, padded and with a short extension. */
const FRAMING_BYTES_PER_DATA_BYTE = 16
/** Maximum number of bytes of one answer beside its body data and the framing that goes with them. */
const MAXIMUM_SPARE_BYTES = 2 * MAXIMUM_FRAMING_BYTES

/** Decides whether a kept connection may be used for the next request, and closes it otherwise. */
export class ConnectionGuard {
  readonly #socket: Socket
  #bytesAtProgress = 0
  /** Number of received bytes from which on the present answer has too much framing for its body data. */
  #maximumBytes = Number.POSITIVE_INFINITY
  /** Number of bytes that were received when the last answer was complete; undefined while a request is on the connection. */
  #bytesAtEnd: number | undefined = 0

  /**
   * @param socket - the connection, open and without a request
   * @param onIdleFailure - called with the cause when the connection fails while no request is on it
   */
  constructor (socket: Socket, onIdleFailure: (cause: string) => void = () => {}) {
    this.#socket = socket
    socket.on('error', (error: NodeJS.ErrnoException) => {
      // The remote side ends idle connections in order after some time.
      const isExpected = socket.readableEnded || error.code === CLOSING_ERROR_CODE
      if (this.#bytesAtEnd !== undefined && !isExpected) onIdleFailure(String(error))
    })
    socket.on('readable', () => { this.#check() })
  }

  /**
   * Makes sure that the connection received no bytes that answer no request: they could be taken for the answer to the next one.
   *
   * @throws an error with {@link UNSENT_ERROR_CODE} when it did; the connection is closed then
   */
  assertQuiet (): void {
    if (!this.#hasUnaskedBytes()) return
    this.#socket.destroy(new Error(errorTexts.unaskedBytes()))
    throw Object.assign(new Error(errorTexts.unaskedBytes()), { code: UNSENT_ERROR_CODE })
  }

  /** Begins a request, whose first byte is written right after. */
  begin (): void {
    this.#bytesAtEnd = undefined
    this.#bytesAtProgress = this.#socket.bytesRead
    this.#maximumBytes = this.#bytesAtProgress + MAXIMUM_SPARE_BYTES
    process.nextTick(() => { this.#markUnsent() })
  }

  /**
   * Records that a part of an answer was received.
   *
   * @param dataBytes - number of bytes of body data in it
   */
  recordProgress (dataBytes = 0): void {
    this.#bytesAtProgress = this.#socket.bytesRead
    this.#maximumBytes += dataBytes * (1 + FRAMING_BYTES_PER_DATA_BYTE)
  }

  /** Records that an answer is complete. A connection whose buffer holds a rest of its request would delay or lose the next one. */
  end (): void {
    this.#bytesAtEnd = this.#socket.bytesRead
    if (this.#socket.writableLength > 0) this.#socket.destroy(new Error(errorTexts.unsentRest()))
  }

  #check (): void {
    const socket = this.#socket
    if (this.#hasUnaskedBytes()) socket.destroy(new Error(errorTexts.unaskedBytes()))
    if (this.#bytesAtEnd !== undefined) return
    if (socket.bytesRead - this.#bytesAtProgress > MAXIMUM_FRAMING_BYTES) socket.destroy(new Error(errorTexts.framingLimitExceeded(MAXIMUM_FRAMING_BYTES)))
    else if (socket.bytesRead > this.#maximumBytes) socket.destroy(new Error(errorTexts.framingExceedsData()))
  }

  #hasUnaskedBytes (): boolean {
    return this.#bytesAtEnd !== undefined && this.#socket.bytesRead > this.#bytesAtEnd
  }

  /** An error that is there as soon as the request was handed to the socket means that the kernel took no byte of it. */
  #markUnsent (): void {
    const error: NodeJS.ErrnoException | null = this.#socket.errored
    if (error?.syscall === 'write') error.code = UNSENT_ERROR_CODE
  }
}
