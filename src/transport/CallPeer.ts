import type { PeerMethod } from '../types/PeerMethod.js'

/**
 * Calls a method of a peer.
 *
 * @param address - address of the peer, `ip:port`
 * @param method - name of the method
 * @param parameters - parameters of the method; must be representable in JSON
 * @param timeoutMilliseconds - maximum wait for the start of the answer, and then for each further part of it; three times as long in total
 * @returns the peer's answer
 * @throws {@link PeerCallError} when no answer arrives, or the peer refuses the call
 */
export type CallPeer = <Result>(address: string, method: PeerMethod, parameters: object, timeoutMilliseconds: number) => Promise<Result>
