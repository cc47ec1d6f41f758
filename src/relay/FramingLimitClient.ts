import type { Socket } from 'node:net'
import { Client, type buildConnector, type Dispatcher } from 'undici'
import { errorTexts } from '../errors/errorTexts.js'
import { EndHold } from './EndHold.js'

/** Maximum number of bytes received without a response head, body data or an end: a head has at most 16 KB, the rest allows for buffers. */
const MAXIMUM_FRAMING_BYTES = 262_144

/** What is done at the connection of a client while it is used. */
interface ConnectionWatch {
  recordProgress: () => void
  hold: EndHold | undefined
}

/**
 * A client that closes its connection when too many received bytes make no progress. The HTTP library limits header
 * fields, but neither the reason phrase of a status line nor the extension of a chunk, which may go on until the deadline.
 * An end of the connection waits until a paused answer is read on.
 */
export class FramingLimitClient extends Client {
  readonly #watch: ConnectionWatch

  /**
   * @param origin - URL of the server
   * @param options - options of the library's client; `connect` opens the connections
   */
  constructor (origin: URL, options: Client.Options & { connect: buildConnector.connector }) {
    const watch: ConnectionWatch = { recordProgress: () => {}, hold: undefined }
    super(origin, { ...options, connect: connectWithWatch(options.connect, watch) })
    this.#watch = watch
  }

  override dispatch (options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
    return super.dispatch(options, trackProgress(handler, this.#watch))
  }
}

function connectWithWatch (connect: buildConnector.connector, watch: ConnectionWatch): buildConnector.connector {
  return (options, callback) => {
    connect(options, (...result: Parameters<buildConnector.Callback>) => {
      const [error, socket] = result
      // A failed connection is reported with an error and without a socket.
      if (error === null && socket !== null) Object.assign(watch, { recordProgress: limitFraming(socket), hold: new EndHold(socket) })
      callback(...result)
    })
  }
}

/**
 * Destroys the socket when too many bytes arrive without progress.
 *
 * @returns a function that records progress at the number of bytes read so far
 */
function limitFraming (socket: Socket): () => void {
  let bytesAtProgress = 0
  socket.on('readable', () => {
    if (socket.bytesRead - bytesAtProgress > MAXIMUM_FRAMING_BYTES) socket.destroy(new Error(errorTexts.framingLimitExceeded(MAXIMUM_FRAMING_BYTES)))
  })
  return () => { bytesAtProgress = socket.bytesRead }
}

/** Handler methods whose calls mean progress, with their names in both handler interfaces of the library. */
const PROGRESS_METHODS = new Set<string | symbol>(['onConnect', 'onRequestStart', 'onData', 'onResponseData'])
const MINIMUM_FINAL_STATUS = 200

/** Wraps a handler to record progress and pauses. The library passes handlers of either of two interfaces, so methods are matched by name. */
function trackProgress (handler: Dispatcher.DispatchHandler, watch: ConnectionWatch): Dispatcher.DispatchHandler {
  return new Proxy(handler, {
    get: (target, name) => {
      const value: unknown = Reflect.get(target, name)
      if (typeof value !== 'function') return value
      return (...parameters: unknown[]): unknown => {
        if (PROGRESS_METHODS.has(name) || isFinalHead(name, parameters)) watch.recordProgress()
        const result: unknown = value.apply(target, name === 'onHeaders' ? holdUntilResumed(parameters, watch) : parameters)
        // The library's pool passes handlers that pause by this result.
        if (result === false) watch.hold?.pause()
        return result
      }
    }
  })
}

/** @returns the parameters of a head with a function that resumes its answer and lets the connection end */
function holdUntilResumed ([status, headers, resume, ...rest]: unknown[], { hold }: ConnectionWatch): unknown[] {
  return [status, headers, () => { hold === undefined ? (resume as () => void)() : hold.resume(resume as () => void) }, ...rest]
}

/** Interim responses (status 1xx) can repeat without end, so they do not count as progress. */
function isFinalHead (name: string | symbol, [first, second]: unknown[]): boolean {
  if (name === 'onHeaders') return Number(first) >= MINIMUM_FINAL_STATUS
  return name === 'onResponseStart' && Number(second) >= MINIMUM_FINAL_STATUS
}
