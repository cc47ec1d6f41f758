import type { PeerMethod } from '../types/PeerMethod.js'

/**
 * Handles the calls of one method by peers.
 *
 * @param parameters - parameters from the caller, in the method's parameter type
 * @returns the answer, which must be representable in JSON
 */
export type PeerHandler<Parameters extends object, Result> = (parameters: Parameters) => Promise<Result> | Result

/**
 * Registers the handler of one method, in place of any earlier one.
 *
 * @param method - name of the method
 * @param handler - called for each call of the method
 */
export type RegisterPeerHandler = <Parameters extends object, Result>(method: PeerMethod, handler: PeerHandler<Parameters, Result>) => void
