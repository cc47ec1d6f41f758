import { PeerCallError } from '../../src/errors/PeerCallError.js'
import type { CallPeer } from '../../src/transport/CallPeer.js'
import type { RegisterPeerHandler } from '../../src/transport/PeerHandler.js'

type Handler = (parameters: object) => unknown

/** Traffic of one host: JSON bodies that it sent and received, calls that it made and answered. */
export interface HostTraffic {
  bytes: number
  calls: number
}

/** Connects stand-in hosts in one process by JSON texts, and counts what each sends and receives. */
export class CountingNetwork {
  readonly #handlers = new Map<string, Map<string, Handler>>()
  readonly #traffic = new Map<string, HostTraffic>()
  largestBodyBytes = 0

  createRegisterHandler (address: string): RegisterPeerHandler {
    const handlers = new Map<string, Handler>()
    this.#handlers.set(address, handlers)
    return (method, handler) => { handlers.set(method, handler as unknown as Handler) }
  }

  createCallPeer (from: string): CallPeer {
    return async <Result>(to: string, method: string, parameters: object) => {
      const text = this.#count(from, to, JSON.stringify(parameters))
      await new Promise((resolve) => setImmediate(resolve))
      const handler = this.#handlers.get(to)?.get(method)
      if (handler === undefined) throw new PeerCallError('unreachable', to, false)
      const answer = this.#count(to, from, JSON.stringify(await handler(JSON.parse(text) as object)))
      this.#getTraffic(from).calls += 1
      this.#getTraffic(to).calls += 1
      return JSON.parse(answer) as Result
    }
  }

  /** Ends a host: calls to it fail. */
  disconnect (address: string): void {
    this.#handlers.delete(address)
  }

  /** @returns the traffic of each host since the last call */
  takeTraffic (): HostTraffic[] {
    const trafficByHost = [...this.#traffic.values()].map((traffic) => ({ ...traffic }))
    this.#traffic.clear()
    this.largestBodyBytes = 0
    return trafficByHost
  }

  #count (from: string, to: string, text: string): string {
    const bytes = Buffer.byteLength(text)
    this.#getTraffic(from).bytes += bytes
    this.#getTraffic(to).bytes += bytes
    this.largestBodyBytes = Math.max(this.largestBodyBytes, bytes)
    return text
  }

  #getTraffic (address: string): HostTraffic {
    const traffic = this.#traffic.get(address) ?? { bytes: 0, calls: 0 }
    this.#traffic.set(address, traffic)
    return traffic
  }
}
