import type { IncomingMessage, ServerResponse } from 'node:http'
import type { ConnectionMemory } from '../limits/ConnectionMemory.js'
import type { ListenerFault } from './ListenerFault.js'

/** Details of a {@link ListenerFault}. */
export interface ListenerFaultDetails {
  /** IP address of the caller, undefined when its connection is gone. */
  peer: string | undefined
  /** Path and query of the request, undefined when none could be read. */
  path?: string
  cause: string
}

/** Settings of a listener for HTTP requests. */
export interface HttpListenerOptions {
  /** Address to listen on, `ip:port`. */
  address: string
  /** Maximum size of the headers of a request, in bytes. */
  headerBytes: number
  /** Handles one request; it must end the response. */
  handle: (request: IncomingMessage, response: ServerResponse, arrivedAt: number) => Promise<void>
  /** Creates the raw answer, with this status, to bytes that are not a valid HTTP request; `reason` is the error code of Node.js. */
  onMalformed: (status: number, reason: string) => string
  /** Memory of the connections of all listeners of the process; unbounded by default. */
  connectionMemory?: ConnectionMemory | undefined
  /** Called for each fault, for counters and logs. */
  onFault?: (fault: ListenerFault, details: ListenerFaultDetails) => void
}
