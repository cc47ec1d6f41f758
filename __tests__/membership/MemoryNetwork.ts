import { PeerCallError } from '../../src/errors/PeerCallError.js'
import type { CallPeer } from '../../src/transport/CallPeer.js'
import type { RegisterPeerHandler } from '../../src/transport/PeerHandler.js'
import { LinkCuts } from '../support/LinkCuts.js'

type Handler = (parameters: object) => unknown

/** Connects stand-in hosts in memory with messages as JSON text. Simulates delays, message loss, one-way cuts, stalled processes and killed hosts. */
export class MemoryNetwork extends LinkCuts {
  readonly sentBytes = new Map<string, number>()
  largestMessageBytes = 0
  delay: (from: string, to: string) => number = () => 1
  isLost: (from: string, to: string) => boolean = () => false
  readonly #handlersByAddress = new Map<string, Map<string, Handler>>()
  readonly #stallsByAddress = new Map<string, { promise: Promise<void>, resolve: () => void }>()

  stall (address: string): void {
    let resolve = (): void => {}
    const promise = new Promise<void>((_resolve) => { resolve = _resolve })
    this.#stallsByAddress.set(address, { promise, resolve })
  }

  resume (address: string): void {
    this.#stallsByAddress.get(address)?.resolve()
    this.#stallsByAddress.delete(address)
  }

  /** Kills a host: removes the handlers that it has registered. */
  kill (address: string): void {
    this.#handlersByAddress.delete(address)
  }

  async waitWhileStalled (address: string): Promise<void> {
    await this.#stallsByAddress.get(address)?.promise
  }

  registerHandler (address: string): RegisterPeerHandler {
    const handlers = new Map<string, Handler>()
    this.#handlersByAddress.set(address, handlers)
    return (method, handler) => { handlers.set(method, handler as unknown as Handler) }
  }

  callPeer (from: string): CallPeer {
    return async <Result>(to: string, method: string, parameters: object, timeoutMilliseconds: number) => {
      const call = this.#deliver(from, to, method, JSON.stringify(parameters))
      let timer: NodeJS.Timeout | undefined
      const timeout = new Promise<never>((_resolve, reject) => {
        timer = setTimeout(() => { reject(new PeerCallError('timeout', to, false)) }, timeoutMilliseconds)
      })
      try {
        return JSON.parse(await Promise.race([call, timeout])) as Result
      } finally {
        clearTimeout(timer)
        await this.waitWhileStalled(from)
      }
    }
  }

  async #deliver (from: string, to: string, method: string, text: string): Promise<string> {
    await this.#transmit(from, to, text)
    await this.waitWhileStalled(to)
    const handler = this.#handlersByAddress.get(to)?.get(method)
    if (handler === undefined) throw new PeerCallError('connection refused', to, false)
    const answer = JSON.stringify(await handler(JSON.parse(text) as object))
    await this.#transmit(to, from, answer)
    return answer
  }

  async #transmit (from: string, to: string, text: string): Promise<void> {
    this.sentBytes.set(from, (this.sentBytes.get(from) ?? 0) + Buffer.byteLength(text))
    this.largestMessageBytes = Math.max(this.largestMessageBytes, Buffer.byteLength(text))
    await new Promise<void>((resolve) => setTimeout(resolve, this.delay(from, to)))
    if (this.isCut(from, to) || this.isLost(from, to)) await new Promise(() => {})
  }
}
