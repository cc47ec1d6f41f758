import { Client, type buildConnector, type Dispatcher } from 'undici'
import { ConnectionGuard } from './ConnectionGuard.js'
import { ConnectionEnd } from './ConnectionEnd.js'

/** What watches the present connection of a client. */
interface Watch {
  guard?: ConnectionGuard
  end?: ConnectionEnd
}

/**
 * A client that closes its connection when too many received bytes make no progress, and when it may not be used again. The
 * HTTP library limits header fields, but neither the reason phrase of a status line nor the extension of a chunk, which may
 * go on until the deadline. An end of the connection waits until a paused answer is read on.
 */
export class FramingLimitClient extends Client {
  readonly #current: Watch

  /**
   * @param origin - URL of the server
   * @param options - options of the library's client; `connect` opens the connections
   * @param onIdleFailure - called with the cause when a connection fails while no request is on it
   */
  constructor (origin: URL, options: Client.Options & { connect: buildConnector.connector }, onIdleFailure?: (cause: string) => void) {
    const current: Watch = {}
    super(origin, { ...options, connect: connectWithGuard(options.connect, current, onIdleFailure) })
    this.#current = current
  }

  override dispatch (options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
    return super.dispatch(options, trackProgress(handler, this.#current))
  }
}

function connectWithGuard (connect: buildConnector.connector, current: Watch, onIdleFailure?: (cause: string) => void): buildConnector.connector {
  return (options, callback) => {
    connect(options, (...result: Parameters<buildConnector.Callback>) => {
      const [error, socket] = result
      // A failed connection is reported with an error and without a socket.
      if (error === null && socket !== null) Object.assign(current, { guard: new ConnectionGuard(socket, onIdleFailure), end: new ConnectionEnd(socket) })
      callback(...result)
    })
  }
}

/** Handler methods by what their calls mean, with their names in both handler interfaces of the library. */
const START_METHODS = new Set<string | symbol>(['onConnect', 'onRequestStart'])
const PROGRESS_METHODS = new Set<string | symbol>(['onData', 'onResponseData'])
const END_METHODS = new Set<string | symbol>(['onComplete', 'onResponseEnd'])
const MINIMUM_FINAL_STATUS = 200

/** Wraps a handler to tell the guard of the connection. The library passes handlers of either of two interfaces, so methods are matched by name. */
function trackProgress (handler: Dispatcher.DispatchHandler, current: Watch): Dispatcher.DispatchHandler {
  return new Proxy(handler, {
    get: (target, name) => {
      const value: unknown = Reflect.get(target, name)
      if (typeof value !== 'function') return value
      return (...parameters: unknown[]): unknown => {
        if (START_METHODS.has(name)) {
          current.guard?.assertQuiet()
          value.apply(target, parameters)
          return current.guard?.begin()
        }
        if (END_METHODS.has(name)) current.guard?.end()
        else if (PROGRESS_METHODS.has(name)) current.guard?.recordProgress(countDataBytes(parameters))
        else if (isFinalHead(name, parameters)) current.guard?.recordProgress()
        const result: unknown = value.apply(target, name === 'onHeaders' ? endWhenResumed(parameters, current.end) : parameters)
        // The library's pool passes handlers that pause by this result.
        if (result === false) current.end?.pause()
        return result
      }
    }
  })
}

/** @returns the parameters of a head with a function that resumes its answer and lets the connection end */
function endWhenResumed ([status, headers, resume, ...rest]: unknown[], end: ConnectionEnd | undefined): unknown[] {
  return [status, headers, () => { end === undefined ? (resume as () => void)() : end.resume(resume as () => void) }, ...rest]
}

/** The data come first in one handler interface of the library, behind the controller in the other. */
function countDataBytes (parameters: unknown[]): number {
  return parameters.find(Buffer.isBuffer)?.length ?? 0
}

/** Interim responses (status 1xx) can repeat without end, so they do not count as progress. */
function isFinalHead (name: string | symbol, [first, second]: unknown[]): boolean {
  if (name === 'onHeaders') return Number(first) >= MINIMUM_FINAL_STATUS
  return name === 'onResponseStart' && Number(second) >= MINIMUM_FINAL_STATUS
}
