import { errorTexts } from '../errors/errorTexts.js'
import { PeerCallError } from '../errors/PeerCallError.js'
import type { PeerMethod } from '../types/PeerMethod.js'
import { waitWithinDeadline } from '../utils/waitWithinDeadline.js'
import type { PeerHandler } from './PeerHandler.js'

/** Handlers for the calls of a host to itself. */
export interface LocalHost {
  /** Peer address of the host, `ip:port`. */
  address: string
  /** @returns the handler of a method, undefined when none is registered */
  handlerOf: (method: PeerMethod) => PeerHandler<object, unknown> | undefined
}

/**
 * Calls a method of the local host without a connection. Parameters and answer are copied through JSON,
 * so that a handler receives the same values as from another host, and shares no objects with its caller.
 *
 * @param localHost - address and handlers of the local host
 * @param method - name of the method
 * @param parameters - parameters of the method; must be representable in JSON
 * @param timeoutMilliseconds - maximum wait for the answer
 * @returns the handler's answer
 * @throws {@link PeerCallError} when no answer arrives in time, the handler throws, or there is no handler; the same errors as for a call of another host
 */
export async function callLocalHost<Result> (localHost: LocalHost, method: PeerMethod, parameters: object, timeoutMilliseconds: number): Promise<Result> {
  const resultPromise = runHandler(localHost, method, copyThroughJson(parameters)).then((result) => ({ result }))
  const answer = await waitWithinDeadline(resultPromise, performance.now() + timeoutMilliseconds)
  if (answer === undefined) throw new PeerCallError(errorTexts.peerUnreachable(method), localHost.address, false)
  return copyThroughJson(answer.result) as Result
}

async function runHandler (localHost: LocalHost, method: PeerMethod, parameters: object): Promise<unknown> {
  try {
    const handler = localHost.handlerOf(method)
    if (handler === undefined) throw new Error('Method not found')
    return await handler(parameters)
  } catch (error) {
    throw new PeerCallError(errorTexts.peerRefused(method, error instanceof Error ? error.message : String(error)), localHost.address, true, error)
  }
}

function copyThroughJson<Value> (value: Value): Value {
  return value === undefined ? value : JSON.parse(JSON.stringify(value)) as Value
}
