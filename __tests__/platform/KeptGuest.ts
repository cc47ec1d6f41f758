import { connect, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'

/** Length of the bodies whose length the upstream does not state. */
export const UNFRAMED_BYTES = 2_000

/** A request whose last byte was sent and whose connection ended without a complete answer. */
export interface LostRequest {
  id: string
  /** Bytes of its answer that came. */
  receivedBytes: number
  /** How the connection ended: error code, or `FIN`. */
  end: string
  sentAt: number
  endedAt: number
}

/** A request whose last byte was handed over. */
interface Sent {
  id: string
  at: number
}

/** A connection of a guest. */
interface Connection {
  socket: Socket
  closed: Promise<void>
  /** Bytes that belong to no measured answer yet. */
  buffer: Buffer
  end: string
  /** Called when something has arrived, or the connection has closed. */
  wake: () => void
}

/** Settings of a {@link KeptGuest}. */
export interface KeptGuestOptions {
  name: string
  address: string
  random: () => number
  /** Whether it reads slowly. */
  isSlow: boolean
}

/** A guest that sends the next request on a kept connection as soon as it has an answer. */
export class KeptGuest {
  readonly lost: LostRequest[] = []
  readonly answeredByStatus = new Map<string, number>()
  readonly #options: KeptGuestOptions
  #number = 0
  #isEnded = false

  /** @param options - name, address and draws */
  constructor (options: KeptGuestOptions) {
    this.#options = options
  }

  /** Asks the guest to send nothing more. */
  end (): void {
    this.#isEnded = true
  }

  /** Sends requests until {@link end}. */
  async run (): Promise<void> {
    while (!this.#isEnded) {
      await this.#useConnection()
      await sleep(20)
    }
  }

  async #useConnection (): Promise<void> {
    const connection = this.#open()
    const { socket, closed } = connection
    await new Promise<void>((resolve) => { socket.once('connect', resolve).once('close', () => { resolve() }) })
    let isKept = true
    while (isKept && !this.#isEnded && socket.writable && !socket.readableEnded) {
      const sent: Sent[] = []
      // Some send a request behind another one, before its answer.
      for (let count = this.#options.random() < 0.2 ? 2 : 1; count > 0; count -= 1) {
        const id = await this.#send(socket)
        if (id !== undefined) sent.push({ id, at: performance.now() })
      }
      isKept = sent.length > 0
      for (const request of sent) isKept = await this.#receive(connection, request) && isKept
    }
    socket.end().resume()
    await Promise.race([closed, sleep(2_000, undefined, { ref: false })])
    socket.destroy()
  }

  #open (): Connection {
    const [host, port] = this.#options.address.split(':')
    const socket = connect({ host, port: Number(port) })
    const closed = new Promise<void>((resolve) => { socket.once('close', () => { resolve() }) })
    const connection: Connection = { socket, closed, buffer: Buffer.alloc(0), end: 'FIN', wake: () => {} }
    socket.on('error', ({ code }: NodeJS.ErrnoException) => { connection.end = code ?? 'error' })
    socket.once('close', () => { connection.wake() })
    socket.on('data', (chunk: Buffer) => {
      connection.buffer = Buffer.concat([connection.buffer, chunk])
      connection.wake()
      if (!this.#options.isSlow) return
      socket.pause()
      setTimeout(() => { socket.resume() }, 5)
    })
    return connection
  }

  /** @returns whether the connection may be used further */
  async #receive (connection: Connection, { id, at }: Sent): Promise<boolean> {
    let length: number | undefined
    while ((length = measureAnswer(connection.buffer)) === undefined && !connection.socket.closed) await new Promise<void>((resolve) => { connection.wake = resolve })
    const { buffer, end } = connection
    if (length === undefined && end === 'FIN') length = measureUnframedAnswer(buffer)
    if (length === undefined) {
      this.lost.push({ id, receivedBytes: buffer.length, end, sentAt: at, endedAt: performance.now() })
      return false
    }
    const head = buffer.toString('latin1', 0, buffer.indexOf('\r\n\r\n'))
    const status = head.slice(9, 12)
    this.answeredByStatus.set(status, (this.answeredByStatus.get(status) ?? 0) + 1)
    connection.buffer = buffer.subarray(length)
    return !/^connection: close$/im.test(head)
  }

  /** @returns the identifier of a request whose last byte was handed over, undefined when the connection ended before */
  async #send (socket: Socket): Promise<string | undefined> {
    const { name, random } = this.#options
    const id = `${name}-${this.#number += 1}`
    const hasBody = random() < 0.4
    const body = 'b'.repeat(hasBody ? 20_000 + Math.floor(random() * 180_000) : 0)
    const path = random() < 0.5 ? 'lookups' : 'orders'
    const head = `${hasBody ? 'POST' : 'GET'} /${path}/${id} HTTP/1.1\r\nhost: stock.example\r\nattempt-id: ${id}\r\ndeadline-ms: 3000\r\n${hasBody ? `content-length: ${body.length}\r\n` : ''}\r\n`
    const text = head + body
    const part = Math.ceil(text.length / 3)
    for (let position = 0; position < text.length; position += part) {
      if (!socket.writable) return undefined
      socket.write(text.slice(position, position + part))
      if (hasBody) await sleep(random() * 30)
    }
    return socket.writable ? id : undefined
  }
}

/** @returns length of an answer that the end of its connection delimits, undefined when it is not complete */
function measureUnframedAnswer (buffer: Buffer): number | undefined {
  const headEnd = buffer.indexOf('\r\n\r\n')
  const head = buffer.toString('latin1', 0, Math.max(0, headEnd)).toLowerCase()
  const isFramed = /\r\n(?:content-length|transfer-encoding):/.test(head)
  return headEnd >= 0 && !isFramed && buffer.length === headEnd + 4 + UNFRAMED_BYTES ? buffer.length : undefined
}

/** @returns length of the complete answer at the beginning of these bytes, undefined when it is not complete */
function measureAnswer (buffer: Buffer): number | undefined {
  const headEnd = buffer.indexOf('\r\n\r\n')
  if (headEnd < 0) return undefined
  const head = buffer.toString('latin1', 0, headEnd + 2).toLowerCase()
  const length = /\r\ncontent-length: (\d+)\r\n/.exec(head)?.[1]
  if (length !== undefined) return buffer.length >= headEnd + 4 + Number(length) ? headEnd + 4 + Number(length) : undefined
  // The bodies of the upstream have no such bytes.
  const lastChunk = buffer.indexOf('\r\n0\r\n\r\n', headEnd)
  return lastChunk < 0 ? undefined : lastChunk + 7
}
