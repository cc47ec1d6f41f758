import { connect } from 'node:net'
import { splitAddress } from './splitAddress.js'

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
  const { host, port } = splitAddress(address)
  return await new Promise((resolve) => {
    const socket = connect({ host, port })
    const settle = (listening: boolean): void => {
      clearTimeout(timer)
      socket.destroy()
      resolve(listening)
    }
    let timer = setTimeout(() => { settle(false) }, timeoutMilliseconds)
    socket.once('connect', () => {
      clearTimeout(timer)
      timer = setTimeout(() => { settle(true) }, minimumConnectionMilliseconds)
    })
    for (const event of ['error', 'end', 'close']) socket.once(event, () => { settle(false) })
    socket.resume()
  })
}
