import { createServer, type AddressInfo, type Socket } from 'node:net'

/** A TCP server whose every byte the test decides. */
export interface RawServer {
  address: string
  /** Requests whose head arrived whole. */
  received: string[]
  close: () => Promise<void>
}

/** Opens a server on a free port; the handler gets each request head that arrives. */
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
