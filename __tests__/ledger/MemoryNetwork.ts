import { PeerCallError } from '../../src/errors/PeerCallError.js'
import type { CallPeer } from '../../src/transport/CallPeer.js'
import type { PeerHandler, RegisterPeerHandler } from '../../src/transport/PeerHandler.js'
import { PeerMethod } from '../../src/types/PeerMethod.js'

type AnyHandler = PeerHandler<any, unknown>

/** One message in transit. */
export interface Message {
  from: string
  to: string
  method: PeerMethod
  parameters: object
  isReply: boolean
}

/** Decides how a message is delivered: after a delay and a number of times, or never when undefined. */
export type Route = (message: Message) => { delayMilliseconds: number, copies: number } | undefined

/** Connects hosts in memory. Every message is transmitted as JSON text and may be delayed, lost or duplicated. */
export class MemoryNetwork {
  readonly #handlersByAddress = new Map<string, Map<PeerMethod, AnyHandler>>()
  readonly #startsByAddress = new Map<string, number>()
  route: Route = () => ({ delayMilliseconds: 1, copies: 1 })
  messages = 0
  bytes = 0

  /** Begins a new start of a host: messages to and from its earlier start are lost. */
  start (address: string): { callPeer: CallPeer, registerHandler: RegisterPeerHandler } {
    const handlers = new Map<PeerMethod, AnyHandler>()
    const start = (this.#startsByAddress.get(address) ?? 0) + 1
    this.#startsByAddress.set(address, start)
    this.#handlersByAddress.set(address, handlers)
    return {
      registerHandler: (method, handler) => { handlers.set(method, handler as AnyHandler) },
      callPeer: async (to, method, parameters, timeout) => await this.#call({ from: address, to, method, parameters, isReply: false }, start, timeout)
    }
  }

  /** Ends a host without notice: messages to and from it are lost. */
  kill (address: string): void {
    this.#handlersByAddress.delete(address)
    this.#startsByAddress.set(address, (this.#startsByAddress.get(address) ?? 0) + 1)
  }

  async #call<Result> (request: Message, start: number, timeout: number): Promise<Result> {
    return await new Promise<Result>((resolve, reject) => {
      setTimeout(() => { reject(new PeerCallError('no answer', request.to, false)) }, timeout)
      this.#transmit(request, () => { this.#handle(request, start, resolve) })
    })
  }

  async #handle (request: Message, callerStart: number, resolve: (result: any) => void): Promise<void> {
    const start = this.#startsByAddress.get(request.to)
    const handler = this.#handlersByAddress.get(request.to)?.get(request.method)
    if (handler === undefined) return
    const result = JSON.parse(JSON.stringify(await handler(JSON.parse(JSON.stringify(request.parameters)))))
    if (this.#startsByAddress.get(request.to) !== start) return
    this.#transmit({ ...request, from: request.to, to: request.from, parameters: result, isReply: true }, () => {
      if (this.#startsByAddress.get(request.from) === callerStart) resolve(result)
    })
  }

  #transmit (message: Message, deliver: () => void): void {
    this.messages += 1
    this.bytes += JSON.stringify(message.parameters).length
    const delivery = this.route(message)
    for (let copy = 0; copy < (delivery?.copies ?? 0); copy++) setTimeout(deliver, delivery!.delayMilliseconds * (copy + 1))
  }
}
