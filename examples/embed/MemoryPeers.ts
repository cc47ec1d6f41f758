import { PeerCallError, type CallPeer, type PeerHandler, type PeerMethod, type RegisterPeerHandler } from '../../src/hibiscusrelay.js'

type AnyHandler = PeerHandler<object, unknown>

/** Connects peers within one process. A real program replaces it with its own calls between processes. */
export class MemoryPeers {
  readonly #handlers = new Map<string, AnyHandler>()

  /** Implements {@link CallPeer}. */
  readonly callPeer: CallPeer = async <Result>(address: string, method: PeerMethod, parameters: object): Promise<Result> => {
    const handler = this.#handlers.get(`${address} ${method}`)
    if (handler === undefined) throw new PeerCallError(`no handler is registered for ${method}`, address, false)
    return structuredClone(await handler(structuredClone(parameters))) as Result
  }

  /**
   * @param address - address of the peer that handles the calls
   * @returns function that registers the handlers of this peer
   */
  registerAt (address: string): RegisterPeerHandler {
    return (method, handler) => { this.#handlers.set(`${address} ${method}`, handler as AnyHandler) }
  }
}
