import { createConnection, createServer, type Server, type Socket } from 'node:net'
import { ByteMeter } from './ByteMeter.js'
import { FlowDirection } from './FlowDirection.js'

/** Carries TCP connections to one address; it can hold everything back, delay it, or carry only so many bytes a second. */
export class Forwarder {
  readonly address: string
  /** Bytes from those who connect, and back to them. */
  readonly bytesToTarget = new ByteMeter()
  readonly bytesToClient = new ByteMeter()
  readonly #target: string
  #server: Server | undefined
  /** The sockets that are read, by the way that their bytes go. */
  readonly #sourceSockets = { [FlowDirection.ToTarget]: new Set<Socket>(), [FlowDirection.ToClient]: new Set<Socket>() }
  readonly #pendingConnects: Array<() => void> = []
  readonly #cutDirections = new Set<FlowDirection>()
  readonly #transmittedAt = { [FlowDirection.ToTarget]: 0, [FlowDirection.ToClient]: 0 }
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
  refuseConnections (): void {
    this.#server?.close()
    this.#server = undefined
  }

  /** Ends all connections. */
  close (): void {
    this.refuseConnections()
    for (const direction of Object.values(FlowDirection)) {
      for (const socket of this.#sourceSockets[direction]) socket.destroy()
    }
  }

  /** Holds back every byte, both ways or only one, as a silent network partition does. */
  cut (directions: FlowDirection[] = Object.values(FlowDirection)): void {
    for (const direction of directions) {
      this.#cutDirections.add(direction)
      for (const socket of this.#sourceSockets[direction]) socket.pause()
    }
  }

  /** Carries on; bytes that were held back are delivered late. */
  heal (): void {
    this.#cutDirections.clear()
    for (const connect of this.#pendingConnects.splice(0)) connect()
    for (const direction of Object.values(FlowDirection)) {
      for (const socket of this.#sourceSockets[direction]) socket.resume()
    }
  }

  /** @param milliseconds - one-way delay of every byte */
  setDelay (milliseconds: number): void {
    this.#delayMilliseconds = milliseconds
  }

  /** @param bytesPerSecond - what all connections together carry each way */
  throttle (bytesPerSecond: number): void {
    this.#bytesPerMillisecond = bytesPerSecond / 1_000
  }

  #accept (client: Socket): void {
    this.#track(client, FlowDirection.ToTarget)
    client.pause()
    const connect = (): void => { this.#connect(client) }
    if (this.#cutDirections.has(FlowDirection.ToTarget)) {
      this.#pendingConnects.push(connect)
      return
    }
    connect()
  }

  #connect (client: Socket): void {
    if (client.destroyed) return
    const [ip, port] = this.#target.split(':')
    const target = createConnection({ host: ip ?? '', port: Number(port), allowHalfOpen: true })
    this.#track(target, FlowDirection.ToClient)
    this.#forward(client, target, FlowDirection.ToTarget)
    this.#forward(target, client, FlowDirection.ToClient)
  }

  #forward (source: Socket, destination: Socket, direction: FlowDirection): void {
    const meter = direction === FlowDirection.ToTarget ? this.bytesToTarget : this.bytesToClient
    source.on('data', (chunk: Buffer) => {
      meter.add(chunk.length)
      this.#schedule(direction, chunk.length, () => {
        if (destination.destroyed || destination.write(chunk)) return
        source.pause()
        destination.once('drain', () => { if (!this.#cutDirections.has(direction)) source.resume() })
      })
    })
    source.on('end', () => { this.#schedule(direction, 0, () => { destination.end() }) })
    source.on('close', (hadError) => { if (hadError) this.#schedule(direction, 0, () => { destination.resetAndDestroy() }) })
    if (this.#cutDirections.has(direction)) source.pause()
    else source.resume()
  }

  #track (socket: Socket, direction: FlowDirection): void {
    socket.setNoDelay(true)
    this.#sourceSockets[direction].add(socket)
    socket.on('error', () => {})
    socket.on('close', () => { this.#sourceSockets[direction].delete(socket) })
  }

  #schedule (direction: FlowDirection, bytes: number, action: () => void): void {
    const now = performance.now()
    const transmittedAt = Math.max(now, this.#transmittedAt[direction]) + bytes / this.#bytesPerMillisecond
    this.#transmittedAt[direction] = transmittedAt
    const waitMilliseconds = transmittedAt - now + this.#delayMilliseconds
    if (waitMilliseconds === 0) action()
    else setTimeout(action, waitMilliseconds)
  }
}
