import { createServer, type AddressInfo, type Socket } from 'node:net'

/** TCP server whose test determines every byte of the answers. */
export interface RawServer {
  address: string
  /** Text received for each request whose head is complete. */
  received: string[]
  close: () => Promise<void>
}

/** Opens a server on a free port; the handler is called with each complete request head and the number of requests so far. */
export async function openRawServer (onRequest: (socket: Socket, head: string, requestNumber: number) => void): Promise<RawServer> {
  const received: string[] = []
  const sockets = new Set<Socket>()
  const server = createServer((socket) => {
    sockets.add(socket)
    let text = ''
    socket.on('error', () => {})
    socket.on('data', (chunk) => {
      text += chunk.toString()
      const end = text.indexOf('\r\n\r\n')
      if (end < 0) return
      received.push(text)
      const head = text
      text = ''
      onRequest(socket, head, received.length)
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const close = async (): Promise<void> => {
    for (const socket of sockets) socket.destroy()
    await new Promise<void>((resolve) => { server.close(() => { resolve() }) })
  }
  return { address, received, close }
}
