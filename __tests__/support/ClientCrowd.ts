import { connect, type Socket } from 'node:net'
import { writeWithoutEnd } from './EndlessWriter.js'

/** What each client of a {@link ClientCrowd} sends. */
export interface ClientBehavior {
  /** Text that is sent first. */
  head: string
  /** Text that is repeated behind it. */
  part: string
  /** Number of repetitions, after which the client sends nothing more and keeps its connection open; without end by default. */
  count?: number
  /** Whether the client reads what the host sends; true by default. */
  reads?: boolean
}

/** Bytes that a client with a bounded number of parts hands to its connection at a time. */
const WRITE_BYTES = 65_536

/** Clients that send bytes which a host need not accept, each on a connection of its own. */
export class ClientCrowd {
  readonly #sockets: Socket[]

  /**
   * @param address - address of the host, `ip:port`
   * @param size - number of clients
   * @param behavior - what each of them sends
   */
  constructor (address: string, size: number, behavior: ClientBehavior) {
    this.#sockets = Array.from({ length: size }, () => openClient(address, behavior))
  }

  /** Number of connections that are still open. */
  get open (): number {
    return this.#sockets.filter(({ destroyed }) => !destroyed).length
  }

  /** Closes all connections. */
  close (): void {
    for (const socket of this.#sockets) socket.destroy()
  }
}

function openClient (address: string, { head, part, count, reads = true }: ClientBehavior): Socket {
  const [host, port] = address.split(':')
  const socket = connect({ host, port: Number(port) })
  socket.on('error', () => {})
  if (reads) socket.resume()
  else socket.pause()
  socket.write(head)
  if (count === undefined) writeWithoutEnd(socket, { text: part })
  else writeParts(socket, part, count)
  return socket
}

function writeParts (socket: Socket, part: string, count: number): void {
  const partsPerWrite = Math.max(1, Math.floor(WRITE_BYTES / part.length))
  const block = Buffer.from(part.repeat(partsPerWrite))
  let remaining = count
  const writeMore = (): void => {
    while (remaining > 0 && !socket.destroyed) {
      const parts = Math.min(remaining, partsPerWrite)
      remaining -= parts
      if (!socket.write(block.subarray(0, parts * part.length))) return
    }
  }
  socket.on('drain', writeMore)
  writeMore()
}
