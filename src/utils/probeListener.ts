import { connect } from 'node:net'
import { splitAddress } from './splitAddress.js'

/** What a connection to an address showed. */
export enum ListenerState {
  /** The connection was accepted and stayed open. */
  Open = 'open',
  /** The remote host refused or reset it: no process listens on the address. */
  Refused = 'refused',
  /** It was not established in time, or the network reported no route: whether a process listens is not known. */
  Unreachable = 'unreachable',
  /** It was accepted and closed soon: the process is ending, or has as many connections as it allows. */
  ClosedEarly = 'closed-early',
  /** This host could not open a connection at all. */
  Unknown = 'unknown'
}

/** Errors that concern this host's own resources and say nothing about the remote side. */
const LOCAL_ERROR_CODES = new Set(['EMFILE', 'ENFILE', 'EADDRNOTAVAIL', 'ENOBUFS'])
/** Errors that only the remote host itself can cause. */
const REFUSAL_ERROR_CODES = new Set(['ECONNREFUSED', 'ECONNRESET'])

/**
 * Opens a connection to find out whether a process listens on an address.
 *
 * @param address - `ip:port`
 * @param timeoutMilliseconds - maximum time to establish the connection
 * @param minimumConnectionMilliseconds - time for which the connection must stay open
 */
export async function probeListener (address: string, timeoutMilliseconds: number, minimumConnectionMilliseconds: number): Promise<ListenerState> {
  const { host, port } = splitAddress(address)
  return await new Promise((resolve) => {
    const socket = connect({ host, port })
    let isConnected = false
    const settle = (state: ListenerState): void => {
      clearTimeout(timer)
      socket.destroy()
      resolve(state)
    }
    let timer = setTimeout(() => { settle(ListenerState.Unreachable) }, timeoutMilliseconds)
    socket.once('connect', () => {
      isConnected = true
      clearTimeout(timer)
      timer = setTimeout(() => { settle(ListenerState.Open) }, minimumConnectionMilliseconds)
    })
    socket.once('error', ({ code = '' }: NodeJS.ErrnoException) => { settle(isConnected ? ListenerState.ClosedEarly : classifyConnectError(code)) })
    for (const event of ['end', 'close']) socket.once(event, () => { settle(isConnected ? ListenerState.ClosedEarly : ListenerState.Unreachable) })
    socket.resume()
  })
}

function classifyConnectError (code: string): ListenerState {
  if (LOCAL_ERROR_CODES.has(code)) return ListenerState.Unknown
  return REFUSAL_ERROR_CODES.has(code) ? ListenerState.Refused : ListenerState.Unreachable
}
