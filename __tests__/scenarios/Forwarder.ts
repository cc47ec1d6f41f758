import { createConnection, createServer, type Server, type Socket } from 'node:net'
import { ByteMeter } from './ByteMeter.js'
import { FlowDirection } from './FlowDirection.js'

/** Forwards TCP connections to one target address. It can hold back all bytes, delay them, or limit the bytes per second. */
export class Forwarder {
  readonly address: string
  /** Bytes that clients sent to the target. */
  readonly bytesToTarget = new ByteMeter()
  /** Bytes that the target sent to clients. */
  readonly bytesToClient = new ByteMeter()
  readonly #target: string
  #server: Server | undefined
  /** Open sockets by the direction of the bytes that are read from them: those of clients and those of the target. */
  readonly #sourceSockets = { [FlowDirection.ToTarget]: new Set<Socket>(), [FlowDirection.ToClient]: new Set<Socket>() }
  /** Connections that were accepted during a cut, to be connected to the target after it. */
  readonly #pendingConnects: Array<() => void> = []
  readonly #cutDirections = new Set<FlowDirection>()
  /** Monotonic time at which all bytes so far are transmitted at the limited rate, by direction. */
  readonly #transmittedAt = { [FlowDirection.ToTarget]: 0, [FlowDirection.ToClient]: 0 }
  #delayMilliseconds = 0
  #bytesPerMillisecond = Number.POSITIVE_INFINITY

  /**
   * @param address - `ip:port` to listen on
   * @param target - `ip:port` to forward connections to
   */
  constructor (address: string, target: string) {
    this.address = address
    this.#target = target
  }

  /** Starts listening. It has no effect if the forwarder listens already. */
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

  /** Stops listening, so that new connections are refused as at the address of an ended process. Open connections stay. */
  refuseConnections (): void {
    this.#server?.close()
    this.#server = undefined
  }

  /** Stops listening and destroys all connections. */
  close (): void {
    this.refuseConnections()
    for (const direction of Object.values(FlowDirection)) {
      for (const socket of this.#sourceSockets[direction]) socket.destroy()
    }
  }

  /** Holds back every byte in the given directions, by default both, as a silent network partition does. */
  cut (directions: FlowDirection[] = Object.values(FlowDirection)): void {
    for (const direction of directions) {
      this.#cutDirections.add(direction)
      for (const socket of this.#sourceSockets[direction]) socket.pause()
    }
  }

  /** Ends all cuts; bytes that were held back are delivered late. */
  heal (): void {
    this.#cutDirections.clear()
    for (const connect of this.#pendingConnects.splice(0)) connect()
    for (const direction of Object.values(FlowDirection)) {
      for (const socket of this.#sourceSockets[direction]) socket.resume()
    }
  }

  /** @param milliseconds - delay of every byte in each direction */
  setDelay (milliseconds: number): void {
    this.#delayMilliseconds = milliseconds
  }

  /** @param bytesPerSecond - limit of all connections together, in each direction */
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
