import type { Socket } from 'node:net'
import { Client, type buildConnector, type Dispatcher } from 'undici'
import { errorTexts } from '../errors/errorTexts.js'

/** Most bytes that may come without a head, a part of a body or an end: a head has 16 KB at most, the rest is buffers. */
const MAXIMUM_FRAMING_BYTES = 262_144

/**
 * A connection to an upstream that is cut off when its bytes lead to nothing. The HTTP library bounds header fields,
 * but not the reason of a status line nor the extension of a chunk, which may go on until the deadline.
 */
export class FramingLimitClient extends Client {
  readonly #progress: { record: () => void }

  /**
   * @param origin - where to connect
   * @param options - of the library's client; its connector makes the connections
   */
  constructor (origin: URL, options: Client.Options & { connect: buildConnector.connector }) {
    const progress = { record: () => {} }
    super(origin, { ...options, connect: connectWithFramingLimit(options.connect, progress) })
    this.#progress = progress
  }

  override dispatch (options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
    return super.dispatch(options, trackProgress(handler, () => { this.#progress.record() }))
  }
}

function connectWithFramingLimit (connect: buildConnector.connector, progress: { record: () => void }): buildConnector.connector {
  return (options, callback) => {
    connect(options, (...result: Parameters<buildConnector.Callback>) => {
      const [error, socket] = result
      // A connection that failed comes with an error and without a socket.
      if (error === null && socket !== null) progress.record = limitFraming(socket)
      callback(...result)
    })
  }
}

/** @returns a function that notes that the bytes read so far led to something */
function limitFraming (socket: Socket): () => void {
  let bytesAtProgress = 0
  socket.on('readable', () => {
    if (socket.bytesRead - bytesAtProgress > MAXIMUM_FRAMING_BYTES) socket.destroy(new Error(errorTexts.answerWithoutEnd(MAXIMUM_FRAMING_BYTES)))
  })
  return () => { bytesAtProgress = socket.bytesRead }
}

/** Calls of a handler that show progress, by the names of both of the library's interfaces. */
const PROGRESS_METHODS = new Set<string | symbol>(['onConnect', 'onRequestStart', 'onData', 'onResponseData'])
const MINIMUM_FINAL_STATUS = 200

/** The library hands a client its handlers under either of two interfaces, so calls are watched by their names. */
function trackProgress (handler: Dispatcher.DispatchHandler, recordProgress: () => void): Dispatcher.DispatchHandler {
  return new Proxy(handler, {
    get: (target, name) => {
      const value: unknown = Reflect.get(target, name)
      if (typeof value !== 'function') return value
      return (...parameters: unknown[]): unknown => {
        if (PROGRESS_METHODS.has(name) || isFinalHead(name, parameters)) recordProgress()
        return value.apply(target, parameters)
      }
    }
  })
}

/** Interim answers may come again and again, so they are no progress. */
function isFinalHead (name: string | symbol, [first, second]: unknown[]): boolean {
  if (name === 'onHeaders') return Number(first) >= MINIMUM_FINAL_STATUS
  return name === 'onResponseStart' && Number(second) >= MINIMUM_FINAL_STATUS
}
