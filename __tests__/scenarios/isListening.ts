import { createConnection } from 'node:net'

/**
 * @param address - `ip:port`
 * @returns whether a connection to it is accepted
 */
export async function isListening (address: string): Promise<boolean> {
  const [ip, port] = address.split(':')
  return await new Promise((resolve) => {
    const socket = createConnection({ host: ip ?? '', port: Number(port) })
    socket.once('connect', () => { socket.destroy(); resolve(true) })
    socket.once('error', () => { resolve(false) })
  })
}
