import { errorTexts } from '../errors/errorTexts.js'
import { PeerCallError } from '../errors/PeerCallError.js'
import type { PeerMethod } from '../types/PeerMethod.js'
import { waitWithinDeadline } from '../utils/waitWithinDeadline.js'
import type { PeerHandler } from './PeerHandler.js'

/** What answers the calls of the own host to itself. */
export interface LocalHost {
  /** Its peer address. */
  address: string
  /** @returns the handler of a method, undefined when there is none */
  handlerOf: (method: PeerMethod) => PeerHandler<object, unknown> | undefined
}

/**
 * Calls a method of the own host without a connection. Parameters and answer are copied through JSON,
 * so that a handler meets the same values as from another host, and shares none with its caller.
 *
 * @param localHost - what answers
 * @param method - the method to call
 * @param parameters - a value that JSON can carry
 * @param timeoutMilliseconds - how long to wait for the answer
 * @returns the answer
 * @throws {@link PeerCallError} as a call of another host does
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
