import { PeerCallError } from '../../src/errors/PeerCallError.js'
import type { CallPeer } from '../../src/transport/CallPeer.js'
import type { RegisterPeerHandler } from '../../src/transport/PeerHandler.js'

type Handler = (parameters: object) => unknown

/** Traffic of one host: bytes of the JSON bodies sent and received, and calls made and answered. */
export interface HostTraffic {
  bytes: number
  calls: number
}

/** Carries calls between hosts in one process as JSON text, and counts the traffic of each host. */
export class CountingNetwork {
  readonly #handlers = new Map<string, Map<string, Handler>>()
  readonly #traffic = new Map<string, HostTraffic>()
  /** Length of the largest body since the traffic was last taken. */
  largestBodyBytes = 0

  /** @returns function that registers the handlers of a host */
  createRegisterHandler (address: string): RegisterPeerHandler {
    const handlers = new Map<string, Handler>()
    this.#handlers.set(address, handlers)
    return (method, handler) => { handlers.set(method, handler as unknown as Handler) }
  }

  /** @returns function that calls other hosts in the name of a host */
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

  /** Removes a host, so that calls to it fail. */
  disconnect (address: string): void {
    this.#handlers.delete(address)
  }

  /** @returns traffic of each host since the last call of this method, which resets it */
  takeTraffic (): HostTraffic[] {
    const hostTraffic = [...this.#traffic.values()].map((traffic) => ({ ...traffic }))
    this.#traffic.clear()
    this.largestBodyBytes = 0
    return hostTraffic
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
