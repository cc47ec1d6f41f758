import { PeerCallError } from '../../../src/errors/PeerCallError.js'
import type { CallPeer } from '../../../src/transport/CallPeer.js'
import type { PeerHandler, RegisterPeerHandler } from '../../../src/transport/PeerHandler.js'
import type { PeerMethod } from '../../../src/types/PeerMethod.js'
import { LinkCuts } from '../../support/LinkCuts.js'

type Handlers = Map<PeerMethod, PeerHandler<object, unknown>>

/** A network between hosts in one process, with delays, cuts in one or both directions, lost calls, and paused or lost hosts. */
export class MemoryNetwork extends LinkCuts {
  delayMilliseconds = 5
  /** Number of calls per method. */
  readonly callsByMethod = new Map<PeerMethod, number>()
  /** Total length of the requests per method, in characters. */
  readonly bytesByMethod = new Map<PeerMethod, number>()
  /** Number of calls per called address. */
  readonly callsByReceiver = new Map<string, number>()
  readonly #handlersByAddress = new Map<string, Handlers>()
  readonly #heldBackByAddress = new Map<string, Array<() => void>>()
  readonly #delaysByLink = new Map<string, number>()
  readonly #remainingLosses = new Map<PeerMethod, number>()

  /** Adds a host, or replaces the host at the address after its restart. */
  addHost (address: string): { callPeer: CallPeer, registerHandler: RegisterPeerHandler } {
    const handlers: Handlers = new Map()
    this.#handlersByAddress.set(address, handlers)
    return {
      callPeer: (to, method, parameters, timeout) => this.#call(address, handlers, to, method, parameters, timeout),
      registerHandler: (method, handler) => { handlers.set(method, handler as PeerHandler<object, unknown>) }
    }
  }

  /** Removes a host: calls to it fail at once, and answers to it are lost. */
  removeHost (address: string): void {
    this.#handlersByAddress.delete(address)
  }

  /** Loses the next calls of a method, as many as given. */
  loseCalls (method: PeerMethod, calls: number): void {
    this.#remainingLosses.set(method, calls)
  }

  /** Sets the delay from one host to another, in milliseconds. */
  setDelay (from: string, to: string, milliseconds: number): void {
    this.#delaysByLink.set(`${from} ${to}`, milliseconds)
  }

  /** Holds back all messages from and to a host. */
  pauseHost (address: string): void {
    this.#heldBackByAddress.set(address, [])
  }

  /** Delivers the messages that were held back. */
  resumeHost (address: string): void {
    const heldBack = this.#heldBackByAddress.get(address) ?? []
    this.#heldBackByAddress.delete(address)
    for (const deliver of heldBack) deliver()
  }

  #call<Result> (from: string, callerHandlers: Handlers, to: string, method: PeerMethod, parameters: object, timeout: number): Promise<Result> {
    const requestText = JSON.stringify(parameters)
    this.callsByMethod.set(method, (this.callsByMethod.get(method) ?? 0) + 1)
    this.bytesByMethod.set(method, (this.bytesByMethod.get(method) ?? 0) + requestText.length)
    this.callsByReceiver.set(to, (this.callsByReceiver.get(to) ?? 0) + 1)
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => reject(new PeerCallError('timeout', to, false)), timeout)
      const deliverAnswer = (settle: () => void): void => this.#deliver(to, from, () => {
        if (this.#handlersByAddress.get(from) !== callerHandlers) return
        clearTimeout(timer)
        settle()
      })
      if (this.#takeLoss(method)) return
      this.#deliver(from, to, () => {
        if (this.#handlersByAddress.get(from) !== callerHandlers && from !== to) return
        this.#handle(to, method, requestText).then(
          (result) => deliverAnswer(() => resolve(result as Result)),
          (error: PeerCallError) => deliverAnswer(() => reject(error))
        )
      })
    })
  }

  #takeLoss (method: PeerMethod): boolean {
    const remaining = this.#remainingLosses.get(method) ?? 0
    this.#remainingLosses.set(method, remaining - 1)
    return remaining > 0
  }

  async #handle (to: string, method: PeerMethod, requestText: string): Promise<unknown> {
    const handlers = this.#handlersByAddress.get(to)
    if (handlers === undefined) throw new PeerCallError('no such host', to, false)
    const handler = handlers.get(method)
    if (handler === undefined) throw new PeerCallError('no such method', to, true)
    try {
      const result = await handler(JSON.parse(requestText) as object)
      return JSON.parse(JSON.stringify(result ?? null)) as unknown
    } catch (error) {
      throw new PeerCallError((error as Error).message, to, true, error)
    }
  }

  #deliver (from: string, to: string, run: () => void): void {
    if (from === to) {
      run()
      return
    }
    const delay = this.#delaysByLink.get(`${from} ${to}`) ?? this.delayMilliseconds
    setTimeout(() => this.#deliverUnlessCut(from, to, run), delay)
  }

  #deliverUnlessCut (from: string, to: string, run: () => void): void {
    if (this.isCut(from, to)) return
    const heldBack = this.#heldBackByAddress.get(from) ?? this.#heldBackByAddress.get(to)
    if (heldBack === undefined) run()
    else heldBack.push(() => this.#deliverUnlessCut(from, to, run))
  }
}
