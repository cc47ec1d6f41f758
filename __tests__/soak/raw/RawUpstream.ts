import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { Draw } from '../Draw.js'
import { UpstreamLife, type UpstreamLifeOptions } from '../UpstreamLife.js'
import { UpstreamConnection } from './UpstreamConnection.js'
import type { RawRecord } from './RawRecord.js'

const SHORTEST_TIME_BETWEEN_CRASHES_MILLISECONDS = 4_000
const SHORTEST_DOWN_MILLISECONDS = 500
const LONGEST_DOWN_MILLISECONDS = 2_500

/** Upstream on plain sockets that repeats, cuts, delays and unframes its answers, answers early and crashes, as drawn from the seed. */
export class RawUpstream {
  readonly life: UpstreamLife
  readonly record: RawRecord
  readonly draw: Draw
  readonly isEndless: boolean
  readonly #connections = new Set<UpstreamConnection>()
  #server: Server | undefined
  #port = 0
  #crashedAt = Number.NEGATIVE_INFINITY
  #isClosed = false

  /**
   * @param options - identity and control hosts
   * @param record - receives the requests that it runs
   * @param seed - seed of the run
   * @param number - number among the raw upstreams
   * @param isEndless - whether its answers never end
   */
  constructor (options: UpstreamLifeOptions, record: RawRecord, seed: number, number: number, isEndless: boolean) {
    this.life = new UpstreamLife(options)
    this.record = record
    this.draw = new Draw(seed, (isEndless ? 150 : 100) + number)
    this.isEndless = isEndless
  }

  /** Listens on a port of 127.0.0.1, and begins to announce itself. */
  async open (): Promise<void> {
    const server = createServer((socket) => { this.#accept(socket) })
    this.#server = server
    await new Promise<void>((resolve) => { server.listen(this.#port, '127.0.0.1', resolve) })
    this.#port = (server.address() as AddressInfo).port
    this.life.start(this.#port)
  }

  /** Ends it. */
  close (): void {
    this.#isClosed = true
    this.#end()
  }

  /** Ends all connections as the end of a process does, and comes back after a while as another one. */
  crash (): void {
    if (performance.now() < this.#crashedAt + SHORTEST_TIME_BETWEEN_CRASHES_MILLISECONDS) return
    this.#crashedAt = performance.now()
    this.#end()
    setTimeout(() => { this.#comeBack().catch(() => { this.close() }) }, this.draw.between(SHORTEST_DOWN_MILLISECONDS, LONGEST_DOWN_MILLISECONDS))
  }

  #end (): void {
    this.life.stop()
    this.#server?.close()
    for (const connection of this.#connections) connection.breakOff()
  }

  async #comeBack (): Promise<void> {
    if (this.#isClosed) return
    this.life.begin()
    await this.open()
  }

  #accept (socket: Socket): void {
    const connection = new UpstreamConnection(this, socket)
    this.#connections.add(connection)
    socket.once('close', () => { this.#connections.delete(connection) })
  }
}
