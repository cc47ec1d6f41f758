import { createConnection, createServer, type Server, type Socket } from 'node:net'
import { ByteMeter } from './ByteMeter.js'
import { FlowDirection } from './FlowDirection.js'

/** Carries TCP connections to one address; it can hold everything back, delay it, or carry only so many bytes a second. */
export class Forwarder {
  readonly address: string
  /** Bytes from those who connect, and back to them. */
  readonly forth = new ByteMeter()
  readonly back = new ByteMeter()
  readonly #target: string
  #server: Server | undefined
  /** The sockets that are read, by the way that their bytes go. */
  readonly #sockets = { [FlowDirection.Forth]: new Set<Socket>(), [FlowDirection.Back]: new Set<Socket>() }
  readonly #waiting: Array<() => void> = []
  readonly #cuts = new Set<FlowDirection>()
  readonly #freeAt = { [FlowDirection.Forth]: 0, [FlowDirection.Back]: 0 }
  #delayMilliseconds = 0
  #bytesPerMillisecond = Number.POSITIVE_INFINITY

  /**
   * @param address - `ip:port` to listen on
   * @param target - `ip:port` to connect to
   */
  constructor (address: string, target: string) {
    this.address = address
    this.#target = target
  }

  /** Starts to listen, unless it does. */
  async open (): Promise<void> {
    if (this.#server !== undefined) return
    const [ip, port] = this.address.split(':')
    const server = createServer({ allowHalfOpen: true }, (socket) => { this.#accept(socket) })
    this.#server = server
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(Number(port), ip, resolve)
    })
  }

  /** Refuses new connections, as the address of a process that ended does. */
  refuse (): void {
    this.#server?.close()
    this.#server = undefined
  }

  /** Ends all connections. */
  stop (): void {
    this.refuse()
    for (const direction of Object.values(FlowDirection)) {
      for (const socket of this.#sockets[direction]) socket.destroy()
    }
  }

  /** Holds back every byte, both ways or only one, as a silent network partition does. */
  cut (directions: FlowDirection[] = Object.values(FlowDirection)): void {
    for (const direction of directions) {
      this.#cuts.add(direction)
      for (const socket of this.#sockets[direction]) socket.pause()
    }
  }

  /** Carries on; bytes that were held back are delivered late. */
  heal (): void {
    this.#cuts.clear()
    for (const connect of this.#waiting.splice(0)) connect()
    for (const direction of Object.values(FlowDirection)) {
      for (const socket of this.#sockets[direction]) socket.resume()
    }
  }

  /** @param milliseconds - one-way delay of every byte */
  delay (milliseconds: number): void {
    this.#delayMilliseconds = milliseconds
  }

  /** @param bytesPerSecond - what all connections together carry each way */
  throttle (bytesPerSecond: number): void {
    this.#bytesPerMillisecond = bytesPerSecond / 1_000
  }

  #accept (incoming: Socket): void {
    this.#track(incoming, FlowDirection.Forth)
    incoming.pause()
    const connect = (): void => { this.#connect(incoming) }
    if (this.#cuts.has(FlowDirection.Forth)) {
      this.#waiting.push(connect)
      return
    }
    connect()
  }

  #connect (incoming: Socket): void {
    if (incoming.destroyed) return
    const [ip, port] = this.#target.split(':')
    const outgoing = createConnection({ host: ip ?? '', port: Number(port), allowHalfOpen: true })
    this.#track(outgoing, FlowDirection.Back)
    this.#carry(incoming, outgoing, FlowDirection.Forth)
    this.#carry(outgoing, incoming, FlowDirection.Back)
  }

  #carry (from: Socket, to: Socket, direction: FlowDirection): void {
    const meter = direction === FlowDirection.Forth ? this.forth : this.back
    from.on('data', (chunk: Buffer) => {
      meter.add(chunk.length)
      this.#later(direction, chunk.length, () => {
        if (to.destroyed || to.write(chunk)) return
        from.pause()
        to.once('drain', () => { if (!this.#cuts.has(direction)) from.resume() })
      })
    })
    from.on('end', () => { this.#later(direction, 0, () => { to.end() }) })
    from.on('close', (broken) => { if (broken) this.#later(direction, 0, () => { to.resetAndDestroy() }) })
    if (this.#cuts.has(direction)) from.pause()
    else from.resume()
  }

  #track (socket: Socket, direction: FlowDirection): void {
    socket.setNoDelay(true)
    this.#sockets[direction].add(socket)
    socket.on('error', () => {})
    socket.on('close', () => { this.#sockets[direction].delete(socket) })
  }

  #later (direction: FlowDirection, bytes: number, action: () => void): void {
    const now = performance.now()
    const sentAt = Math.max(now, this.#freeAt[direction]) + bytes / this.#bytesPerMillisecond
    this.#freeAt[direction] = sentAt
    const wait = sentAt - now + this.#delayMilliseconds
    if (wait === 0) action()
    else setTimeout(action, wait)
  }
}
