import { connect } from 'node:net'
import { splitAddress } from './splitAddress.js'

/**
 * Finds out whether a process listens on an address, and goes on to. The sockets of a process that ends are closed one
 * after another, so that its listener may still take a connection after others broke.
 *
 * @param address - `ip:port`
 * @param timeoutMilliseconds - how long to wait for the connection
 * @param minimumConnectionMilliseconds - how long the connection has to last
 * @returns false when the connection was refused, did not come about in time, or was closed again
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
