import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'

const WRITE_BYTES = 65_536

/** What an endless writer repeats, and how fast. */
export interface EndlessPart {
  /** Bytes that are repeated without end. */
  text: string
  /** Time between two writes, in milliseconds; undefined to write as fast as the receiver reads. */
  pauseMilliseconds?: number | undefined
  /** Bytes of each write, 64 KB by default. */
  writeBytes?: number | undefined
}

/**
 * Writes bytes to a connection until it closes.
 *
 * @param socket - the connection
 * @param part - what to write
 */
export function writeWithoutEnd (socket: Socket, { text, pauseMilliseconds, writeBytes = WRITE_BYTES }: EndlessPart): void {
  const block = Buffer.from(text.repeat(Math.max(1, Math.floor(writeBytes / text.length))))
  const writeMore = (): void => {
    if (socket.destroyed) return
    if (pauseMilliseconds === undefined) while (socket.write(block));
    else if (socket.writableLength === 0) socket.write(block)
  }
  if (pauseMilliseconds === undefined) socket.on('drain', writeMore)
  else {
    const timer = setInterval(writeMore, pauseMilliseconds)
    socket.once('close', () => { clearInterval(timer) })
  }
  writeMore()
}

/** An upstream that answers each request with a head and bytes without end. */
export class EndlessUpstream {
  /** Number of requests that it has received. */
  requests = 0
  readonly #server: Server
  readonly #sockets = new Set<Socket>()

  /**
   * @param fields - header fields of its answers, each with its line end
   * @param part - what follows the head
   */
  constructor (fields: string, part: EndlessPart) {
    this.#server = createServer((socket) => {
      this.#sockets.add(socket)
      socket.on('error', () => {}).once('close', () => { this.#sockets.delete(socket) })
      socket.once('data', (head) => {
        this.requests += 1
        const attempt = /attempt-id: (\S+)/i.exec(head.toString())?.[1] ?? ''
        socket.write(`HTTP/1.1 200 OK\r\nattempt-id: ${attempt}\r\nresponse-signature: s\r\n${fields}\r\n`)
        writeWithoutEnd(socket, part)
      })
    })
  }

  /** @returns its address, `ip:port`, once it listens */
  async open (): Promise<string> {
    await new Promise<void>((resolve) => { this.#server.listen(0, '127.0.0.1', resolve) })
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`
  }

  /** Stops listening and closes all connections. */
  close (): void {
    for (const socket of this.#sockets) socket.destroy()
    this.#server.close()
  }
}
