import { ListenerState, probeListener } from './probeListener.js'

/**
 * Checks whether a process listens on an address and does not close the connection soon after. The sockets of an ending
 * process are closed one after another, so its listener may still accept a connection after other connections broke.
 *
 * @param address - `ip:port`
 * @param timeoutMilliseconds - maximum time to establish the connection
 * @param minimumConnectionMilliseconds - time for which the connection must stay open
 * @returns false when the connection was refused, was not established in time, or was closed too early
 */
export async function isListening (address: string, timeoutMilliseconds: number, minimumConnectionMilliseconds: number): Promise<boolean> {
  return await probeListener(address, timeoutMilliseconds, minimumConnectionMilliseconds) === ListenerState.Open
}
